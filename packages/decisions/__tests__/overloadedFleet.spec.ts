import { describe, expect, it } from 'vitest'
import { ListenerPause, listenerOpenMilliseconds } from '@rackwalk/decisions'
import { SeededRandom, VirtualClock } from '@rackwalk/shared'

/**
 * All instances of a fleet become overloaded at the same moment, and each reports that to the
 * others once a second.
 */

const OVERLOADED_FROM_MILLISECONDS = 1_000
const RUN_MILLISECONDS = 10_000
const REPORT_INTERVAL_MILLISECONDS = 1_000
const REPORT_TTL_MILLISECONDS = 3_500

interface ReportDelivery {
  readonly delayMilliseconds: number
  /** Share of the reports that are lost. */
  readonly loss: number
}

class OverloadedFleet {
  private readonly clock = new VirtualClock()
  private readonly random = new SeededRandom(1)
  /** For each instance, the time of the newest report of each other one, by index. */
  private readonly reportTimes: Map<number, number>[]
  private readonly closed = new Set<number>()
  /** The most instances that were closed at the same time. */
  mostClosed = 0

  constructor(
    private readonly size: number,
    private readonly delivery: ReportDelivery,
  ) {
    this.reportTimes = Array.from({ length: size }, () => new Map<number, number>())
    for (let instance = 0; instance < size; instance += 1) {
      const rule = new ListenerPause()
      this.open(instance, rule)
    }
  }

  async run(): Promise<number> {
    await this.clock.advance(RUN_MILLISECONDS)
    return this.mostClosed
  }

  private open(instance: number, rule: ListenerPause, reportedAt = Number.NEGATIVE_INFINITY): void {
    this.closed.delete(instance)
    const wait = listenerOpenMilliseconds(this.random.next())
    this.clock.after(wait, () => this.sample(instance, rule, reportedAt))
  }

  private sample(instance: number, rule: ListenerPause, reportedAt: number): void {
    const now = this.clock.monotonic()
    rule.noteRefusedShare(now >= OVERLOADED_FROM_MILLISECONDS ? 1 : 0, now)
    const mustReport = rule.isOverloaded(now) && now - reportedAt >= REPORT_INTERVAL_MILLISECONDS
    if (mustReport) this.report(instance)
    const others = { count: this.size - 1, overloaded: this.heardOverloaded(instance, now) }
    const pause = rule.pauseMilliseconds(others, now, this.random.next())
    const newestReportAt = mustReport ? now : reportedAt
    if (pause === 0) return this.open(instance, rule, newestReportAt)
    this.closed.add(instance)
    this.mostClosed = Math.max(this.mostClosed, this.closed.size)
    this.clock.after(pause, () => this.open(instance, rule, newestReportAt))
  }

  private report(instance: number): void {
    for (const [other, reportTimes] of this.reportTimes.entries()) {
      if (other === instance || this.random.next() < this.delivery.loss) continue
      this.clock.after(this.delivery.delayMilliseconds, () =>
        reportTimes.set(instance, this.clock.monotonic()),
      )
    }
  }

  private heardOverloaded(instance: number, now: number): number {
    const times = [...(this.reportTimes[instance]?.values() ?? [])]
    return times.filter(at => now - at < REPORT_TTL_MILLISECONDS).length
  }
}

describe.each([2, 7, 20, 75])('%i instances that are overloaded at once', size => {
  it.each([5, 200])(
    'keep their listeners open where reports take %i ms',
    async delayMilliseconds => {
      expect(await new OverloadedFleet(size, { delayMilliseconds, loss: 0 }).run()).toBe(0)
    },
  )
})

// A fleet of two is left out: each instance hears of only one other, so both may close.
describe.each([7, 20, 75])('%i instances that are overloaded at once', size => {
  it.each([
    { delayMilliseconds: 1_500, loss: 0 },
    { delayMilliseconds: 5, loss: 0.5 },
  ])('never all close where reports are late or lost (%o)', async delivery => {
    expect(await new OverloadedFleet(size, delivery).run()).toBeLessThan(size)
  })
})
