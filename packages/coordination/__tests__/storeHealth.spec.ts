import { expect, it } from 'vitest'
import { VirtualClock } from '@rackwalk/shared'
import { StoreHealth } from '../src/prepaid/storeHealth.js'

/** Guards against a store that counts as unavailable until its next call because a call was rejected. */

const CALL_MILLISECONDS = 20
const LATER_MILLISECONDS = 1_000

it('a call that was rejected is no longer in progress, and its duration counts', async () => {
  const clock = new VirtualClock()
  const health = new StoreHealth(clock, () => {})
  for (let call = 0; call < 2; call += 1) {
    const rejected = new Promise((_, reject) => {
      clock.after(CALL_MILLISECONDS, () => reject(new Error('rejected')))
    })
    const timed = health.timed(rejected)
    const isSettled = expect(timed).rejects.toThrow('rejected')
    await clock.advance(CALL_MILLISECONDS)
    await isSettled
  }
  await clock.advance(LATER_MILLISECONDS)
  expect(health.callAge).toBeUndefined()
  expect(health.isUnavailable).toBe(false)
  expect(health.isSlowerThan(CALL_MILLISECONDS / 2)).toBe(true)
})
