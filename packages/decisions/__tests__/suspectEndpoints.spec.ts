import { describe, expect, it } from 'vitest'
import { SuspectEndpoints } from '@rackwalk/decisions'
import { endpointOf, endpointStart } from '@rackwalk/shared'

/** Requests that met the front of an endpoint that had ended were held for having ended it. */

const START = endpointStart('endpoint-1', 7)
const NEXT = endpointStart('endpoint-1', 8)
const OTHER = endpointStart('endpoint-2', 7)

/** Of requests that were sent at these times, those that may have been there at the end. */
function thereOf(broken: SuspectEndpoints, start = START): readonly number[] {
  return [0, 100, 101, 500, 1_099, 1_100, 2_000].filter(sentAt =>
    broken.wasInFlightAtEndpoint(start, sentAt),
  )
}

describe('a request that an endpoint broke off', () => {
  it('was there if it was sent before the first break, or after the news of it', () => {
    const broken = new SuspectEndpoints()
    expect(thereOf(broken)).toHaveLength(7)
    broken.noteReset(START, 100)
    expect(thereOf(broken)).toEqual([0, 100, 1_100, 2_000])
    expect(thereOf(broken, OTHER)).toHaveLength(7)
  })

  it('was not there for as long as breaks and ends are told of', () => {
    const broken = new SuspectEndpoints()
    for (const now of [100, 900, 1_800]) broken.noteReset(START, now)
    expect(thereOf(broken)).toEqual([0, 100])
  })

  it('was there in spite of a break that was no end', () => {
    const broken = new SuspectEndpoints()
    broken.noteReset(START, 100)
    broken.clearSuspicion(START)
    expect(thereOf(broken)).toHaveLength(7)
  })

  it('was there in spite of a break after which the endpoint certainly lived', () => {
    const broken = new SuspectEndpoints()
    broken.noteReset(START, 100)
    broken.noteAliveAt(START, 100)
    expect(thereOf(broken)).toEqual([0, 100, 1_100, 2_000])
    broken.noteAliveAt(START, 101)
    expect(thereOf(broken)).toHaveLength(7)
  })

  it('was there after the endpoint was seen to be back from an end', () => {
    const broken = new SuspectEndpoints()
    broken.noteReset(START, 100)
    broken.noteTerminated(START, 300)
    broken.noteAliveAt(START, 600)
    expect(thereOf(broken)).toEqual([0, 100, 1_099, 1_100, 2_000])
  })

  it('was there once the endpoint was back, and was not at the next end if it was sent before', () => {
    const broken = new SuspectEndpoints()
    broken.noteReset(START, 100)
    broken.noteRecovered(START, 500)
    broken.noteReset(NEXT, 1_500)
    expect(thereOf(broken, NEXT)).toEqual([0, 100, 500, 1_099, 1_100])
  })

  it('is judged by its own start alone where the platform told that', () => {
    const broken = new SuspectEndpoints()
    broken.noteTerminated(START, 100)
    const sentAts = [100, 101, 500, 1_099, 1_100]
    const there = () => sentAts.filter(sentAt => broken.wasInFlightAtStart(NEXT, sentAt))
    expect(there()).toEqual(sentAts)
    broken.noteReset(NEXT, 500)
    expect(there()).toEqual([100, 101, 500])
  })

  it('was there after the endpoint certainly lived, whichever start had ended before', () => {
    const broken = new SuspectEndpoints()
    broken.noteTerminated(START, 100)
    broken.noteTerminated(OTHER, 100)
    broken.noteEndpointAliveAt(NEXT, 100)
    expect(thereOf(broken, NEXT)).toEqual([0, 100, 1_100, 2_000])
    broken.noteEndpointAliveAt(NEXT, 500)
    expect(thereOf(broken, NEXT)).toEqual([0, 100, 500, 1_099, 1_100, 2_000])
    expect(thereOf(broken, OTHER)).toEqual([0, 100, 1_100, 2_000])
  })

  it('belongs to the same start on all instances that heard of two', () => {
    const [one, two] = [new SuspectEndpoints(), new SuspectEndpoints()]
    for (const start of [START, NEXT, OTHER]) one.noteReset(start, 100)
    for (const start of [NEXT, OTHER, START]) two.noteReset(start, 100)
    const lived = Number.NEGATIVE_INFINITY
    const named = [one, two].map(broken =>
      broken.suspectStartOf(endpointOf(START), { now: 200, lived }),
    )
    expect(named).toEqual([START, START])
  })

  it('is judged by a bounded memory', () => {
    const broken = new SuspectEndpoints()
    broken.noteReset(START, 100)
    for (let count = 0; count < 1_024; count += 1)
      broken.noteReset(endpointStart('other', count), 200)
    expect(thereOf(broken)).toHaveLength(7)
    broken.noteReset(START, 100)
    broken.noteReset(OTHER, 40_000)
    expect(thereOf(broken)).toHaveLength(7)
  })
})
