/**
 * Whether callers of one budget are being refused tokens that exist: since when, and how many. Owns the
 * episode in progress. A holding that stands still against its demand is seen by nothing else: each refusal
 * by itself looks like one caller's bad moment.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'

/** An episode ends when nobody was refused for this long. */
const QUIET_MILLISECONDS: Milliseconds = 2_000

/** An episode that is over. */
export interface EndedShortage {
  /** From the first refusal to the last one. */
  readonly milliseconds: Milliseconds
  readonly refused: number
}

interface Episode {
  readonly startedAt: Milliseconds
  lastAt: Milliseconds
  refused: number
}

/** The shortage of one budget on one instance. */
export class BudgetShortage {
  private episode: Episode | undefined

  constructor(private readonly clock: Clock) {}

  /** Whether callers are being refused. */
  get isShort(): boolean {
    return this.episode !== undefined
  }

  /** A caller was refused tokens that exist; true where an episode begins with it. */
  recordRefusal(): boolean {
    const now = this.clock.monotonic()
    if (this.episode !== undefined) {
      this.episode.lastAt = now
      this.episode.refused += 1
      return false
    }
    this.episode = { startedAt: now, lastAt: now, refused: 1 }
    return true
  }

  /** The episode, where it has come to its end; call it now and then. */
  takeEnded(): EndedShortage | undefined {
    const { episode } = this
    if (episode === undefined) return undefined
    if (this.clock.monotonic() - episode.lastAt < QUIET_MILLISECONDS) return undefined
    this.episode = undefined
    return { milliseconds: episode.lastAt - episode.startedAt, refused: episode.refused }
  }
}
