/**
 * Stores refused prompt parts among the records of crash-inducing requests. A part is stored under a key that
 * no request has, so that an earlier version of this software reads the part as a request that is never sent.
 * Owns nothing.
 */

import type { CrashMark } from '@rackwalk/decisions'
import { asId, groupBy } from '@rackwalk/shared'
import type { PromptPartKey, RequestFingerprint } from '@rackwalk/shared'
import type { CrashGuard } from './crashGuard.js'

/** Prefix of the keys of parts. Request fingerprints are base64url and contain no colon. */
const PART_PREFIX = 'part:'

/** Returns the crash marks that are stored for a refused part. */
export function marksOfPart(guard: CrashGuard, part: PromptPartKey): readonly CrashMark[] {
  const fingerprint = recordKeyOf(part)
  const starts = guard.promptParts.startsOf(part)
  return starts.map(start => ({ fingerprint, start, wasIsolated: true }))
}

/** Returns the record key of a part. */
export function recordKeyOf(part: PromptPartKey): RequestFingerprint {
  return asId(`${PART_PREFIX}${part}`)
}

/** Applies stored records of requests and of parts. */
export function observeRecords(guard: CrashGuard, marks: readonly CrashMark[]): void {
  const byPart = groupBy(marks, ({ fingerprint }) => partOf(fingerprint))
  for (const [part, partMarks] of byPart) {
    if (part === undefined) guard.applyGossip({ marks: partMarks, cleared: [] })
    else applyPartRecord(guard, part, partMarks)
  }
}

/** The record of a request or part was removed. */
export function forgetRecord(guard: CrashGuard, key: RequestFingerprint): void {
  const part = partOf(key)
  if (part === undefined) guard.forget(key)
  else guard.promptParts.forget([part])
}

function applyPartRecord(
  { promptParts }: CrashGuard,
  part: PromptPartKey,
  marks: readonly CrashMark[],
): void {
  promptParts.applyRecord(
    part,
    marks.map(({ start }) => start),
  )
}

/** Returns the part of a record; undefined if the record belongs to a request. */
function partOf(key: RequestFingerprint): PromptPartKey | undefined {
  return key.startsWith(PART_PREFIX)
    ? asId<PromptPartKey>(key.slice(PART_PREFIX.length))
    : undefined
}
