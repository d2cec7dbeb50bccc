/**
 * Tracks how much long prompts stretch the pauses of concurrent streams, by service. Owns the observations of
 * the streams that passed through this instance.
 */

import { isDuringLongPrefill, nextPauseStretch } from '@rackwalk/decisions'
import type { Milliseconds } from '@rackwalk/shared'
import type { StreamPause } from './streamPace.js'

/** Stretch of pauses, by service. */
export class PauseStretchTracker {
  private readonly stretches = new Map<string, number>()

  /** A stream has ended with this longest pause, where its callers accept a pause of `goal`. */
  note(service: string, pause: StreamPause, goal: Milliseconds): void {
    if (!isDuringLongPrefill(pause.pendingTokens)) return
    const stretch = nextPauseStretch(this.stretches.get(service), pause.milliseconds / goal)
    this.stretches.set(service, stretch)
  }

  /** The longest pauses during long prompts, relative to what callers accept; undefined until observed. */
  stretchOf(service: string): number | undefined {
    return this.stretches.get(service)
  }
}
