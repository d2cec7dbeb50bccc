/**
 * How records of requests that end endpoints also tell of parts of prompts: a part lies under a key that no request has, so
 * that an earlier version reads it as a request that nobody sends. Owns nothing.
 */

import type { CrashMark } from '@rackwalk/decisions'
import { asId, groupBy } from '@rackwalk/shared'
import type { PromptPartKey, RequestFingerprint } from '@rackwalk/shared'
import type { CrashGuard } from './crashGuard.js'

/** No fingerprint of a request has this in it. */
const PART_PREFIX = 'part:'

/** What is kept of a part that is refused. */
export function marksOfPart(guard: CrashGuard, part: PromptPartKey): readonly CrashMark[] {
  const fingerprint = recordKeyOf(part)
  const starts = guard.promptParts.startsOf(part)
  return starts.map(start => ({ fingerprint, start, wasIsolated: true }))
}

/** The key of the record of a part. */
export function recordKeyOf(part: PromptPartKey): RequestFingerprint {
  return asId(`${PART_PREFIX}${part}`)
}

/** Takes in what records say, of requests and of parts. */
export function observeRecords(guard: CrashGuard, marks: readonly CrashMark[]): void {
  const byPart = groupBy(marks, ({ fingerprint }) => partOf(fingerprint))
  for (const [part, own] of byPart) {
    if (part === undefined) guard.applyNews({ marks: own, cleared: [] })
    else noteRecordedPart(guard, part, own)
  }
}

/** The record of a request or of a part has gone. */
export function forgetRecord(guard: CrashGuard, key: RequestFingerprint): void {
  const part = partOf(key)
  if (part === undefined) guard.forget(key)
  else guard.promptParts.forget([part])
}

function noteRecordedPart(
  { promptParts }: CrashGuard,
  part: PromptPartKey,
  marks: readonly CrashMark[],
): void {
  promptParts.applyRecord(
    part,
    marks.map(({ start }) => start),
  )
}

/** Undefined where the record is one of a request. */
function partOf(key: RequestFingerprint): PromptPartKey | undefined {
  return key.startsWith(PART_PREFIX)
    ? asId<PromptPartKey>(key.slice(PART_PREFIX.length))
    : undefined
}
