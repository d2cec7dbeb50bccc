/** The row that tells of ends of endpoints under one request, and its stored form. It lies under the request's fingerprint. */

import * as z from 'zod'
import type { CrashMark } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { EndpointStart, Milliseconds, RequestFingerprint } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'

/** Table of the rows. */
export const CRASH_TABLE = 'crashes'
/** Partition of the rows; one for all, so that one read gives them. */
export const CRASH_PARTITION = ''

/**
 * A record is kept for this long after the newest end: a request that comes daily is recognised; one that
 * outlasts it costs two endpoints a week until an operator acts.
 */
export const CRASH_RETENTION_MILLISECONDS: Milliseconds = 7 * 24 * 3_600_000

/** One end of an endpoint under the request. */
interface RecordedCrash {
  readonly start: EndpointStart
  /** Whether the request was sent there as suspected. */
  readonly wasIsolated: boolean
}

/** What is kept of one request. */
export interface CrashRow {
  readonly ends: readonly RecordedCrash[]
  /** Time of day of the newest end, by the clock of who saw it; milliseconds since 1970. */
  readonly at: Milliseconds
}

const crashSchema = z.object({
  ends: z.array(z.object({ start: z.string(), wasIsolated: z.boolean() })),
  at: z.number(),
})

type CrashWire = z.infer<typeof crashSchema>

/** The stored form. */
export const crashRowCodec = new JsonCodec<CrashWire, CrashRow>({
  schema: crashSchema,
  toWire: ({ ends, at }) => ({
    ends: ends.map(({ start, wasIsolated }) => ({ start, wasIsolated })),
    at,
  }),
  fromWire: ({ ends, at }) => ({
    ends: ends.map(({ start, wasIsolated }) => ({ start: asId(start), wasIsolated })),
    at,
  }),
})

/** What a row says, as marks. */
export function crashMarksOf(
  fingerprint: RequestFingerprint,
  { ends }: CrashRow,
): readonly CrashMark[] {
  return ends.map(({ start, wasIsolated }) => ({ fingerprint, start, wasIsolated }))
}

/** The row with further ends in it. */
export function addCrashMarks(
  row: CrashRow | undefined,
  marks: readonly CrashMark[],
  at: Milliseconds,
): CrashRow {
  const ends = new Map((row?.ends ?? []).map(({ start, wasIsolated }) => [start, wasIsolated]))
  for (const { start, wasIsolated } of marks) {
    ends.set(start, wasIsolated || (ends.get(start) ?? false))
  }
  return { ends: [...ends].map(([start, wasIsolated]) => ({ start, wasIsolated })), at }
}
