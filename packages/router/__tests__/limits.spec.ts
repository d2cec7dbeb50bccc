import { describe, expect, it } from 'vitest'
import { ResultCode, SeededRandom, VirtualClock, asId } from '@rackwalk/shared'
import type { EndpointId, TeamId } from '@rackwalk/shared'
import { OutlierEjection, FairQueue, RetryBudget, backoffMilliseconds } from '@rackwalk/router'
import type { QueueRequest } from '@rackwalk/router'

const LIMITS = { maximumQueue: 4, maximumWaitMilliseconds: 1_000 }

function demand(team: string, change: Partial<QueueRequest> = {}): QueueRequest {
  return {
    teamId: asId<TeamId>(team),
    weight: 1,
    priority: 1,
    startDeadline: Number.POSITIVE_INFINITY,
    cost: 1,
    ...change,
  }
}

/** A queue whose slots are opened one at a time. */
class TestQueue {
  slots = 0
  readonly clock = new VirtualClock()
  readonly queue = new FairQueue(this.clock, () => this.slots)
  readonly admitted: string[] = []
  readonly refused: [string, ResultCode][] = []

  enter(name: string, wanted: QueueRequest, limits = LIMITS): void {
    void this.queue.enqueue(wanted, limits).then(outcome => {
      if (outcome.kind === 'refused') this.refused.push([name, outcome.code])
      else {
        this.admitted.push(name)
      }
    })
  }

  async open(slots: number): Promise<void> {
    for (let slot = 0; slot < slots; slot += 1) {
      this.slots += 1
      this.queue.admitWaiting()
      await this.clock.advance(0)
    }
  }
}

describe('FairQueue', () => {
  it('shares slots between teams, whoever asked first and most', async () => {
    const testQueue = new TestQueue()
    for (const name of ['a1', 'a2', 'a3']) testQueue.enter(name, demand('a'))
    testQueue.enter('b1', demand('b'))
    await testQueue.open(2)
    expect(testQueue.admitted).toContain('b1')
  })

  it('admits no more than there are free slots, though endpoints show them as taken only later', async () => {
    const testQueue = new TestQueue()
    for (const name of ['a1', 'a2', 'a3']) testQueue.enter(name, demand('a'))
    testQueue.slots = 2
    testQueue.queue.admitWaiting()
    await testQueue.clock.advance(0)
    expect(testQueue.admitted).toHaveLength(2)
    testQueue.queue.noteDispatched()
    testQueue.queue.admitWaiting()
    await testQueue.clock.advance(0)
    expect(testQueue.admitted).toHaveLength(3)
  })

  it('serves urgent requests first', async () => {
    const testQueue = new TestQueue()
    testQueue.enter('normal', demand('a'))
    testQueue.enter('high', demand('a', { priority: 2 }))
    await testQueue.open(1)
    expect(testQueue.admitted).toEqual(['high'])
  })

  it('sheds the least urgent request of the greediest team at once when full', async () => {
    const testQueue = new TestQueue()
    for (const name of ['a1', 'a2', 'a3']) testQueue.enter(name, demand('a'))
    testQueue.enter('b1', demand('b'))
    testQueue.enter('c1', demand('c'))
    await testQueue.clock.advance(0)
    expect(testQueue.refused).toEqual([['a3', ResultCode.Overloaded]])
  })

  it('refuses what waited too long, and earlier what has a deadline', async () => {
    const testQueue = new TestQueue()
    testQueue.enter('patient', demand('a'))
    testQueue.enter('hurried', demand('a', { startDeadline: 100 }))
    await testQueue.clock.advance(100)
    expect(testQueue.refused).toEqual([['hurried', ResultCode.DeadlineUnreachable]])
    await testQueue.clock.advance(900)
    expect(testQueue.refused.at(-1)).toEqual(['patient', ResultCode.Overloaded])
  })
})

describe('RetryBudget', () => {
  it('grants a share of the traffic and no more, however much fails', () => {
    const budget = new RetryBudget(new VirtualClock())
    let granted = 0
    for (let request = 0; request < 1_000; request += 1) {
      budget.deposit(0.1)
      while (budget.withdraw()) granted += 1
    }
    expect(granted).toBeGreaterThanOrEqual(100)
    expect(granted, 'a tenth and what was saved up').toBeLessThanOrEqual(111)
  })

  it('backs off longer with each attempt, never beyond its bound', () => {
    const waits = [1, 2, 3, 10].map(attempt => backoffMilliseconds(attempt, 0.999))
    expect([...waits].sort((left, right) => left - right)).toEqual(waits)
    expect(waits.at(-1)).toBeLessThanOrEqual(500)
  })
})

describe('Ejection', () => {
  const pool = Array.from({ length: 6 }, (_, n) => ({ endpointId: asId<EndpointId>(`e${n}`) }))

  it('leaves a failing endpoint out for a while, longer each time', async () => {
    const clock = new VirtualClock()
    const ejection = new OutlierEjection(clock)
    const [first] = pool
    const fail = () => [1, 2, 3].map(() => ejection.noteFailure(first!.endpointId))
    expect(fail()).toEqual([false, false, true])
    expect(ejection.usableEndpoints(pool)).toHaveLength(5)
    await clock.advance(5_001)
    expect(ejection.usableEndpoints(pool)).toHaveLength(6)
    fail()
    await clock.advance(5_001)
    expect(ejection.usableEndpoints(pool)).toHaveLength(5)
  })

  it('never empties the pool, even when every reading is bad', () => {
    const ejection = new OutlierEjection(new VirtualClock())
    const random = new SeededRandom(1)
    for (let reading = 0; reading < 200; reading += 1) {
      const endpoint = pool[Math.floor(random.next() * pool.length)]
      ejection.noteFailure(endpoint!.endpointId)
    }
    expect(ejection.usableEndpoints(pool).length).toBeGreaterThanOrEqual(4)
  })
})
