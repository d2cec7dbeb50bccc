import { StandardRetryAfter } from '@rackwalk/router'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'

const format = new StandardRetryAfter()

/** Milliseconds up to an hour. */
const afterMilliseconds = fc.integer({ min: 0, max: 3_600_000 })

describe('the time to come back at in headers', () => {
  it('is whole seconds, and the exact time in milliseconds', () => {
    const sent = [0, 0.25, 1, 1.7, 3_600].map(seconds => format.retryHeaders(seconds))
    expect(sent.map(headers => JSON.stringify(headers))).toMatchInlineSnapshot(`
      [
        "{"retry-after":"0","retry-after-ms":"0"}",
        "{"retry-after":"1","retry-after-ms":"250"}",
        "{"retry-after":"1","retry-after-ms":"1000"}",
        "{"retry-after":"2","retry-after-ms":"1700"}",
        "{"retry-after":"3600","retry-after-ms":"3600000"}",
      ]
    `)
  })

  it('is never too early, and less than a second too late', () => {
    fc.assert(
      fc.property(afterMilliseconds, milliseconds => {
        const headers = format.retryHeaders(milliseconds / 1_000)
        expect(headers['retry-after']).toMatch(/^\d+$/)
        expect(headers['retry-after-ms']).toBe(String(milliseconds))
        const rounding = Number(headers['retry-after']) * 1_000 - milliseconds
        expect(rounding).toBeGreaterThanOrEqual(0)
        expect(rounding).toBeLessThan(1_000)
      }),
    )
  })
})
