import { describe, expect, it } from 'vitest'
import { SuspectEndpoints } from '@rackwalk/decisions'
import { endpointOf, endpointStart } from '@rackwalk/shared'

/**
 * A request that is sent to the front of an endpoint that has already terminated is reset as well. Without this rule it
 * would be taken for the request that crashed the endpoint.
 */

const START = endpointStart('endpoint-1', 7)
const NEXT = endpointStart('endpoint-1', 8)
const OTHER = endpointStart('endpoint-2', 7)

/** Returns those sending times whose requests may have been at the endpoint when it crashed. */
function inFlightTimes(suspects: SuspectEndpoints, start = START): readonly number[] {
  return [0, 100, 101, 500, 1_099, 1_100, 2_000].filter(sentAt =>
    suspects.wasInFlightAtEndpoint(start, sentAt),
  )
}

describe('a request that an endpoint reset', () => {
  it('was in flight at the crash if it was sent before the first reset, or after the report of it expired', () => {
    const suspects = new SuspectEndpoints()
    expect(inFlightTimes(suspects)).toHaveLength(7)
    suspects.noteReset(START, 100)
    expect(inFlightTimes(suspects)).toEqual([0, 100, 1_100, 2_000])
    expect(inFlightTimes(suspects, OTHER)).toHaveLength(7)
  })

  it('was not in flight at the crash for as long as resets are reported', () => {
    const suspects = new SuspectEndpoints()
    for (const now of [100, 900, 1_800]) suspects.noteReset(START, now)
    expect(inFlightTimes(suspects)).toEqual([0, 100])
  })

  it('was in flight if the earlier reset was no crash', () => {
    const suspects = new SuspectEndpoints()
    suspects.noteReset(START, 100)
    suspects.clearSuspicion(START)
    expect(inFlightTimes(suspects)).toHaveLength(7)
  })

  it('was in flight if the endpoint was certainly alive after the earlier reset', () => {
    const suspects = new SuspectEndpoints()
    suspects.noteReset(START, 100)
    suspects.noteAliveAt(START, 100)
    expect(inFlightTimes(suspects)).toEqual([0, 100, 1_100, 2_000])
    suspects.noteAliveAt(START, 101)
    expect(inFlightTimes(suspects)).toHaveLength(7)
  })

  it('was in flight if it was sent after the endpoint was known to be back', () => {
    const suspects = new SuspectEndpoints()
    suspects.noteReset(START, 100)
    suspects.noteTerminated(START, 300)
    suspects.noteAliveAt(START, 600)
    expect(inFlightTimes(suspects)).toEqual([0, 100, 1_099, 1_100, 2_000])
  })

  it('was in flight if sent once the endpoint was back, and not at the next crash if sent after its first reset', () => {
    const suspects = new SuspectEndpoints()
    suspects.noteReset(START, 100)
    suspects.noteRecovered(START, 500)
    suspects.noteReset(NEXT, 1_500)
    expect(inFlightTimes(suspects, NEXT)).toEqual([0, 100, 500, 1_099, 1_100])
  })

  it('is judged by its own start alone if the platform reports starts', () => {
    const suspects = new SuspectEndpoints()
    suspects.noteTerminated(START, 100)
    const sentAts = [100, 101, 500, 1_099, 1_100]
    const inFlight = () => sentAts.filter(sentAt => suspects.wasInFlightAtStart(NEXT, sentAt))
    expect(inFlight()).toEqual(sentAts)
    suspects.noteReset(NEXT, 500)
    expect(inFlight()).toEqual([100, 101, 500])
  })

  it('was in flight after the endpoint was certainly alive, whichever start had terminated before', () => {
    const suspects = new SuspectEndpoints()
    suspects.noteTerminated(START, 100)
    suspects.noteTerminated(OTHER, 100)
    suspects.noteEndpointAliveAt(NEXT, 100)
    expect(inFlightTimes(suspects, NEXT)).toEqual([0, 100, 1_100, 2_000])
    suspects.noteEndpointAliveAt(NEXT, 500)
    expect(inFlightTimes(suspects, NEXT)).toEqual([0, 100, 500, 1_099, 1_100, 2_000])
    expect(inFlightTimes(suspects, OTHER)).toEqual([0, 100, 1_100, 2_000])
  })

  it('is attributed to the same start by all instances that know of two', () => {
    const [one, two] = [new SuspectEndpoints(), new SuspectEndpoints()]
    for (const start of [START, NEXT, OTHER]) one.noteReset(start, 100)
    for (const start of [NEXT, OTHER, START]) two.noteReset(start, 100)
    const lived = Number.NEGATIVE_INFINITY
    const named = [one, two].map(suspects =>
      suspects.suspectStartOf(endpointOf(START), { now: 200, lived }),
    )
    expect(named).toEqual([START, START])
  })

  it('is judged with bounded memory', () => {
    const suspects = new SuspectEndpoints()
    suspects.noteReset(START, 100)
    for (let count = 0; count < 1_024; count += 1)
      suspects.noteReset(endpointStart('other', count), 200)
    expect(inFlightTimes(suspects)).toHaveLength(7)
    suspects.noteReset(START, 100)
    suspects.noteReset(OTHER, 40_000)
    expect(inFlightTimes(suspects)).toHaveLength(7)
  })
})
