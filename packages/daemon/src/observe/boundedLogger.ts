/** Limits the rate of log lines. Owns the count of dropped lines. */

import type { Clock, Milliseconds } from '@rackwalk/shared'
import type { Logger } from './logger.js'

/**
 * Lets a bounded number of lines per second through. Dropped lines are counted, and the count is logged with the next
 * line, so that a flood of refusals neither blocks the process nor goes unnoticed.
 */
export class BoundedLogger implements Logger {
  private secondStartedAt: Milliseconds = Number.NEGATIVE_INFINITY
  private lines = 0
  private dropped = 0

  constructor(
    private readonly inner: Logger,
    private readonly clock: Clock,
    private readonly linesPerSecond: number,
  ) {}

  info(event: string, fields: Readonly<Record<string, unknown>>): void {
    if (this.mayWrite()) this.inner.info(event, this.withDropped(fields))
  }

  warn(event: string, fields: Readonly<Record<string, unknown>>): void {
    if (this.mayWrite()) this.inner.warn(event, this.withDropped(fields))
  }

  private mayWrite(): boolean {
    const now = this.clock.monotonic()
    if (now - this.secondStartedAt >= 1000) {
      this.secondStartedAt = now
      this.lines = 0
    }
    this.lines += 1
    if (this.lines <= this.linesPerSecond) return true
    this.dropped += 1
    return false
  }

  private withDropped(
    fields: Readonly<Record<string, unknown>>,
  ): Readonly<Record<string, unknown>> {
    if (this.dropped === 0) return fields
    const droppedLines = this.dropped
    this.dropped = 0
    return { ...fields, droppedLines }
  }
}
