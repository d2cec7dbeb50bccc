/**
 * Times the events of one stream as they come from its endpoint: the longest pause, with what was
 * read meanwhile, and the pace while nothing was. Owns those figures.
 */

import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'

/** Events over which a pace is taken, so that several in one packet do not look quick. */
const PACE_EVENTS = 8

/** With more than this to read, an endpoint's pace tells of the reading and not of the endpoint. */
const CALM_TOKENS: TokenCount = 500

/** The longest pause between two events of a stream. */
export interface StreamPause {
  readonly milliseconds: Milliseconds
  /** Tokens of other prompts that the endpoint had to read when it began or ended, the larger. */
  readonly pendingTokens: TokenCount
}

/** What a stream is timed with. */
export interface StreamPaceParts {
  readonly clock: Clock
  /** Prompt tokens that its endpoint has to read now. */
  readonly pendingTokens: () => TokenCount
  /** The stream has run at this pace for a while; milliseconds an event. */
  readonly onPace: (pace: Milliseconds) => void
}

/** The times of one stream. */
export class StreamPace {
  private lastAt: Milliseconds | undefined
  private lastPendingTokens: TokenCount = 0
  private windowAt: Milliseconds = 0
  private windowEvents = 0
  private isWindowCalm = true
  private pause: StreamPause | undefined

  constructor(private readonly parts: StreamPaceParts) {}

  /** The longest pause so far; undefined before the second event. */
  get longestPause(): StreamPause | undefined {
    return this.pause
  }

  /** So many whole events have just come. */
  noteEvents(count: number): void {
    const now = this.parts.clock.monotonic()
    const pendingTokens = this.parts.pendingTokens()
    const beside = Math.max(pendingTokens, this.lastPendingTokens)
    if (this.lastAt === undefined) this.windowAt = now
    else {
      this.notePause(now - this.lastAt, beside)
      this.noteWindow(now, count, beside)
    }
    this.lastAt = now
    this.lastPendingTokens = pendingTokens
  }

  private notePause(milliseconds: Milliseconds, pendingTokens: TokenCount): void {
    if (milliseconds <= (this.pause?.milliseconds ?? -1)) return
    this.pause = { milliseconds, pendingTokens }
  }

  private noteWindow(now: Milliseconds, count: number, pendingTokens: TokenCount): void {
    this.windowEvents += count
    this.isWindowCalm &&= pendingTokens < CALM_TOKENS
    if (this.windowEvents < PACE_EVENTS) return
    if (this.isWindowCalm) this.parts.onPace((now - this.windowAt) / this.windowEvents)
    this.windowAt = now
    this.windowEvents = 0
    this.isWindowCalm = true
  }
}
