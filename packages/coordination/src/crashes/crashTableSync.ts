/**
 * Records of requests that crash endpoints, for the OpenAI-style kind: rows of its table. A crash
 * mark says that a request crashed an endpoint in one of its starts (runs). The rows are read only
 * periodically, since peers report crashes to each other immediately; they inform instances that
 * start later. Owns the marks and removals to be written, and the keys of the rows last read.
 */

import type { CrashMark } from '@rackwalk/decisions'
import { asId, groupBy } from '@rackwalk/shared'
import type { Clock, RandomSource, RequestFingerprint, TransactionId } from '@rackwalk/shared'
import type { Row, RowCondition, RowWrite, TableService } from '@rackwalk/stores'
import { decodeRowValue } from '../rowCodecs.js'
import { CRASHES_PARTITION, crashKey } from '../tableKeys.js'
import {
  CRASH_RETENTION_MILLISECONDS,
  crashRowCodec,
  crashMarksOf,
  addCrashMarks,
} from './crashRow.js'

/** Dependencies of a `CrashTableSync`. */
export interface CrashTableSyncParts {
  readonly table: TableService
  readonly clock: Clock
  readonly random: RandomSource
  /** Called with the crash marks of rows that were read. */
  readonly onMarks: (marks: readonly CrashMark[]) => void
  /** Called when a row that the previous read returned no longer exists. */
  readonly onCleared: (fingerprint: RequestFingerprint) => void
}

/** The crash records, on one instance of the OpenAI-style kind. */
export class CrashTableSync {
  private seen: ReadonlySet<RequestFingerprint> = new Set()
  private unwritten: readonly CrashMark[] = []
  private removals: readonly RequestFingerprint[] = []

  constructor(private readonly parts: CrashTableSyncParts) {}

  /** Queues crashes that this instance observed for the next synchronization. */
  record(marks: readonly CrashMark[]): void {
    this.unwritten = [...this.unwritten, ...marks]
  }

  /**
   * Drops the unwritten marks of a cleared request and queues the removal of its row for the next
   * synchronization. The removal is done after the writes, and also removes marks recorded since.
   */
  remove(fingerprint: RequestFingerprint): void {
    this.unwritten = this.unwritten.filter(mark => mark.fingerprint !== fingerprint)
    this.removals = [...this.removals, fingerprint]
  }

  /**
   * Writes queued marks and removals, then reads all rows and removes expired ones; throws if the
   * table does not answer.
   */
  async synchronize(): Promise<void> {
    await this.writeAll()
    await this.read()
  }

  private async writeAll(): Promise<void> {
    for (const [fingerprint, marks] of groupBy(this.unwritten, mark => mark.fingerprint)) {
      if (await this.write(fingerprint, marks)) {
        this.unwritten = this.unwritten.filter(mark => !marks.includes(mark))
      }
    }
    for (const fingerprint of this.removals) {
      const row = await this.parts.table.get(crashKey(fingerprint))
      if (row === undefined || (await this.transact(deletionOf(row)))) {
        this.removals = this.removals.filter(other => other !== fingerprint)
      }
    }
  }

  /**
   * Adds marks to the row of a request. Returns false if another instance wrote the row
   * concurrently; the next synchronization tries again on the basis of the new row.
   */
  private async write(
    fingerprint: RequestFingerprint,
    marks: readonly CrashMark[],
  ): Promise<boolean> {
    const key = crashKey(fingerprint)
    const row = await this.parts.table.get(key)
    const before = row && decodeRowValue(crashRowCodec, row)
    const after = addCrashMarks(before, marks, this.parts.clock.wallTime())
    const value = crashRowCodec.toJson(after)
    return this.transact({ kind: 'put', key, condition: conditionOf(row), value })
  }

  private async transact(write: RowWrite): Promise<boolean> {
    const id = asId<TransactionId>(this.parts.random.uniqueId())
    return (await this.parts.table.transact(id, [write])).committed
  }

  private async read(): Promise<void> {
    const rows = await this.parts.table.query(CRASHES_PARTITION)
    const present = new Set<RequestFingerprint>()
    for (const row of rows) {
      const fingerprint = asId<RequestFingerprint>(row.key.sort)
      present.add(fingerprint)
      await this.applyRow(fingerprint, row)
    }
    const gone = [...this.seen].filter(fingerprint => !present.has(fingerprint))
    this.seen = present
    for (const fingerprint of gone) this.parts.onCleared(fingerprint)
  }

  private async applyRow(fingerprint: RequestFingerprint, row: Row): Promise<void> {
    const record = decodeRowValue(crashRowCodec, row)
    const isExpired = this.parts.clock.wallTime() - record.at > CRASH_RETENTION_MILLISECONDS
    if (isExpired) await this.transact(deletionOf(row))
    else this.parts.onMarks(crashMarksOf(fingerprint, record))
  }
}

function deletionOf({ key, version }: Row): RowWrite {
  return { kind: 'delete', key, condition: { kind: 'version', version } }
}

function conditionOf(row: Row | undefined): RowCondition {
  return row === undefined ? { kind: 'absent' } : { kind: 'version', version: row.version }
}
