import { describe, expect, it } from 'vitest'
import { BrokenStarts } from '@rackwalk/decisions'
import type { EndSign } from '@rackwalk/decisions'
import { VirtualClock, asId, endpointStart } from '@rackwalk/shared'
import type { RequestFingerprint } from '@rackwalk/shared'
import { EndpointDirectory, EndpointEnds } from '@rackwalk/router'
import type { EndpointEnd, EndpointRecord } from '@rackwalk/router'

/** When a broken request says that its endpoint has ended, and when it doesn't. */

const FIRST = broken('first')
const SECOND = broken('second')

function broken(fingerprint: string, sentAt = 0) {
  return { fingerprint: asId<RequestFingerprint>(fingerprint), wasIsolated: false, sentAt }
}

function recordOf(bornAt?: number): EndpointRecord {
  return {
    id: 'endpoint-1',
    start: endpointStart('endpoint-1', bornAt),
    service: 'models',
    address: '127.0.0.1:1',
    failureDomain: 'domain-a',
    slots: 8,
    isLeaving: false,
    coldMilliseconds: 0,
  }
}

function watch(outcome: EndSign) {
  const clock = new VirtualClock()
  const told: EndpointEnd[] = []
  let probes = 0
  const ends = new EndpointEnds({
    clock,
    broken: new BrokenStarts(),
    probe: async () => {
      probes += 1
      return outcome
    },
    onEnd: end => told.push(end),
    onAway: () => {},
    onLook: () => {},
    onLooked: () => {},
  })
  const directory = new EndpointDirectory({
    clock,
    instances: () => 1,
    maximumConnections: () => 8,
    coldMilliseconds: () => 0,
    onChange: () => {},
    onReplaced: start => ends.noteReplaced(start),
  })
  directory.set(recordOf(1))
  const [state] = directory.available('models')
  /** The endpoint as it is known when it breaks a request off. */
  const endpoint = () => {
    const { record = recordOf(1), leavesAsPlanned = false, hasEnded = false } = state ?? {}
    const heardAt = () => Number.NEGATIVE_INFINITY
    return { ...record, leavesAsPlanned, hasEnded, statePath: undefined, heardAt }
  }
  const unanswered = () => told.map(end => end.unanswered.map(request => request.fingerprint))
  return { clock, ends, directory, endpoint, unanswered, probes: () => probes }
}

describe('an endpoint that breaks requests off', () => {
  it('has ended where nobody listens there: one look tells of all that it had not answered', async () => {
    const { ends, endpoint, unanswered, probes } = watch('nobody-listens')
    await Promise.all([ends.noteBroken(endpoint(), FIRST), ends.noteBroken(endpoint(), SECOND)])
    expect(unanswered()).toEqual([['first', 'second']])
    await ends.noteBroken(endpoint(), broken('late'))
    expect(unanswered()).toEqual([['first', 'second'], ['late']])
    expect(probes()).toBe(1)
  })

  it('has not ended under what was sent after its first break: that met its front', async () => {
    const { clock, ends, endpoint, unanswered } = watch('nobody-listens')
    await clock.advance(100)
    const known = [ends.noteBroken(endpoint(), broken('there', 90))]
    await clock.advance(10)
    known.push(ends.noteBroken(endpoint(), broken('sent to its front', 105)))
    expect(await Promise.all(known)).toEqual([true, true])
    expect(unanswered()).toEqual([['there']])
    await ends.noteBroken(endpoint(), broken('at the next end', 108))
    expect(unanswered()).toEqual([['there']])
  })

  it.each(['lives', 'no-connection'] as const)(
    'has not ended where the look says %s',
    async look => {
      const { ends, endpoint, unanswered } = watch(look)
      await ends.noteBroken(endpoint(), FIRST)
      expect(unanswered()).toEqual([])
    },
  )

  it('has ended also where it listens again, once its row tells of a new start', async () => {
    const { ends, directory, endpoint, unanswered } = watch('lives')
    await ends.noteBroken(endpoint(), FIRST)
    directory.set(recordOf(2))
    expect(unanswered()).toEqual([['first']])
  })

  it('ends as planned where it said that it leaves, or where its entry went first', async () => {
    const leaving = watch('nobody-listens')
    leaving.directory.set({ ...recordOf(1), isLeaving: true })
    await leaving.ends.noteBroken(leaving.endpoint(), FIRST)
    expect(leaving.unanswered()).toEqual([])
    const gone = watch('nobody-listens')
    gone.directory.remove('endpoint-1')
    await gone.ends.noteBroken(gone.endpoint(), FIRST)
    expect(gone.unanswered()).toEqual([])
  })
})

describe('an endpoint where nobody listens', () => {
  it('is left alone for a second, by whoever saw it or was told', async () => {
    const { directory, endpoint, clock } = watch('nobody-listens')
    directory.noteUnreachable(endpoint().start)
    expect(directory.available('models')).toEqual([])
    await clock.advance(1_000)
    expect(directory.available('models')).toHaveLength(1)
  })

  it('says nothing of the start that follows it', () => {
    const { directory, endpoint } = watch('nobody-listens')
    const { start } = endpoint()
    directory.set(recordOf(2))
    directory.noteUnreachable(start)
    expect(directory.available('models')).toHaveLength(1)
  })
})
