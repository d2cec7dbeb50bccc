import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
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

describe('datagrams about load', () => {
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
