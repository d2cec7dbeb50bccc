import { describe, expect, it } from 'vitest'
import { VirtualClock } from '@rackwalk/shared'
import { DEMAND_WINDOW_MILLISECONDS, DemandMeter } from '@rackwalk/coordination'

/** Requests 100 tokens ten times per second and returns the readings at the end of each second. */
async function readings(meter: DemandMeter, clock: VirtualClock, seconds: number) {
  const read: number[] = []
  for (let second = 0; second < seconds; second += 1) {
    for (let request = 0; request < 10; request += 1) {
      meter.add(100)
      await clock.advance(100)
    }
    read.push(Math.round(meter.perSecond))
  }
  return read
}

describe('DemandMeter', () => {
  it('reads a steady demand of 1,000 a second after two seconds, however old it is', async () => {
    const clock = new VirtualClock()
    const meter = new DemandMeter(clock)
    await clock.advance(60_000)
    expect(await readings(meter, clock, 4)).toMatchInlineSnapshot(`
      [
        457,
        843,
        992,
        992,
      ]
    `)
    await clock.advance(30_000)
    expect(await readings(meter, clock, 2)).toMatchInlineSnapshot(`
      [
        465,
        850,
      ]
    `)
  })

  it('gives a single request little weight with the full averaging window', async () => {
    const clock = new VirtualClock()
    const meter = new DemandMeter(clock, DEMAND_WINDOW_MILLISECONDS)
    await clock.advance(60_000)
    meter.add(1)
    expect(meter.perSecond).toBeCloseTo(1 / 6)
  })

  it('forgets a demand that has ended', async () => {
    const clock = new VirtualClock()
    const meter = new DemandMeter(clock)
    await readings(meter, clock, 10)
    await clock.advance(60_000)
    expect(meter.perSecond).toBeLessThan(1)
  })
})
