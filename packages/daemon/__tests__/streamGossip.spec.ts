import { describe, expect, it } from 'vitest'
import { asId } from '@rackwalk/shared'
import type { SoftwareVersion, StreamKey } from '@rackwalk/shared'
import {
  decodeRecordGossip,
  decodeStreamGossip,
  encodeRecordGossip,
  encodeStreamStarts,
  encodeVersionGossip,
} from '../src/gateway/streamGossip.js'
import { decodeCrashGossip } from '../src/gateway/crashGossip.js'
import { decodeReport, encodeReport } from '../src/gateway/loadReport.js'

const IDENTITY = { instance: 'instance-1', incarnation: 'first' }
const LARGEST_DATAGRAM_BYTES = 1_300

function streams(count: number, version = 'v1.1') {
  const origin = { service: 'models', softwareVersion: asId<SoftwareVersion>(version) }
  return Array.from({ length: count }, (_, index) => ({
    key: asId<StreamKey>(`key-of-stream-${String(index).padStart(3, '0')}`),
    origin,
    lifetimeMilliseconds: 4_200,
  }))
}

describe('stream gossip', () => {
  it('is encoded as an outdated report, which an earlier version drops', () => {
    const reports = [
      ...encodeStreamStarts(streams(1), IDENTITY),
      ...encodeVersionGossip([{ service: 'models', softwareVersion: asId('v 2') }], IDENTITY),
    ]
    expect(reports.map(report => encodeReport(report).toString())).toMatchInlineSnapshot(`
      [
        "["instance-1","first",0,false,[["streams begun at [\\"models\\",\\"v1.1\\"]",0,0,[["key-of-stream-000",4200]]]]]",
        "["instance-1","first",0,false,[["version serves [\\"models\\",\\"v 2\\"]",0,0,[]]]]",
      ]
    `)
    expect(reports.map(report => decodeCrashGossip(report))).toEqual([
      { marks: [], cleared: [] },
      { marks: [], cleared: [] },
    ])
  })

  it('is decoded as it was encoded, in small datagrams', () => {
    const begun = [...streams(40), ...streams(2, 'v1')]
    const datagrams = encodeStreamStarts(begun, IDENTITY).map(report => encodeReport(report))
    const decoded = datagrams.flatMap(bytes => {
      const report = decodeReport(bytes)
      return report === undefined ? [] : decodeStreamGossip(report).begun
    })
    expect(decoded).toEqual(begun)
    expect(Math.max(...datagrams.map(({ length }) => length))).toBeLessThan(LARGEST_DATAGRAM_BYTES)
  })

  it('tells records of versions in the same way, one a datagram, and leaves out what is too long for one', () => {
    const record = { service: 'models', version: 12, value: '{"knownSince":1,"versions":[]}' }
    const long = { ...record, value: 'x'.repeat(1_000) }
    const reports = encodeRecordGossip([record, record, long], IDENTITY)
    expect(reports.map(report => encodeReport(report).toString())).toMatchInlineSnapshot(`
      [
        "["instance-1","first",0,false,[["versions recorded [\\"models\\",12,\\"{\\\\\\"knownSince\\\\\\":1,\\\\\\"versions\\\\\\":[]}\\"]",0,0,[]]]]",
        "["instance-1","first",0,false,[["versions recorded [\\"models\\",12,\\"{\\\\\\"knownSince\\\\\\":1,\\\\\\"versions\\\\\\":[]}\\"]",0,0,[]]]]",
      ]
    `)
    expect(reports.flatMap(decodeRecordGossip)).toEqual([record, record])
    expect(reports.map(decodeStreamGossip)).toEqual([
      { begun: [], versions: [] },
      { begun: [], versions: [] },
    ])
  })

  it('ignores malformed records', () => {
    const texts = ['', '{}', '["models"]', '["models","1","{}"]', '["models",1.5,"{}"]', '[3,1,""]']
    const loads = texts.map(text => {
      return { endpoint: `versions recorded ${text}`, running: 0, pendingTokens: 0, parts: [] }
    })
    const report = { ...IDENTITY, sequence: 0, isWhole: false, loads }
    expect(decodeRecordGossip(report)).toEqual([])
  })

  it('ignores malformed entries', () => {
    const load = { running: 0, pendingTokens: 0, parts: [{ id: 'key', tokens: 1 }] }
    const endpoints = [
      'streams begun at v1',
      'streams begun at ["models"]',
      'version serves 3',
      'i-1',
    ]
    const loads = endpoints.map(endpoint => ({ endpoint, ...load }))
    const gossip = decodeStreamGossip({ ...IDENTITY, sequence: 0, isWhole: false, loads })
    expect(gossip).toEqual({ begun: [], versions: [] })
  })
})
