/**
 * Reads shared by all that wait for one. A read begins only after each of its callers has asked for it, so its outcome
 * shows everything that had been written by then; a read that was under way already would prove less. Owns the read that
 * has not begun yet.
 */

import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Shares the reads of one source. */
export class SharedRead<Outcome> {
  private next: Promise<Outcome> | undefined
  /** Monotonic time at which the newest read began. */
  private beganAt = Number.NEGATIVE_INFINITY

  /** `gap`: returns the least time between the beginnings of two reads. */
  constructor(
    private readonly clock: Clock,
    private readonly gap: () => Milliseconds,
    private readonly read: () => Promise<Outcome>,
  ) {}

  /** Returns the outcome of the next read that has not begun yet. */
  begin(): Promise<Outcome> {
    this.next ??= this.readAfterGap()
    return this.next
  }

  private async readAfterGap(): Promise<Outcome> {
    const wait = this.beganAt + this.gap() - this.clock.monotonic()
    await (wait > 0 ? sleep(this.clock, wait) : Promise.resolve())
    this.next = undefined
    this.beganAt = this.clock.monotonic()
    return this.read()
  }
}
