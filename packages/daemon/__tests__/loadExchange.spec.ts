import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import * as z from 'zod'
import { decodeReport, encodeReport } from '@rackwalk/daemon'

const reports = fc.record({
  instance: fc.string(),
  incarnation: fc.string(),
  sequence: fc.nat(),
  isWhole: fc.boolean(),
  loads: fc.array(
    fc.record({
      endpoint: fc.string(),
      running: fc.nat(),
      pendingTokens: fc.nat(),
      parts: fc.array(fc.record({ id: fc.string(), tokens: fc.nat() })),
    }),
  ),
})

/** Values that are almost reports: any position may hold a value of the wrong type. */
const odd = fc.oneof(
  fc.constantFrom<unknown>(null, -1, 0.5, 'text', true, [], {}, ['a', 1], ['a', 1, 0, []]),
  fc.constantFrom<unknown>(['a', -1], ['a'], ['a', 1, 2], [1, 'a'], ['a', 1, -1, []]),
)
const nearly = (arbitrary: fc.Arbitrary<unknown>) =>
  fc.oneof({ weight: 12, arbitrary }, { weight: 1, arbitrary: odd })
const wireParts = nearly(fc.array(nearly(fc.tuple(nearly(fc.string()), nearly(fc.nat())))))
const wireLoads = nearly(
  fc.array(nearly(fc.tuple(nearly(fc.string()), nearly(fc.nat()), nearly(fc.nat()), wireParts)), {
    maxLength: 3,
  }),
)
const wireReports = nearly(
  fc.tuple(
    nearly(fc.string()),
    nearly(fc.string()),
    nearly(fc.integer()),
    nearly(fc.boolean()),
    wireLoads,
  ),
)

/** `[instance, incarnation, sequence, isWhole, [[endpoint, running, pendingTokens, [[id, tokens], ...]], ...]]` */
const form = z.tuple([
  z.string(),
  z.string(),
  z.number(),
  z.boolean(),
  z.array(
    z.tuple([
      z.string(),
      z.number().nonnegative(),
      z.number().nonnegative(),
      z.array(z.tuple([z.string(), z.number().nonnegative()])),
    ]),
  ),
])

describe('datagrams about load', () => {
  it('are decoded if and only if they have the form of a report', () => {
    let refused = 0
    fc.assert(
      fc.property(wireReports, value => {
        const isReport = form.safeParse(value).success
        if (!isReport) refused += 1
        expect(decodeReport(Buffer.from(JSON.stringify(value))) !== undefined).toBe(isReport)
      }),
      { seed: 1, numRuns: 2_000 },
    )
    expect(refused).toBeGreaterThan(200)
    expect(refused).toBeLessThan(1_800)
    expect(decodeReport(Buffer.from('["a","b",1e999,true,[]]'))).toBeUndefined()
  })

  // One report of an absurd load left the sums over all instances wrong for good.
  it.each(['1e308', '1e17', '1e13', '1e999', '-1e308'])(
    'that report a load of %s are ignored',
    amount => {
      for (const load of [`${amount},0,[]`, `0,${amount},[]`, `0,0,[["a",${amount}]]`]) {
        const text = `["peer","first",1,true,[["s1",${load}]]]`
        expect(decodeReport(Buffer.from(text))).toBeUndefined()
      }
    },
  )

  // Later reports would be taken for outdated ones.
  it.each(['1e308', '9007199254740994', '-1e308', '1e999'])(
    'with the sequence %s are ignored',
    sequence => {
      expect(decodeReport(Buffer.from(`["peer","first",${sequence},true,[]]`))).toBeUndefined()
    },
  )

  it('that are nested deeply or very long are ignored', () => {
    const deep = '['.repeat(20_000) + ']'.repeat(20_000)
    for (const text of [deep, `["a","b",1,true,${deep}]`, `["a","b",1,true,[["s",1,0,${deep}]]]`]) {
      expect(decodeReport(Buffer.from(text))).toBeUndefined()
    }
    expect(decodeReport(Buffer.from(`["${'a'.repeat(60_000)}"`))).toBeUndefined()
  })

  it('carry a report unchanged', () => {
    fc.assert(
      fc.property(reports, report => {
        expect(decodeReport(encodeReport(report))).toEqual(report)
      }),
      { seed: 1 },
    )
  })

  it('that are no report are ignored', () => {
    fc.assert(
      fc.property(fc.uint8Array(), bytes => {
        expect(decodeReport(Buffer.from(bytes))).toBeUndefined()
      }),
      { seed: 1 },
    )
    expect(decodeReport(Buffer.from('["a","b",1,true,[["s",-1,0,[]]]]'))).toBeUndefined()
  })
})
