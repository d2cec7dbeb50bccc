/**
 * Stores which requests crashed endpoints, in one row per request. A crash mark says that a request
 * crashed an endpoint in one of its starts (runs). Peers report crashes to each other directly; the
 * rows inform instances that no peer can reach, and those that start after all others have
 * terminated. Without the rows, such an instance would send the request to further endpoints. Owns
 * the marks and removals to be written, and the rows as last seen.
 *
 * Marks are only added to a row, and each write is conditional on the row's version, so that
 * concurrent writers lose no marks. Removing a row clears its request: the request no longer counts
 * as one that crashes endpoints.
 */

import type { CrashMark } from '@rackwalk/decisions'
import { asId, groupBy } from '@rackwalk/shared'
import type { Clock, Milliseconds, RequestFingerprint, Timer } from '@rackwalk/shared'
import type { ChangedRow, RowAddress, RowStore, StoredRow } from '@rackwalk/stores'
import type { MirrorListener } from '../rows/tableMirror.js'
import {
  CRASH_PARTITION,
  CRASH_TABLE,
  CRASH_RETENTION_MILLISECONDS,
  crashRowCodec,
  crashMarksOf,
  addCrashMarks,
} from './crashRow.js'
import type { CrashRow } from './crashRow.js'

/** Dependencies of a `CrashRecordStore`. */
export interface CrashRecordStoreParts {
  readonly store: RowStore
  readonly clock: Clock
  /** Called with the crash marks of rows that were read. */
  readonly onMarks: (marks: readonly CrashMark[]) => void
  /**
   * Called when a known row of a request no longer exists; not for removals that this instance has
   * completed itself.
   */
  readonly onCleared: (fingerprint: RequestFingerprint) => void
  readonly onMalformedRow: (row: RowAddress) => void
}

interface KnownRow {
  readonly row: CrashRow
  readonly version: number
  /**
   * Whether the row was received from the store, and not only written by this instance. A read that
   * was in flight during a write may lack the written row, which must not count as removed.
   */
  readonly isSeen: boolean
}

/**
 * Maximum number of rows put, and of rows removed, in one transaction; a platform allows 100 rows
 * in total.
 */
const ROWS_PER_WRITE = 50
/** Delay before a failed write is retried. */
const RETRY_MILLISECONDS: Milliseconds = 1_000

/** The crash records, on one instance. */
export class CrashRecordStore implements MirrorListener {
  private readonly rows = new Map<RequestFingerprint, KnownRow>()
  private readonly unwritten = new Map<RequestFingerprint, readonly CrashMark[]>()
  private readonly removals = new Set<RequestFingerprint>()
  private isWriting = false
  private retry: Timer | undefined

  constructor(private readonly parts: CrashRecordStoreParts) {}

  stop(): void {
    this.retry?.cancel()
  }

  /**
   * Queues crashes that this instance observed and cancels queued removals of the same requests.
   * The marks are written as soon as the store accepts them.
   */
  record(marks: readonly CrashMark[]): void {
    for (const [fingerprint, own] of groupBy(marks, mark => mark.fingerprint)) {
      this.removals.delete(fingerprint)
      this.unwritten.set(fingerprint, [...(this.unwritten.get(fingerprint) ?? []), ...own])
    }
    this.writeSoon()
  }

  /** Drops the unwritten marks of a cleared request and queues the removal of its row, if known. */
  remove(fingerprint: RequestFingerprint): void {
    this.unwritten.delete(fingerprint)
    if (!this.rows.has(fingerprint)) return
    this.removals.add(fingerprint)
    this.writeSoon()
  }

  onRows(rows: readonly ChangedRow[], isWhole: boolean): void {
    for (const row of rows) this.observeRow(row)
    if (isWhole) this.noteMissing(new Set(rows.map(({ key }) => key)))
  }

