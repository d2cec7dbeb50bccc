/**
 * Keeps in the store which requests ended endpoints, so that instances learn of it that hear no others, and those that
 * start after all have died. Owns what is still to be written, and the rows as last seen.
 *
 * A row is only added to, so two writers that meet lose nothing. A row that goes clears its request.
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

/** What the records work with. */
export interface CrashRecordStoreParts {
  readonly store: RowStore
  readonly clock: Clock
  /** Rows say so. */
  readonly onMarks: (marks: readonly CrashMark[]) => void
  /** The row of a request has gone. */
  readonly onCleared: (fingerprint: RequestFingerprint) => void
  readonly onMalformedRow: (row: RowAddress) => void
}

interface KnownRow {
  readonly row: CrashRow
  readonly version: number
  /** Whether the store told of it; a read that was on its way may not have what was written since. */
  readonly isSeen: boolean
}

/** Rows in one transaction; a platform takes 100 entries. */
const ROWS_PER_WRITE = 50
/** A write that the store did not take is tried again after this time. */
const RETRY_MILLISECONDS: Milliseconds = 1_000

/** The records of ends, on one instance. */
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

  /** Ends that this instance saw; they are written as soon as the store takes them. */
  record(marks: readonly CrashMark[]): void {
    for (const [fingerprint, own] of groupBy(marks, mark => mark.fingerprint)) {
      this.removals.delete(fingerprint)
      this.unwritten.set(fingerprint, [...(this.unwritten.get(fingerprint) ?? []), ...own])
    }
    this.writeSoon()
  }

  /** A request is cleared: its row goes. */
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

  /** One transaction; what it could not do stays to be done. */
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

  /** Ends that were noted while the write was on its way are still to be written. */
  private noteWritten(fingerprint: RequestFingerprint, marks: readonly CrashMark[]): void {
    const rest = (this.unwritten.get(fingerprint) ?? []).filter(mark => !marks.includes(mark))
    if (rest.length > 0) this.unwritten.set(fingerprint, rest)
    else this.unwritten.delete(fingerprint)
  }

  /** Another instance wrote first: the next try rests on what is there. */
  private noteConflict(rows: readonly StoredRow[], asked: readonly RequestFingerprint[]): void {
    const present = new Set(rows.map(({ key }) => key))
    for (const row of rows) this.observeRow(row)
    for (const fingerprint of asked) if (!present.has(fingerprint)) this.rows.delete(fingerprint)
    for (const key of this.removals) if (!this.rows.has(key)) this.removals.delete(key)
  }
}

function addressOf(fingerprint: RequestFingerprint): RowAddress {
  return { table: CRASH_TABLE, partition: CRASH_PARTITION, key: fingerprint }
}
