/**
 * Archive of decision records, which explain how a request was handled: recent ones in memory, all
 * of them in segments (objects of many records) in the object store. Owns the records that are not
 * yet written.
 */

import * as z from 'zod'
import type { Clock, IncarnationId, Milliseconds, RequestId } from '@rackwalk/shared'
import { RackwalkError, ResultCode } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'
import type { JsonValue, ObjectStore } from '@rackwalk/stores'
import { jsonSchema, idSchema, identityMapping } from './rowCodecs.js'

/** A record that can be found by its request. */
export interface ArchivedRecord {
  readonly requestId: RequestId
  readonly record: JsonValue
}

const archivedSchema = z.object({ requestId: idSchema<RequestId>(), record: jsonSchema })

/** Codec of one line of a segment. */
const archivedRecordCodec = new JsonCodec(identityMapping<ArchivedRecord>(archivedSchema))

/** Limits of the archive. */
export interface ArchiveLimits {
  /**
   * Maximum number of records kept in memory for searches, including written ones; also about the
   * number of unwritten records from which on the oldest are dropped.
   */
  readonly memoryRecords: number
  /** Number of unwritten records at which a segment is written, and maximum number per segment. */
  readonly segmentRecords: number
  /** Age of the oldest unwritten record at which a segment is written. */
  readonly segmentAgeMilliseconds: Milliseconds
}

export const DEFAULT_ARCHIVE_LIMITS: ArchiveLimits = {
  memoryRecords: 20_000,
  segmentRecords: 2_000,
  segmentAgeMilliseconds: 10_000,
}

/** Maximum number of segments read for one search. */
const SEGMENTS_PER_SEARCH = 200
const PREFIX = 'decisions'

/**
 * Decision records: recent ones in memory, all of them in object-store segments of many records
 * each. The key of a segment contains the incarnation that decided and the time, and a request id
 * contains the same two, so that a search reads few segments. Unwritten records are lost if the
 * instance crashes, or if the object store does not accept them for long; the journal still
 * contains the bill.
 */
export class DecisionArchive {
  private readonly recent = new Map<RequestId, JsonValue>()
  private unwritten: ArchivedRecord[] = []
  private firstUnwrittenAt: Milliseconds = 0
  private segment = 0
  private writing = false

  constructor(
    private readonly objects: ObjectStore,
    private readonly clock: Clock,
    private readonly incarnation: IncarnationId,
    private readonly limits: ArchiveLimits = DEFAULT_ARCHIVE_LIMITS,
  ) {}

  add(record: ArchivedRecord): void {
    if (this.unwritten.length === 0) this.firstUnwrittenAt = this.clock.monotonic()
    this.unwritten.push(record)
    this.recent.set(record.requestId, record.record)
    this.forgetOldest()
  }

  /** Returns a record that this instance still has in memory. */
  findRecent(requestId: RequestId): JsonValue | undefined {
    return this.recent.get(requestId)
  }

  /**
   * Searches the segments of the incarnation that decided, starting at the request's time; reads at
   * most `SEGMENTS_PER_SEARCH` segments.
   */
  async findWritten(requestId: RequestId): Promise<JsonValue | undefined> {
    const { incarnation, at } = parseRequestId(requestId)
    const prefix = `${PREFIX}/${incarnation}/`
    const after = `${prefix}${paddedTime(at - 1)}`
    const keys = await this.objects.list(prefix, SEGMENTS_PER_SEARCH, after)
    for (const key of keys) {
      const body = await this.objects.get(key)
      const found = body === undefined ? undefined : findInSegment(body, requestId)
      if (found !== undefined) return found
    }
    return undefined
  }

  /** Writes a segment if one is due, or any record with `force`; false if the store rejects it. */
  async writeDue(force = false): Promise<boolean> {
    if (this.writing || this.unwritten.length === 0) return true
    const age = this.clock.monotonic() - this.firstUnwrittenAt
    const isDue =
      force ||
      this.unwritten.length >= this.limits.segmentRecords ||
      age >= this.limits.segmentAgeMilliseconds
    if (!isDue) return true
    this.writing = true
    try {
      return await this.writeSegment()
    } finally {
      this.writing = false
    }
  }

  private async writeSegment(): Promise<boolean> {
    const records = this.unwritten.slice(0, this.limits.segmentRecords)
    const lines = records.map(record => archivedRecordCodec.encode(record)).join('\n')
    this.segment += 1
    const key = `${PREFIX}/${this.incarnation}/${paddedTime(this.clock.wallTime())}-${this.segment}`
    try {
      await this.objects.put(key, Buffer.from(lines))
    } catch (thrown) {
      if (thrown instanceof RackwalkError) return false
      throw thrown
    }
    this.unwritten = this.unwritten.slice(records.length)
    this.firstUnwrittenAt = this.clock.monotonic()
    return true
  }

  private forgetOldest(): void {
    for (const requestId of this.recent.keys()) {
      if (this.recent.size <= this.limits.memoryRecords) break
      this.recent.delete(requestId)
    }
    // In a long outage of the object store, the oldest unwritten records are dropped, so that they
    // do not exceed the memory limit by more than a segment. At least a segment's number of records
    // is dropped at a time, since dropping each single one would copy the others each time.
    const excess = this.unwritten.length - this.limits.memoryRecords
    if (excess >= this.limits.segmentRecords) this.unwritten = this.unwritten.slice(excess)
  }
}

/**
 * Creates a request id that contains the deciding incarnation and the time (wall clock,
 * milliseconds).
 */
export function createRequestId(
  incarnation: IncarnationId,
  at: Milliseconds,
  count: number,
): RequestId {
  return `${incarnation}.${at.toString(36)}.${count.toString(36)}` as RequestId
}

/** Parses a request id; a malformed one yields an incarnation that never existed. */
export function parseRequestId(requestId: RequestId): {
  readonly incarnation: IncarnationId
  readonly at: Milliseconds
} {
  const parts = requestId.split('.')
  const at = Number.parseInt(parts.at(-2) ?? '0', 36)
  return {
    incarnation: parts.slice(0, -2).join('.') as IncarnationId,
    at: Number.isFinite(at) ? at : 0,
  }
}

function findInSegment(body: Buffer, requestId: RequestId): JsonValue | undefined {
  const lines = body.toString('utf8').split('\n')
  const line = lines.find(candidate => candidate.includes(requestId))
  if (line === undefined) return undefined
  const parsed = archivedRecordCodec.decode(line)
  if (parsed === undefined) {
    throw new RackwalkError(ResultCode.PlatformUnavailable, 'malformed line of a segment')
  }
  return parsed.requestId === requestId ? parsed.record : undefined
}

/** Number of digits of a wall-clock time in milliseconds, sufficient for several centuries. */
const TIME_DIGITS = 14

function paddedTime(at: Milliseconds): string {
  return String(Math.max(0, at)).padStart(TIME_DIGITS, '0')
}
