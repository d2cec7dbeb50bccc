import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { RequestQuarantine, SCOPE_PREFIX_LENGTH } from '@rackwalk/decisions'
import type { CrashMark } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { EndpointStart, RequestFingerprint } from '@rackwalk/shared'

/**
 * A crash-inducing request that is treated as a new one at every instance crashes every endpoint. These tests check the
 * verdict on a request after crashes and answers, in whatever order an instance learns of them.
 */

const REQUEST = asId<RequestFingerprint>('request')

function requestNamed(name: string): RequestFingerprint {
  return asId<RequestFingerprint>(name)
}

function start(name: string): EndpointStart {
  return asId<EndpointStart>(name)
}

function mark(name: string, wasIsolated: boolean, fingerprint = REQUEST): CrashMark {
  return { fingerprint, start: start(name), wasIsolated }
}

/** A crash mark or a clearance, as an instance receives it by gossip. */
type Gossip =
  | { readonly kind: 'end'; readonly mark: CrashMark }
  | { readonly kind: 'clear'; readonly starts: readonly string[] }

const crash = (name: string, wasIsolated: boolean): Gossip => ({
  kind: 'end',
  mark: mark(name, wasIsolated),
})
const clear = (...starts: string[]): Gossip => ({ kind: 'clear', starts })

function receive(
  gossip: readonly Gossip[],
  quarantine = new RequestQuarantine(),
): RequestQuarantine {
  for (const item of gossip) {
    if (item.kind === 'end') quarantine.noteMark(item.mark)
    else quarantine.clear(REQUEST, item.starts.map(start))
  }
  return quarantine
}

const CASES: Readonly<Record<string, readonly Gossip[]>> = {
  'no crash': [],
  'one crash, sent normally': [crash('a', false)],
  'three crashes at once, sent normally': [crash('a', false), crash('b', false), crash('c', false)],
  'a crash, then another one in isolation': [crash('a', false), crash('b', true)],
  'the crash in isolation arrives first': [crash('b', true), crash('a', false)],
  'the same crash from two instances, one of which isolated the request': [
    crash('a', false),
    crash('a', true),
  ],
  'a crash, then an answer': [crash('a', false), clear('a')],
  'the answer arrives before the crash': [clear('a'), crash('a', false)],
  'an answer, then another crash': [crash('a', false), clear('a'), crash('b', false)],
  'refused, then cleared by an operator': [crash('a', false), crash('b', true), clear('a', 'b')],
}

describe('the verdict on a request', () => {
  it('follows from the crashes under the request', () => {
    const rows = Object.entries(CASES).map(([name, gossip]) => {
      return `${name}: ${receive(gossip).verdict(REQUEST)}`
    })
    expect(rows).toMatchInlineSnapshot(`
      [
        "no crash: send",
        "one crash, sent normally: isolate",
        "three crashes at once, sent normally: isolate",
        "a crash, then another one in isolation: refuse",
        "the crash in isolation arrives first: refuse",
        "the same crash from two instances, one of which isolated the request: refuse",
        "a crash, then an answer: send",
        "the answer arrives before the crash: send",
        "an answer, then another crash: isolate",
        "refused, then cleared by an operator: send",
      ]
    `)
  })

  it('is the same in whatever order and however often gossip arrives', () => {
    const gossipItem = fc.oneof(
      fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.boolean()).map(([name, was]) => crash(name, was)),
      fc.constantFrom('a', 'b', 'c').map(name => clear(name)),
    )
    const shuffled = fc
      .array(gossipItem, { maxLength: 8 })
      .chain(gossip =>
        fc.tuple(
          fc.constant(gossip),
          fc.shuffledSubarray(gossip, { minLength: gossip.length }),
          fc.shuffledSubarray(gossip),
        ),
      )
    fc.assert(
      fc.property(shuffled, ([gossip, other, repeated]) => {
        const expected = receive(gossip).verdict(REQUEST)
        expect(receive([...other, ...repeated]).verdict(REQUEST)).toBe(expected)
      }),
      { seed: 1, numRuns: 1_000 },
    )
  })

  it('suspects no request under which no endpoint crashed', () => {
    const marksOfRequests = fc.array(
      fc.tuple(fc.constantFrom('x', 'y', 'z'), fc.constantFrom('a', 'b', 'c'), fc.boolean()),
      { maxLength: 20 },
    )
    fc.assert(
      fc.property(marksOfRequests, marks => {
        const quarantine = new RequestQuarantine()
        for (const [fingerprint, name, was] of marks) {
          quarantine.noteMark(mark(name, was, requestNamed(fingerprint)))
        }
        const seen = new Set<string>(marks.map(([fingerprint]) => fingerprint))
        for (const fingerprint of ['x', 'y', 'z', 'another']) {
          const isSuspect = quarantine.verdict(requestNamed(fingerprint)) !== 'send'
          expect(isSuspect).toBe(seen.has(fingerprint))
        }
      }),
      { seed: 1, numRuns: 500 },
    )
  })
})

