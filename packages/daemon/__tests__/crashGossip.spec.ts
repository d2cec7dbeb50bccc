import { describe, expect, it } from 'vitest'
import { decodeReport, encodeReport, decodeCrashGossip, encodeCrashGossip } from '@rackwalk/daemon'
import { asId } from '@rackwalk/shared'
import type { EndpointStart, PromptPartKey } from '@rackwalk/shared'
import type { CrashGossip } from '@rackwalk/decisions'

/** Crash gossip, which travels in the datagrams of load reports. */

const SENDER = { instance: 'instance-1', incarnation: 'life-1' }
const GOSSIP: CrashGossip = {
  marks: [
    { fingerprint: asId('first'), start: asId('endpoint-1@17'), wasIsolated: false },
    { fingerprint: asId('second'), start: asId('endpoint-1@17'), wasIsolated: true },
  ],
  cleared: [{ fingerprint: asId('third'), starts: [asId('endpoint-2'), asId('endpoint-3')] }],
}

function received(gossip: CrashGossip): readonly CrashGossip[] {
  return encodeCrashGossip(gossip, SENDER).map(report => {
    const decoded = decodeReport(encodeReport(report))
    expect(decoded).toBeDefined()
    return decoded === undefined ? { marks: [], cleared: [] } : decodeCrashGossip(decoded)
  })
}

describe('crash gossip', () => {
  it('is decoded as it was encoded', () => {
    expect(received(GOSSIP)).toEqual([GOSSIP])
  })

  it('carries suspect requests whose endpoints are being probed, in entries that an earlier version ignores', () => {
    const suspected = GOSSIP.marks
    const gossip: CrashGossip = { marks: [], cleared: [], suspected }
    expect(received(gossip)).toEqual([gossip])
    const [report] = encodeCrashGossip(gossip, SENDER)
    expect(report?.loads.map(({ endpoint }) => endpoint)).toEqual([
      'suspected endpoint-1@17',
      'suspected endpoint-1@17',
    ])
  })

  it('carries prompt parts, with the age of crashes, in entries that an earlier version ignores', () => {
    const parts = Array.from({ length: 10 }, (_, count) => asId<PromptPartKey>(`part-${count}`))
    const start = asId<EndpointStart>('endpoint-1@17')
    const partEnds = [
      { start, parts: parts.slice(0, 2), wasIsolated: false, ageMilliseconds: 120 },
      { start, parts: parts.slice(2, 3), wasIsolated: true, ageMilliseconds: 0 },
    ]
    const gossip: CrashGossip = { marks: [], cleared: [], partEnds, triedParts: parts.slice(0, 1) }
    expect(received(gossip)).toEqual([gossip])
    const decoded = received({ marks: [], cleared: [], deadlyParts: parts, soundParts: parts })
    expect(decoded.flatMap(({ deadlyParts = [] }) => deadlyParts)).toEqual(parts)
    expect(decoded.flatMap(({ soundParts = [] }) => soundParts)).toEqual(parts)
  })

  it('keeps datagrams with many parts below the MTU of a link', () => {
    const deadlyParts = Array.from({ length: 200 }, (_, count) => {
      return asId<PromptPartKey>(`part-${count}`.padEnd(16))
    })
    const reports = encodeCrashGossip({ marks: [], cleared: [], deadlyParts }, SENDER)
    expect(Math.max(...reports.map(report => encodeReport(report).length))).toBeLessThan(1_300)
  })

  it('is encoded as an outdated report, which an earlier version reads and drops', () => {
    const [report] = encodeCrashGossip(GOSSIP, SENDER)
    expect(report && encodeReport(report).toString()).toMatchInlineSnapshot(
      `"["instance-1","life-1",0,false,[["ended endpoint-1@17",0,0,[["first",0]]],["ended endpoint-1@17",0,0,[["second",1]]],["cleared third",0,0,[["endpoint-2",0],["endpoint-3",0]]]]]"`,
    )
  })

  it('is split into datagrams below the MTU of a link', () => {
    const marks = Array.from({ length: 100 }, (_, count) => ({
      fingerprint: asId<CrashGossip['marks'][number]['fingerprint']>(`request-${count}`.padEnd(16)),
      start: asId<CrashGossip['marks'][number]['start']>('e'.repeat(40)),
      wasIsolated: false,
    }))
    const reports = encodeCrashGossip({ marks, cleared: [] }, SENDER)
    expect(Math.max(...reports.map(report => encodeReport(report).length))).toBeLessThan(1_300)
    expect(reports.flatMap(report => decodeCrashGossip(report).marks)).toEqual(marks)
  })

  it('carries starts that were probed and are alive', () => {
    const lives = [asId<CrashGossip['marks'][number]['start']>('endpoint-1@17')]
    expect(received({ marks: [], cleared: [], lives })).toEqual([{ marks: [], cleared: [], lives }])
  })

  it('carries starts whose address accepts connections but does not answer', () => {
    const away = [asId<CrashGossip['marks'][number]['start']>('endpoint-1@17')]
    expect(received({ marks: [], cleared: [], away })).toEqual([{ marks: [], cleared: [], away }])
  })
})
