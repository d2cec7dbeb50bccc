import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { RequestQuarantine, SCOPE_PREFIX_LENGTH } from '@rackwalk/decisions'
import type { CrashMark } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { EndpointStart, RequestFingerprint } from '@rackwalk/shared'

/** What is believed of a request after endpoints ended under it, in whatever order that is heard. */

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

/** News as an instance hears it. */
type News =
  | { readonly kind: 'end'; readonly mark: CrashMark }
  | { readonly kind: 'clear'; readonly starts: readonly string[] }

const end = (name: string, wasIsolated: boolean): News => ({
  kind: 'end',
  mark: mark(name, wasIsolated),
})
const clear = (...starts: string[]): News => ({ kind: 'clear', starts })

function believe(news: readonly News[], suspicions = new RequestQuarantine()): RequestQuarantine {
  for (const item of news) {
    if (item.kind === 'end') suspicions.noteMark(item.mark)
    else suspicions.clear(REQUEST, item.starts.map(start))
  }
  return suspicions
}

const CASES: Readonly<Record<string, readonly News[]>> = {
  'nothing ended under it': [],
  'one end, sent as any other': [end('a', false)],
  'three ends at once, sent as any other': [end('a', false), end('b', false), end('c', false)],
  'an end, then another one as suspected': [end('a', false), end('b', true)],
  'the end as suspected is heard first': [end('b', true), end('a', false)],
  'the same end told by two instances, one of which suspected it': [
    end('a', false),
    end('a', true),
  ],
  'an end, then an answer': [end('a', false), clear('a')],
  'the answer is heard before the end': [clear('a'), end('a', false)],
  'an answer, then another end': [end('a', false), clear('a'), end('b', false)],
  'proven, and lifted by an operator': [end('a', false), end('b', true), clear('a', 'b')],
}

describe('the verdict on a request', () => {
  it('follows from the ends under it', () => {
    const rows = Object.entries(CASES).map(([name, news]) => {
      return `${name}: ${believe(news).verdict(REQUEST)}`
    })
    expect(rows).toMatchInlineSnapshot(`
      [
        "nothing ended under it: send",
        "one end, sent as any other: isolate",
        "three ends at once, sent as any other: isolate",
        "an end, then another one as suspected: refuse",
        "the end as suspected is heard first: refuse",
        "the same end told by two instances, one of which suspected it: refuse",
        "an end, then an answer: send",
        "the answer is heard before the end: send",
        "an answer, then another end: isolate",
        "proven, and lifted by an operator: send",
      ]
    `)
  })

  it('is the same in whatever order and however often the news is heard', () => {
    const newsItem = fc.oneof(
      fc.tuple(fc.constantFrom('a', 'b', 'c'), fc.boolean()).map(([name, was]) => end(name, was)),
      fc.constantFrom('a', 'b', 'c').map(name => clear(name)),
    )
    const shuffled = fc
      .array(newsItem, { maxLength: 8 })
      .chain(news =>
        fc.tuple(
          fc.constant(news),
          fc.shuffledSubarray(news, { minLength: news.length }),
          fc.shuffledSubarray(news),
        ),
      )
    fc.assert(
      fc.property(shuffled, ([news, other, repeated]) => {
        const expected = believe(news).verdict(REQUEST)
        expect(believe([...other, ...repeated]).verdict(REQUEST)).toBe(expected)
      }),
      { seed: 1, numRuns: 1_000 },
    )
  })

  it('suspects none under which no endpoint ended', () => {
    const ended = fc.array(
      fc.tuple(fc.constantFrom('x', 'y', 'z'), fc.constantFrom('a', 'b', 'c'), fc.boolean()),
      { maxLength: 20 },
    )
    fc.assert(
      fc.property(ended, marks => {
        const suspicions = new RequestQuarantine()
        for (const [fingerprint, name, was] of marks) {
          suspicions.noteMark(mark(name, was, requestNamed(fingerprint)))
        }
        const seen = new Set<string>(marks.map(([fingerprint]) => fingerprint))
        for (const fingerprint of ['x', 'y', 'z', 'another']) {
          const isSuspect = suspicions.verdict(requestNamed(fingerprint)) !== 'send'
          expect(isSuspect).toBe(seen.has(fingerprint))
        }
      }),
      { seed: 1, numRuns: 500 },
    )
  })
})

describe('what is remembered', () => {
  it('is bounded, and a refused request outlasts those that are only suspected', () => {
    const suspicions = believe([end('a', false), end('b', true)])
    for (let count = 0; count < 10_000; count += 1) {
      suspicions.noteMark(mark('c', false, requestNamed(`many ${count}`)))
    }
    expect(suspicions.fingerprints.length).toBeLessThanOrEqual(4_096)
    expect(suspicions.hasSuspectsInScope('many 0')).toBe(false)
    expect(suspicions.verdict(REQUEST)).toBe('refuse')
  })

  it('concerns no request of which it is known without the body that it is another one', () => {
    const scope = REQUEST.slice(0, SCOPE_PREFIX_LENGTH)
    const suspicions = new RequestQuarantine()
    expect(suspicions.hasSuspectsInScope(scope)).toBe(false)
    believe([end('a', false)], suspicions)
    expect(suspicions.hasSuspectsInScope(scope)).toBe(true)
    expect(suspicions.hasSuspectsInScope('another')).toBe(false)
    believe([clear('a')], suspicions)
    expect(suspicions.hasSuspectsInScope(scope)).toBe(false)
  })
})
