import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { NO_ADVICE_HEADERS, adviceText, parseAdvice } from '@rackwalk/decisions'
import type { AdviceHeaders } from '@rackwalk/decisions'

const CONTEXT = {
  wallTime: Date.UTC(2026, 0, 4, 8, 0, 0),
  longestRestMilliseconds: 60_000,
}

function read(texts: Partial<AdviceHeaders>) {
  return parseAdvice({ ...NO_ADVICE_HEADERS, ...texts }, CONTEXT)
}

function rate(text: string, windowSeconds = 1) {
  return read({ rates: [{ text, windowSeconds }] }).rate
}

describe('what an endpoint says of itself in an answer', () => {
  it('is nothing where the answer has none of the header fields', () => {
    const advice = read({})
    expect(advice).toEqual({
      rate: 'none',
      isLeaving: false,
      restMilliseconds: undefined,
      faults: [],
    })
    expect(adviceText(advice)).toBeUndefined()
  })

  it('is a rate, for any window, and the strictest of several', () => {
    const texts = [
      '1.3',
      '20',
      '0.4',
      '0',
      '1e9',
      '-1',
      '',
      'many',
      '1.3, 0.5',
      '1.3,',
      ' 7 ',
      '9'.repeat(65),
    ]
    expect(texts.map(text => `${JSON.stringify(text).slice(0, 12)}: ${rate(text)}`))
      .toMatchInlineSnapshot(`
      [
        ""1.3": 1.3",
        ""20": 20",
        ""0.4": 0.4",
        ""0": 0.016666666666666666",
        ""1e9": unreadable",
        ""-1": unreadable",
        """: unreadable",
        ""many": unreadable",
        ""1.3, 0.5": 0.5",
        ""1.3,": unreadable",
        "" 7 ": 7",
        ""99999999999: unreadable",
      ]
    `)
    expect(rate('90', 60)).toBe(1.5)
    const several = [
      { text: '100', windowSeconds: 10 },
      { text: '240', windowSeconds: 60 },
    ]
    expect(read({ rates: several }).rate).toBe(4)
  })

  it('is that it is leaving, by a plain yes only', () => {
    const texts = ['1', 'true', '0', 'false', 'soon', '']
    const table = texts.map(leaving => `${leaving}: ${adviceText(read({ leaving })) ?? '-'}`)
    expect(table).toMatchInlineSnapshot(`
      [
        "1: leaving",
        "true: leaving",
        "0: -",
        "false: -",
        "soon: unreadable leaving",
        ": unreadable leaving",
      ]
    `)
  })

  it('is a rest, in seconds or until a date, up to the longest one allowed', () => {
    const rests = [
      '3',
      '0.25',
      '0',
      '604800',
      '-3',
      'soon',
      '3, 4',
      'Sun, 04 Jan 2026 08:00:05 GMT',
      'Sun, 04 Jan 2026 07:59:59 GMT',
      'Sun, 04 Jan 2099 08:00:00 GMT',
      '2026-01-04T08:00:05Z',
    ]
    const table = rests.map(rest => `${rest}: ${adviceText(read({ rest })) ?? '-'}`)
    expect(table).toMatchInlineSnapshot(`
      [
        "3: rest of 3000 ms",
        "0.25: rest of 250 ms",
        "0: -",
        "604800: rest of 60000 ms",
        "-3: unreadable rest",
        "soon: unreadable rest",
        "3, 4: unreadable rest",
        "Sun, 04 Jan 2026 08:00:05 GMT: rest of 5000 ms",
        "Sun, 04 Jan 2026 07:59:59 GMT: -",
        "Sun, 04 Jan 2099 08:00:00 GMT: rest of 60000 ms",
        "2026-01-04T08:00:05Z: unreadable rest",
      ]
    `)
  })

  it('is bounded and never throws, for any text', () => {
    const anyText = fc.oneof(
      fc.string(),
      fc.constantFrom('9'.repeat(100_000), 'x'.repeat(100_000)),
      fc.double().map(String),
      fc.date({ noInvalidDate: true }).map(date => date.toUTCString()),
    )
    const anyTexts = fc.record({
      rates: fc.array(
        fc.record({ text: anyText, windowSeconds: fc.integer({ min: 1, max: 86_400 }) }),
      ),
      leaving: fc.option(anyText, { nil: undefined }),
      rest: fc.option(anyText, { nil: undefined }),
    })
    fc.assert(
      fc.property(anyTexts, texts => {
        const advice = parseAdvice(texts, CONTEXT)
        const rest = advice.restMilliseconds ?? 1
        expect(rest).toBeGreaterThan(0)
        expect(rest).toBeLessThanOrEqual(CONTEXT.longestRestMilliseconds)
        const least = 1_000 / CONTEXT.longestRestMilliseconds
        if (typeof advice.rate === 'number') expect(advice.rate).toBeGreaterThanOrEqual(least)
        expect((adviceText(advice) ?? '').length).toBeLessThan(200)
      }),
      { seed: 7, numRuns: 300 },
    )
  })
})
