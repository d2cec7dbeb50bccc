import { describe, expect, it } from 'vitest'
import { decodeReport, encodeReport, decodeCrashGossip, encodeCrashGossip } from '@rackwalk/daemon'
import { asId } from '@rackwalk/shared'
import type { EndpointStart, PromptPartKey } from '@rackwalk/shared'
import type { CrashGossip } from '@rackwalk/decisions'

/** News of requests that end endpoints, as they travel beside reports of load. */

const SENDER = { instance: 'instance-1', incarnation: 'life-1' }
const NEWS: CrashGossip = {
  marks: [
    { fingerprint: asId('first'), start: asId('endpoint-1@17'), wasIsolated: false },
    { fingerprint: asId('second'), start: asId('endpoint-1@17'), wasIsolated: true },
  ],
  cleared: [{ fingerprint: asId('third'), starts: [asId('endpoint-2'), asId('endpoint-3')] }],
}

function received(news: CrashGossip): readonly CrashGossip[] {
  return encodeCrashGossip(news, SENDER).map(report => {
    const decoded = decodeReport(encodeReport(report))
    expect(decoded).toBeDefined()
    return decoded === undefined ? { marks: [], cleared: [] } : decodeCrashGossip(decoded)
  })
}

describe('news of requests that end endpoints', () => {
  it('comes as it was told', () => {
    expect(received(NEWS)).toEqual([NEWS])
  })

  it('tells of requests whose endpoints are looked at, in entries that an earlier version passes over', () => {
    const suspected = NEWS.marks
    const news: CrashGossip = { marks: [], cleared: [], suspected }
    expect(received(news)).toEqual([news])
    const [report] = encodeCrashGossip(news, SENDER)
    expect(report?.loads.map(({ endpoint }) => endpoint)).toEqual([
      'suspected endpoint-1@17',
      'suspected endpoint-1@17',
    ])
  })

  it('tells of parts of prompts, with the age of ends, in entries that an earlier version passes over', () => {
    const parts = Array.from({ length: 10 }, (_, count) => asId<PromptPartKey>(`part-${count}`))
    const start = asId<EndpointStart>('endpoint-1@17')
    const partEnds = [
      { start, parts: parts.slice(0, 2), wasIsolated: false, ageMilliseconds: 120 },
      { start, parts: parts.slice(2, 3), wasIsolated: true, ageMilliseconds: 0 },
    ]
    const news: CrashGossip = { marks: [], cleared: [], partEnds, triedParts: parts.slice(0, 1) }
    expect(received(news)).toEqual([news])
    const told = received({ marks: [], cleared: [], deadlyParts: parts, soundParts: parts })
    expect(told.flatMap(({ deadlyParts = [] }) => deadlyParts)).toEqual(parts)
    expect(told.flatMap(({ soundParts = [] }) => soundParts)).toEqual(parts)
  })

  it('stays under what a link passes on whole where it tells of many parts', () => {
    const deadlyParts = Array.from({ length: 200 }, (_, count) => {
      return asId<PromptPartKey>(`part-${count}`.padEnd(16))
    })
    const reports = encodeCrashGossip({ marks: [], cleared: [], deadlyParts }, SENDER)
    expect(Math.max(...reports.map(report => encodeReport(report).length))).toBeLessThan(1_300)
  })

  it('has the form of a report that an earlier version reads and drops as too late', () => {
    const [report] = encodeCrashGossip(NEWS, SENDER)
    expect(report && encodeReport(report).toString()).toMatchInlineSnapshot(
      `"["instance-1","life-1",0,false,[["ended endpoint-1@17",0,0,[["first",0]]],["ended endpoint-1@17",0,0,[["second",1]]],["cleared third",0,0,[["endpoint-2",0],["endpoint-3",0]]]]]"`,
    )
  })

  it('is cut so that each datagram stays under what a link passes on whole', () => {
    const marks = Array.from({ length: 100 }, (_, count) => ({
      fingerprint: asId<CrashGossip['marks'][number]['fingerprint']>(`request-${count}`.padEnd(16)),
      start: asId<CrashGossip['marks'][number]['start']>('e'.repeat(40)),
      wasIsolated: false,
    }))
    const reports = encodeCrashGossip({ marks, cleared: [] }, SENDER)
    expect(Math.max(...reports.map(report => encodeReport(report).length))).toBeLessThan(1_300)
    expect(reports.flatMap(report => decodeCrashGossip(report).marks)).toEqual(marks)
  })

  it('tells of starts that were looked at and live', () => {
    const lives = [asId<CrashGossip['marks'][number]['start']>('endpoint-1@17')]
    expect(received({ marks: [], cleared: [], lives })).toEqual([{ marks: [], cleared: [], lives }])
  })

  it('tells of starts behind whose address something listens that does not answer', () => {
    const away = [asId<CrashGossip['marks'][number]['start']>('endpoint-1@17')]
    expect(received({ marks: [], cleared: [], away })).toEqual([{ marks: [], cleared: [], away }])
  })
})
