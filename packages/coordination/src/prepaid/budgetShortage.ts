/**
 * Detects whether callers of one budget are being refused tokens that exist. Groups the refusals
 * into episodes, in which less than `QUIET_MILLISECONDS` pass between two refusals, and owns the
 * current episode. Nothing else detects a holding that fails to adapt to its demand: each refusal
 * by itself looks like a temporary shortage for one caller.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'

/** An episode ends once no caller has been refused for this long. */
const QUIET_MILLISECONDS: Milliseconds = 2_000

/** An episode that has ended. */
export interface EndedShortage {
  /** Time from the first refusal of the episode to the last one. */
  readonly milliseconds: Milliseconds
  /** Number of refusals. */
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

  /** Whether an episode is in progress. */
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

  /**
   * Returns the episode if it has ended, and clears it; undefined otherwise. To be called
   * periodically.
   */
  takeEnded(): EndedShortage | undefined {
    const { episode } = this
    if (episode === undefined) return undefined
    if (this.clock.monotonic() - episode.lastAt < QUIET_MILLISECONDS) return undefined
    this.episode = undefined
    return { milliseconds: episode.lastAt - episode.startedAt, refused: episode.refused }
  }
}