describe('the memory of the quarantine', () => {
  it('is bounded, and a refused request outlasts those that are only suspected', () => {
    const quarantine = receive([crash('a', false), crash('b', true)])
    for (let count = 0; count < 10_000; count += 1) {
      quarantine.noteMark(mark('c', false, requestNamed(`many ${count}`)))
    }
    expect(quarantine.fingerprints.length).toBeLessThanOrEqual(4_096)
    expect(quarantine.hasSuspectsInScope('many 0')).toBe(false)
    expect(quarantine.verdict(REQUEST)).toBe('refuse')
  })

  it('reports suspects only in the scope (path and team) of a suspected request', () => {
    const scope = REQUEST.slice(0, SCOPE_PREFIX_LENGTH)
    const quarantine = new RequestQuarantine()
    expect(quarantine.hasSuspectsInScope(scope)).toBe(false)
    receive([crash('a', false)], quarantine)
    expect(quarantine.hasSuspectsInScope(scope)).toBe(true)
    expect(quarantine.hasSuspectsInScope('another')).toBe(false)
    receive([clear('a')], quarantine)
    expect(quarantine.hasSuspectsInScope(scope)).toBe(false)
  })
})

describe('a request that was cleared of many crashes', () => {
  const MANY = 40
  const MAXIMUM_HELD = 16

  function clearedOf(crashes: number): RequestQuarantine {
    const quarantine = new RequestQuarantine()
    for (let number = 0; number < crashes; number += 1) {
      receive([crash(`earlier-${number}`, false), clear(`earlier-${number}`)], quarantine)
    }
    return quarantine
  }

  it('is cleared of each of them', () => {
    for (let crashes = 0; crashes < MANY; crashes += 1) {
      expect(clearedOf(crashes).verdict(REQUEST), `${crashes} crashes`).toBe('send')
    }
  })

  it('is still refused after it has crashed an engine in isolation', () => {
    for (let crashes = 0; crashes < MANY; crashes += 1) {
      const quarantine = receive([crash('new', true)], clearedOf(crashes))
      expect(quarantine.verdict(REQUEST), `${crashes} earlier crashes`).toBe('refuse')
    }
  })

  it('holds a bounded number of crashes, whatever the order of marks and clearances', () => {
    const names = fc.constantFrom(...Array.from({ length: MANY }, (_, number) => `s-${number}`))
    const gossip = fc.oneof(
      names.map(name => crash(name, false)),
      names.map(name => clear(name)),
    )
    fc.assert(
      fc.property(fc.array(gossip, { maxLength: 200 }), items => {
        const marks = receive(items).unclearedMarksOf(REQUEST)
        expect(marks.length).toBeLessThanOrEqual(MAXIMUM_HELD)
      }),
    )
  })
})
