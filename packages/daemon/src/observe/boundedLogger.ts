/** Limits the rate of log lines. Owns the count of dropped lines. */

import type { Clock, Milliseconds } from '@rackwalk/shared'
import type { Logger } from './logger.js'

/** Share of the lines per second that information may use. */
const INFO_SHARE = 0.5

/** Called for each dropped line. */
export type DroppedLine = (event: string, fields: Readonly<Record<string, unknown>>) => void

/**
 * Lets a bounded number of lines per second through; information may use only a part of it, so that lines about served
 * requests don't displace warnings. Dropped lines are counted, and the count is logged with the next
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
    private readonly onDropped: DroppedLine = () => {},
  ) {}

  info(event: string, fields: Readonly<Record<string, unknown>>): void {
    if (this.mayWrite(INFO_SHARE)) this.inner.info(event, this.withDropped(fields))
    else this.drop(event, fields)
  }

  warn(event: string, fields: Readonly<Record<string, unknown>>): void {
    if (this.mayWrite(1)) this.inner.warn(event, this.withDropped(fields))
    else this.drop(event, fields)
  }

  private mayWrite(share: number): boolean {
    const now = this.clock.monotonic()
    if (now - this.secondStartedAt >= 1000) {
      this.secondStartedAt = now
      this.lines = 0
    }
    if (this.lines >= this.linesPerSecond * share) return false
    this.lines += 1
    return true
  }

  private drop(event: string, fields: Readonly<Record<string, unknown>>): void {
    this.dropped += 1
    this.onDropped(event, fields)
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
