import { describe, expect, it } from 'vitest'
import { HoldingState, Lease, StoreClock } from '@rackwalk/coordination'
import type { HolderRow } from '@rackwalk/coordination'
import { SeededRandom, SystemClock, VirtualClock, asId } from '@rackwalk/shared'
import type { IncarnationId } from '@rackwalk/shared'
import { MemoryTable } from '@rackwalk/stand-ins'

/**
 * Ages and durations on an instance whose machine was suspended. Whatever expires counts the
 * suspension; an allowance that grows with time does not.
 */

const SUSPENDED_MILLISECONDS = 10_000

describe('the clock of a process', () => {
  function clockOf(readings: { steady: number; timeOfDay: number; sinceBoot: number }) {
    return new SystemClock({
      steady: () => readings.steady,
      timeOfDay: () => readings.timeOfDay,
      sinceBoot: () => readings.sinceBoot,
    })
  }

  it('counts a suspension apart from the time for which the machine ran', () => {
    const readings = { steady: 1_000, timeOfDay: 1_700_000_000_000, sinceBoot: 50_000 }
    const clock = clockOf(readings)
    readings.timeOfDay += SUSPENDED_MILLISECONDS
    readings.sinceBoot += SUSPENDED_MILLISECONDS
    expect(clock.monotonic()).toBe(1_000)
    expect(clock.sinceStart()).toBe(1_000 + SUSPENDED_MILLISECONDS)
  })

  it('never goes back if the time of day is set back, and does not count slewing', () => {
    const readings = { steady: 1_000, timeOfDay: 1_700_000_000_000, sinceBoot: 50_000 }
    const clock = clockOf(readings)
    readings.timeOfDay -= SUSPENDED_MILLISECONDS
    expect(clock.sinceStart()).toBe(1_000)
    for (let step = 0; step < 100; step += 1) {
      readings.steady += 1_000
      readings.timeOfDay += 1_100
      readings.sinceBoot += 1_000
      clock.sinceStart()
    }
    expect(clock.sinceStart()).toBe(101_000)
  })
})

describe('a lease', () => {
  it('is no longer held after a suspension of its duration', async () => {
    const clock = new VirtualClock()
    const lease = new Lease({
      name: 'planner',
      incarnation: asId<IncarnationId>('instance-1-a'),
      table: new MemoryTable(),
      clock,
      random: new SeededRandom(1),
      durationMilliseconds: SUSPENDED_MILLISECONDS,
    })
    await lease.acquireOrRenew()
    expect(lease.epoch).toBe(1)
    clock.suspend(SUSPENDED_MILLISECONDS)
    expect(lease.epoch).toBeUndefined()
  })
})

const ROW: HolderRow = {
  granted: 100_000,
  committed: 1_000,
  strictRate: 500,
  strictMilliseconds: 2_000,
  cutAfterMilliseconds: 2_000,
  cutBurst: 300,
  cutRate: 100,
} as HolderRow

describe('a holding of tokens', () => {
  it('allows no more for the time of a suspension, so that its successor counts at least what it spent', async () => {
    const clock = new VirtualClock()
    const holding = new HoldingState(clock)
    holding.recordSent({ ...ROW, sequence: 1 }, 0, 0)
    holding.confirmRow(1, 1)
    await clock.advance(1_000)
    const before = holding.allowance
    clock.suspend(SUSPENDED_MILLISECONDS)
    expect(holding.allowance).toBe(before)
  })

  it("is counted by bounds on the store's time that stay valid after a suspension", async () => {
    const clock = new VirtualClock()
    const storeClock = new StoreClock(clock)
    const storeTime = () => 50_000 + clock.sinceStart()
    storeClock.recordAnswer(storeTime(), clock.monotonic())
    clock.suspend(SUSPENDED_MILLISECONDS)
    await clock.advance(100)
    // The time written to a row is never later than the store's, so a successor counts at least the
    // time that has passed.
    expect(storeClock.lowerBound).toBeLessThanOrEqual(storeTime())
    const startedAtMost = storeClock.upperBoundAt(0)
    storeClock.recordAnswer(storeTime(), clock.monotonic())
    // The time by which a predecessor had terminated is never stated too early.
    expect(storeClock.upperBoundAt(0)).toBeGreaterThanOrEqual(startedAtMost ?? Infinity)
  })
})
