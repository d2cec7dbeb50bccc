import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import {
  decodeAdviceGossip,
  encodeAdviceGossip,
  decodeReport,
  encodeReport,
  decodeCrashGossip,
} from '@rackwalk/daemon'
import { asId } from '@rackwalk/shared'
import type { EndpointStart } from '@rackwalk/shared'

/** Advice gossip, which travels in the datagrams of load reports. */

const SENDER = { instance: 'instance-1', incarnation: 'life-1' }

const gossip = fc.record(
  {
    start: fc.string({ minLength: 1, maxLength: 40 }).map(text => asId<EndpointStart>(text)),
    requestsPerSecond: fc.double({ min: 0.001, max: 1e6, noNaN: true }),
    ageMilliseconds: fc.nat(60_000),
  },
  { requiredKeys: ['start', 'ageMilliseconds'] },
)

describe('advice gossip', () => {
  it('is decoded as it was encoded, in datagrams of bounded size', () => {
    fc.assert(
      fc.property(fc.array(gossip, { maxLength: 40 }), all => {
        const received = encodeAdviceGossip(all, SENDER).flatMap(report => {
          const bytes = encodeReport(report)
          expect(bytes.length).toBeLessThan(6_000)
          const decoded = decodeReport(bytes)
          return decoded === undefined ? [] : decodeAdviceGossip(decoded)
        })
        expect(received).toEqual(all)
      }),
      { seed: 7 },
    )
  })

  it('is encoded as an outdated report, which an earlier version drops', () => {
    const start = asId<EndpointStart>('endpoint-1@17')
    const reports = encodeAdviceGossip(
      [
        { start, requestsPerSecond: 1.3, ageMilliseconds: 12 },
        { start, ageMilliseconds: 12 },
      ],
      SENDER,
    )
    expect(reports.map(report => encodeReport(report).toString())).toMatchInlineSnapshot(`
      [
        "["instance-1","life-1",0,false,[["says endpoint-1@17",0,12,[["rate",1.3]]],["says endpoint-1@17",0,12,[]]]]",
      ]
    `)
    expect(reports.map(report => decodeCrashGossip(report))).toEqual([{ marks: [], cleared: [] }])
  })

  it('ignores a rate of 0', () => {
    const report = decodeReport(Buffer.from('["a","b",0,false,[["says e",0,5,[["rate",0]]]]]'))
    expect(report && decodeAdviceGossip(report)).toEqual([{ start: 'e', ageMilliseconds: 5 }])
  })
})