  private observeRow(changed: ChangedRow): void {
    const fingerprint = asId<RequestFingerprint>(changed.key)
    if (changed.value === undefined) return this.noteGone(fingerprint)
    const row = crashRowCodec.decode(changed.value)
    if (row === undefined) return this.parts.onMalformedRow(changed)
    this.rows.set(fingerprint, { row, version: changed.version, isSeen: true })
    const isExpired = this.parts.clock.wallTime() - row.at > CRASH_RETENTION_MILLISECONDS
    if (isExpired) this.remove(fingerprint)
    else this.parts.onMarks(crashMarksOf(fingerprint, row))
  }

  private noteMissing(present: ReadonlySet<string>): void {
    for (const [fingerprint, { isSeen }] of this.rows) {
      if (isSeen && !present.has(fingerprint)) this.noteGone(fingerprint)
    }
  }

  private noteGone(fingerprint: RequestFingerprint): void {
    this.removals.delete(fingerprint)
    if (this.rows.delete(fingerprint)) this.parts.onCleared(fingerprint)
  }

  private writeSoon(): void {
    if (this.isWriting || this.retry !== undefined) return
    this.isWriting = true
    void this.write().finally(() => {
      this.isWriting = false
      if (this.unwritten.size + this.removals.size > 0) this.writeLater()
    })
  }

  private writeLater(): void {
    this.retry = this.parts.clock.after(RETRY_MILLISECONDS, () => {
      this.retry = undefined
      this.writeSoon()
    })
  }

  /** Runs one transaction; marks and removals that it does not write stay queued. */
  private async write(): Promise<void> {
    const puts = [...this.unwritten].slice(0, ROWS_PER_WRITE)
    const removals = [...this.removals].slice(0, ROWS_PER_WRITE)
    const at = this.parts.clock.wallTime()
    const written = puts.map(([fingerprint, marks]) => {
      return { fingerprint, marks, row: addCrashMarks(this.rows.get(fingerprint)?.row, marks, at) }
    })
    const outcome = await this.parts.store.write({
      conditions: [...written.map(({ fingerprint }) => fingerprint), ...removals].map(key => ({
        ...addressOf(key),
        version: this.rows.get(key)?.version ?? 0,
      })),
      puts: written.map(({ fingerprint, row }) => ({
        ...addressOf(fingerprint),
        value: crashRowCodec.encode(row),
      })),
      removals: removals.map(addressOf),
    })
    if (outcome.kind === 'conflict')
      return this.noteConflict(outcome.rows, [...removals, ...puts.map(([key]) => key)])
    if (outcome.kind !== 'done') return
    for (const { fingerprint, marks, row } of written) {
      this.rows.set(fingerprint, { row, version: outcome.version, isSeen: false })
      this.noteWritten(fingerprint, marks)
    }
    for (const fingerprint of removals) {
      this.removals.delete(fingerprint)
      this.rows.delete(fingerprint)
    }
  }

  /**
   * Removes written marks from the queue; marks that were recorded while the write was in flight
   * stay queued.
   */
  private noteWritten(fingerprint: RequestFingerprint, marks: readonly CrashMark[]): void {
    const rest = (this.unwritten.get(fingerprint) ?? []).filter(mark => !marks.includes(mark))
    if (rest.length > 0) this.unwritten.set(fingerprint, rest)
    else this.unwritten.delete(fingerprint)
  }

  /**
   * Applies the current rows after a write was rejected because another instance had changed a row,
   * so that the next attempt is based on them.
   */
  private noteConflict(rows: readonly StoredRow[], attempted: readonly RequestFingerprint[]): void {
    const present = new Set(rows.map(({ key }) => key))
    for (const row of rows) this.observeRow(row)
    for (const fingerprint of attempted)
      if (!present.has(fingerprint)) this.rows.delete(fingerprint)
    for (const key of this.removals) if (!this.rows.has(key)) this.removals.delete(key)
  }
}

function addressOf(fingerprint: RequestFingerprint): RowAddress {
  return { table: CRASH_TABLE, partition: CRASH_PARTITION, key: fingerprint }
}
