/**
 * The row that records crashes of endpoints caused by one request, and its stored form. The key of
 * the row is the request's fingerprint. An endpoint start is one run of an endpoint.
 */

import * as z from 'zod'
import type { CrashMark } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { EndpointStart, Milliseconds, RequestFingerprint } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'

/** Table of the rows. */
export const CRASH_TABLE = 'crashes'
/** Partition of the rows; a single one, so that one read returns all rows. */
export const CRASH_PARTITION = ''

/**
 * A record is kept for this long after crashes were last added to it, so that a request that
 * arrives daily is recognized throughout. A request that is still sent after its record expired
 * costs two endpoints per week until an operator acts.
 */
export const CRASH_RETENTION_MILLISECONDS: Milliseconds = 7 * 24 * 3_600_000

/** One crash of an endpoint caused by the request. */
interface RecordedCrash {
  readonly start: EndpointStart
  /** Whether the request was sent to the endpoint in isolation, as a suspect. */
  readonly wasIsolated: boolean
}

/** The record of one request. */
export interface CrashRow {
  readonly ends: readonly RecordedCrash[]
  /**
   * Wall-clock time at which crashes were last added to the record, by the clock of the instance
   * that wrote the row; milliseconds since 1970.
   */
  readonly at: Milliseconds
}

const crashSchema = z.object({
  ends: z.array(z.object({ start: z.string(), wasIsolated: z.boolean() })),
  at: z.number(),
})

type CrashWire = z.infer<typeof crashSchema>

/** The stored form of a crash row. */
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

/** Returns the crash marks that a row contains. */
export function crashMarksOf(
  fingerprint: RequestFingerprint,
  { ends }: CrashRow,
): readonly CrashMark[] {
  return ends.map(({ start, wasIsolated }) => ({ fingerprint, start, wasIsolated }))
}

/**
 * Returns the row with further crash marks added, at wall-clock time `at`. Of several marks of the
 * same endpoint start one remains, which counts as isolated if any of them does.
 */
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
