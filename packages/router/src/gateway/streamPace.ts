/**
 * Times the events of one stream as they arrive from its endpoint: the longest pause, with the prompt tokens
 * that the endpoint had to read meanwhile, and the pace (milliseconds per event) while it had few to read.
 * Owns these figures.
 */

import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'

/**
 * Least number of events over which a pace is averaged, so that several events in one packet do not look
 * fast.
 */
const PACE_EVENTS = 8

/**
 * With this many pending prompt tokens or more, the pace reflects the reading of prompts and not the endpoint
 * itself, and is not reported.
 */
const CALM_TOKENS: TokenCount = 500

/** The longest pause between two events of a stream. */
export interface StreamPause {
  readonly milliseconds: Milliseconds
  /**
   * Tokens of other prompts that the endpoint had to read at the pause's beginning or end, whichever are
   * more.
   */
  readonly pendingTokens: TokenCount
}

/** Dependencies and callbacks of a stream's timing. */
export interface StreamPaceParts {
  readonly clock: Clock
  /** Prompt tokens that the stream's endpoint currently has to read. */
  readonly pendingTokens: () => TokenCount
  /** The stream ran at this pace for a while; milliseconds per event. */
  readonly onPace: (pace: Milliseconds) => void
}

/** Timing of one stream. */
export class StreamPace {
  /** Monotonic time of the newest events. */
  private lastEventAt: Milliseconds | undefined
  /** Pending prompt tokens at that time. */
  private lastPendingTokens: TokenCount = 0
  /** Monotonic time at which the events began over which the current pace is averaged. */
  private windowStartedAt: Milliseconds = 0
  private windowEvents = 0
  private isWindowCalm = true
  private longestSoFar: StreamPause | undefined

  constructor(private readonly parts: StreamPaceParts) {}

  /** The longest pause so far; undefined before the second event. */
  get longestPause(): StreamPause | undefined {
    return this.longestSoFar
  }

  /** This many complete events have just arrived. */
  noteEvents(count: number): void {
    const now = this.parts.clock.monotonic()
    const pendingTokens = this.parts.pendingTokens()
    const disturbingTokens = Math.max(pendingTokens, this.lastPendingTokens)
    if (this.lastEventAt === undefined) this.windowStartedAt = now
    else {
      this.notePause(now - this.lastEventAt, disturbingTokens)
      this.noteWindow(now, count, disturbingTokens)
    }
    this.lastEventAt = now
    this.lastPendingTokens = pendingTokens
  }

  private notePause(milliseconds: Milliseconds, pendingTokens: TokenCount): void {
    if (milliseconds <= (this.longestSoFar?.milliseconds ?? -1)) return
    this.longestSoFar = { milliseconds, pendingTokens }
  }

  private noteWindow(now: Milliseconds, count: number, pendingTokens: TokenCount): void {
    this.windowEvents += count
    this.isWindowCalm &&= pendingTokens < CALM_TOKENS
    if (this.windowEvents < PACE_EVENTS) return
    if (this.isWindowCalm) this.parts.onPace((now - this.windowStartedAt) / this.windowEvents)
    this.windowStartedAt = now
    this.windowEvents = 0
    this.isWindowCalm = true
  }
}
