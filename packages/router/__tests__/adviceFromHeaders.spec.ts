import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { adviceText, parseAdvice } from '@rackwalk/decisions'
import { adviceFromHeaders } from '@rackwalk/router'

const CONTEXT = { wallTime: Date.UTC(2026, 0, 4, 8, 0, 0), longestRestMilliseconds: 60_000 }

function describeAdvice(status: number, headers: Readonly<Record<string, string>>): string {
  return adviceText(parseAdvice(adviceFromHeaders(status, headers), CONTEXT)) ?? 'nothing'
}

/** Heads of answers, each with its status. */
const HEADS: readonly (readonly [number, Readonly<Record<string, string>>])[] = [
  [200, {}],
  [200, { 'x-ratelimit-limit-requests': '78' }],
  [200, { 'x-ratelimit-limit-requests': 'many' }],
  [200, { 'x-ratelimit-limit-requests': '60', 'x-ratelimit-remaining-requests': '0' }],
  [200, { 'x-ratelimit-remaining-requests': '0', 'x-ratelimit-reset-requests': '1m2s' }],
  [200, { 'x-ratelimit-remaining-requests': '0', 'x-ratelimit-reset-requests': '120ms' }],
  [200, { 'x-ratelimit-remaining-requests': '0', 'x-ratelimit-reset-requests': 'soon' }],
  [200, { 'x-ratelimit-remaining-requests': '7', 'x-ratelimit-reset-requests': '8.64s' }],
  [200, { 'ratelimit-policy': '"burst";q=100;w=60, "daily";q=1000;w=86400' }],
  [200, { 'ratelimit-policy': '"bytes";q=1000000;w=60;qu="content-bytes"' }],
  [200, { 'ratelimit-policy': '"open;' }],
  [200, { ratelimit: '"burst";r=50;t=30' }],
  [200, { ratelimit: '"burst";r=0;t=30' }],
  [200, { 'ratelimit-remaining': '0', 'ratelimit-reset': '5' }],
  [429, { 'retry-after': '2' }],
  [503, { 'retry-after': 'Sun, 04 Jan 2026 08:00:05 GMT' }],
  [500, { 'retry-after': '2' }],
  [200, { 'x-endpoint-state': 'leaving' }],
]

describe('what an engine says in published forms', () => {
  it('is read as what it means', () => {
    const table = HEADS.map(([status, headers]) => {
      const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}`)
      return `${status} ${fields.join(' | ')} -> ${describeAdvice(status, headers)}`
    })
    expect(table).toMatchInlineSnapshot(`
      [
        "200  -> nothing",
        "200 x-ratelimit-limit-requests: 78 -> takes 1.3 a second",
        "200 x-ratelimit-limit-requests: many -> unreadable rate",
        "200 x-ratelimit-limit-requests: 60 | x-ratelimit-remaining-requests: 0 -> takes 1 a second",
        "200 x-ratelimit-remaining-requests: 0 | x-ratelimit-reset-requests: 1m2s -> rest of 60000 ms",
        "200 x-ratelimit-remaining-requests: 0 | x-ratelimit-reset-requests: 120ms -> rest of 120 ms",
        "200 x-ratelimit-remaining-requests: 0 | x-ratelimit-reset-requests: soon -> unreadable rest",
        "200 x-ratelimit-remaining-requests: 7 | x-ratelimit-reset-requests: 8.64s -> nothing",
        "200 ratelimit-policy: "burst";q=100;w=60, "daily";q=1000;w=86400 -> takes 1.67 a second",
        "200 ratelimit-policy: "bytes";q=1000000;w=60;qu="content-bytes" -> nothing",
        "200 ratelimit-policy: "open; -> unreadable rate",
        "200 ratelimit: "burst";r=50;t=30 -> nothing",
        "200 ratelimit: "burst";r=0;t=30 -> rest of 30000 ms",
        "200 ratelimit-remaining: 0 | ratelimit-reset: 5 -> rest of 5000 ms",
        "429 retry-after: 2 -> rest of 2000 ms",
        "503 retry-after: Sun, 04 Jan 2026 08:00:05 GMT -> rest of 5000 ms",
        "500 retry-after: 2 -> nothing",
        "200 x-endpoint-state: leaving -> leaving",
      ]
    `)
  })

  it('never throws, whatever the headers contain', () => {
    const names = [...new Set(HEADS.flatMap(([, headers]) => Object.keys(headers)))]
    const heads = fc.dictionary(fc.constantFrom(...names), fc.string())
    fc.assert(
      fc.property(fc.constantFrom(200, 429, 503), heads, (status, headers) => {
        expect(describeAdvice(status, headers).length).toBeLessThan(200)
      }),
      { seed: 7, numRuns: 500 },
    )
  })
})
