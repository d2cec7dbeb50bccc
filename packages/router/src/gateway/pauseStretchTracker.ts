/**
 * Tracks how long the pauses between events of streams become while their endpoints read long prompts,
 * relative to the longest pause that callers accept (the stretch), by service. Owns the estimates from the
 * streams that passed through this instance.
 */

import { isDuringLongPrefill, nextPauseStretch } from '@rackwalk/decisions'
import type { Milliseconds } from '@rackwalk/shared'
import type { StreamPause } from './streamPace.js'

/** Estimated stretch of pauses, by service. */
export class PauseStretchTracker {
  private readonly stretches = new Map<string, number>()

  /**
   * A stream has ended with this longest pause; its route's callers accept a pause of `goal`. Ignored unless
   * the endpoint read a long prompt during the pause.
   */
  note(service: string, pause: StreamPause, goal: Milliseconds): void {
    if (!isDuringLongPrefill(pause.pendingTokens)) return
    const stretch = nextPauseStretch(this.stretches.get(service), pause.milliseconds / goal)
    this.stretches.set(service, stretch)
  }

  /** The estimated stretch: 1 if pauses are as long as callers accept; undefined until observed. */
  stretchOf(service: string): number | undefined {
    return this.stretches.get(service)
  }
}
