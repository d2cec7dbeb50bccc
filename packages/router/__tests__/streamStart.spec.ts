import { describe, expect, it } from 'vitest'
import { VirtualClock, sleep } from '@rackwalk/shared'
import { untilStreamCanBegin } from '../src/gateway/streamStart.js'
import type { StreamStartParts } from '../src/gateway/streamStart.js'

/** A new stream waits for the record of a version, but not longer than one change of a record may take. */

const WAIT_MILLISECONDS = 200
const CHANGE_MILLISECONDS = 10

type Wait = 'no change' | 'change of another service' | 'version recorded'

/** Tells when a stream begins or is refused whose waits for a change end like this. */
async function startStream(waits: readonly Wait[]): Promise<string> {
  const clock = new VirtualClock()
  const left = [...waits]
  let isRecorded = false
  const parts = {
    streams: {
      canBegin: () => isRecorded,
      untilVersionsChange: async () => {
        const wait = left.shift() ?? 'no change'
        await sleep(clock, wait === 'no change' ? WAIT_MILLISECONDS : CHANGE_MILLISECONDS)
        isRecorded = wait === 'version recorded'
        return wait !== 'no change'
      },
    },
    directory: { available: () => [{ record: { softwareVersion: 'v1' } }] },
  } as unknown as StreamStartParts
  const request = { route: { isResumable: true }, service: { name: 'models' } }
  const outcome = untilStreamCanBegin(parts, request).then(
    () => `begins after ${clock.monotonic()} ms`,
    () => `is refused after ${clock.monotonic()} ms`,
  )
  await clock.advance(10 * WAIT_MILLISECONDS)
  return `${waits.join(', ')}: ${await outcome}`
}

describe('a new stream whose version is not recorded', () => {
  it('begins once it is, and is refused after one wait without a change', async () => {
    const other = 'change of another service'
    const recorded = 'version recorded'
    const rows = [['no change'], [recorded], [other, recorded], [other, 'no change']] as const
    expect(await Promise.all(rows.map(waits => startStream(waits)))).toMatchInlineSnapshot(`
      [
        "no change: is refused after 200 ms",
        "version recorded: begins after 10 ms",
        "change of another service, version recorded: begins after 20 ms",
        "change of another service, no change: is refused after 210 ms",
      ]
    `)
  })
})
