/**
 * Whether callers of one budget are being refused tokens that exist: since when, and how many. Owns
 * the current episode. Nothing else detects a holding that fails to adapt to its demand: each
 * refusal by itself looks like a temporary shortage for one caller.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'

/** An episode ends after this long without a refusal. */
const QUIET_MILLISECONDS: Milliseconds = 2_000

/** An episode that has ended. */
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

/** Tracks the shortage of one budget on one instance. */
export class BudgetShortage {
  private episode: Episode | undefined

  constructor(private readonly clock: Clock) {}

  /** Whether callers are being refused. */
  get isShort(): boolean {
    return this.episode !== undefined
  }

  /**
   * Records that a caller was refused tokens that exist; returns true if an episode starts with
   * this refusal.
   */
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

  /** Returns the episode once it has ended, and otherwise undefined; to be called periodically. */
  takeEnded(): EndedShortage | undefined {
    const { episode } = this
    if (episode === undefined) return undefined
    if (this.clock.monotonic() - episode.lastAt < QUIET_MILLISECONDS) return undefined
    this.episode = undefined
    return { milliseconds: episode.lastAt - episode.startedAt, refused: episode.refused }
  }
}
