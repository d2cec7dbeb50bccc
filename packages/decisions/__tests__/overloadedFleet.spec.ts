import { describe, expect, it } from 'vitest'
import { ListenerPause, listenerOpenMilliseconds } from '@rackwalk/decisions'
import { SeededRandom, VirtualClock } from '@rackwalk/shared'

/** All instances of a fleet get more than they bear from the same moment on, and each tells the others once a second. */

const OVERLOADED_FROM_MILLISECONDS = 1_000
const RUN_MILLISECONDS = 10_000
const TELL_MILLISECONDS = 1_000
const BELIEVED_MILLISECONDS = 3_500

interface News {
  readonly delayMilliseconds: number
  /** Share of the news that is lost. */
  readonly loss: number
}

class OverloadedFleet {
  private readonly clock = new VirtualClock()
  private readonly random = new SeededRandom(1)
  /** When each was told by which other one, by both their numbers. */
  private readonly told: Map<number, number>[]
  private readonly closed = new Set<number>()
  /** The most instances that were closed at a time. */
  mostClosed = 0

  constructor(
    private readonly size: number,
    private readonly news: News,
  ) {
    this.told = Array.from({ length: size }, () => new Map<number, number>())
    for (let instance = 0; instance < size; instance += 1) {
      const rule = new ListenerPause()
      this.open(instance, rule)
    }
  }

  async run(): Promise<number> {
    await this.clock.advance(RUN_MILLISECONDS)
    return this.mostClosed
  }

  private open(instance: number, rule: ListenerPause, toldAt = Number.NEGATIVE_INFINITY): void {
    this.closed.delete(instance)
    const wait = listenerOpenMilliseconds(this.random.next())
    this.clock.after(wait, () => this.look(instance, rule, toldAt))
  }

  private look(instance: number, rule: ListenerPause, toldAt: number): void {
    const now = this.clock.monotonic()
    rule.noteRefusedShare(now >= OVERLOADED_FROM_MILLISECONDS ? 1 : 0, now)
    const mustTell = rule.isOverloaded(now) && now - toldAt >= TELL_MILLISECONDS
    if (mustTell) this.tell(instance)
    const others = { count: this.size - 1, overloaded: this.heardOverloaded(instance, now) }
    const pause = rule.pauseMilliseconds(others, now, this.random.next())
    const newestTold = mustTell ? now : toldAt
    if (pause === 0) return this.open(instance, rule, newestTold)
    this.closed.add(instance)
    this.mostClosed = Math.max(this.mostClosed, this.closed.size)
    this.clock.after(pause, () => this.open(instance, rule, newestTold))
  }

  private tell(instance: number): void {
    for (const [other, told] of this.told.entries()) {
      if (other === instance || this.random.next() < this.news.loss) continue
      this.clock.after(this.news.delayMilliseconds, () =>
        told.set(instance, this.clock.monotonic()),
      )
    }
  }

  private heardOverloaded(instance: number, now: number): number {
    const times = [...(this.told[instance]?.values() ?? [])]
    return times.filter(at => now - at < BELIEVED_MILLISECONDS).length
  }
}

describe.each([2, 7, 20, 75])('%i instances that are overloaded at once', size => {
  it.each([5, 200])('keep their listeners open where news take %i ms', async delayMilliseconds => {
    expect(await new OverloadedFleet(size, { delayMilliseconds, loss: 0 }).run()).toBe(0)
  })
})

// Of two instances each is all that the other one hears.
describe.each([7, 20, 75])('%i instances that are overloaded at once', size => {
  it.each([
    { delayMilliseconds: 1_500, loss: 0 },
    { delayMilliseconds: 5, loss: 0.5 },
  ])('never all close where news are late or lost (%o)', async news => {
    expect(await new OverloadedFleet(size, news).run()).toBeLessThan(size)
  })
})
