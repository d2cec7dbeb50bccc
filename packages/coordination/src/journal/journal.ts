/**
 * The ordered journal of one incarnation (one run of an instance's process), written in group
 * commits. Contains the bills of requests and the loans to peers. Owns the records that are not yet
 * in the table. Relies on a committer for writing, and on the table's conditions for order and
 * fencing.
 */

import { RackwalkError, ResultCode, asId, deferred } from '@rackwalk/shared'
import type {
  Clock,
  IncarnationId,
  Milliseconds,
  RandomSource,
  TransactionId,
} from '@rackwalk/shared'
import { encodeRowKey } from '@rackwalk/stores'
import type { RowWrite, TableService } from '@rackwalk/stores'
import type { Counters } from '../counters.js'
import { journalSlotKey } from '../tableKeys.js'
import type { BatchCommitter } from './batchCommitter.js'
import { journalSlotCodec } from './journalEntry.js'
import type { HeldEntry, JournalEntry, JournalSlot } from './journalEntry.js'

/**
 * Where an entry survives its writer: in the table (`durable`) or in the memory of peers (`held`).
 */
export type Durability = 'durable' | 'held'

/** A record to append: an entry, a row that changes with it, or both. */
export interface JournalRecord {
  readonly entry?: JournalEntry
  /** Written in the same transaction; if its condition fails, the record is rejected. */
  readonly attachment?: RowWrite
}

/**
 * Outcome of one appended record. Both promises reject with `VersionConflict` if the condition of
 * the record's attachment fails, and with `Sealed` if the incarnation is sealed first.
 */
export interface JournalTicket {
  readonly index: number
  /** Resolves when the record is in the table. */
  readonly durable: Promise<void>
  /** Resolves when the record is in the table or held by enough peers. */
  readonly durableOrHeld: Promise<Durability>
}

/** Size limits of a journal. */
export interface JournalLimits {
  /**
   * Number of unwritten records from which on `hasRoom` is false, so that callers refuse new work.
   */
  readonly maximumBacklog: number
  /** Maximum number of records in one batch. */
  readonly maximumBatchEntries: number
  /** Maximum number of attachments in one batch; the table allows 100 rows in one transaction. */
  readonly maximumBatchAttachments: number
}

export const DEFAULT_JOURNAL_LIMITS: JournalLimits = {
  maximumBacklog: 50_000,
  maximumBatchEntries: 500,
  maximumBatchAttachments: 90,
}

/**
 * `retry`: the table could not be reached or did not answer, or the condition of an attachment
 * failed and the other records of the batch are still to be written.
 */
export type FlushOutcome = 'idle' | 'committed' | 'retry' | 'sealed'

interface PendingRecord extends HeldEntry {
  /** Whether no copy is needed any more: the record is in the table, held by peers, or rejected. */
  isResolved: boolean
  readonly appendedAt: Milliseconds
  resolveDurable(): void
  resolveDurableOrHeld(durability: Durability): void
  reject(error: RackwalkError): void
}

/** The batch that is to fill the next slot. */
interface OpenBatch {
  records: readonly PendingRecord[]
  /** The records of each attempt whose outcome is unknown. */
  readonly attempts: Map<TransactionId, readonly PendingRecord[]>
}

/** Dependencies of a `Journal`. */
export interface JournalParts {
  readonly incarnation: IncarnationId
  readonly table: TableService
  readonly committer: BatchCommitter
  readonly random: RandomSource
  readonly clock: Clock
  readonly counters: Counters
  readonly limits?: JournalLimits
}

/**
 * The ordered journal of one incarnation, written in group commits. Each batch fills the next
 * numbered slot on the condition that the slot is empty. An instance that seals the incarnation
 * fills that slot with a seal instead. A writer that was paused and does not know about the seal
 * therefore finds its slot taken and can never write again (compare Kineograph, EuroSys 2012, 6.1).
 * After a lost answer, the retry finds the slot taken by this journal's own earlier attempt, which
 * the transaction id in the row shows.
 */
export class Journal {
  private readonly limits: JournalLimits
  private pending: PendingRecord[] = []
  /** Entries in index order, of which some may still need copies on peers. */
  private unreplicated: PendingRecord[] = []
  private batch: OpenBatch | undefined
  private flushing: Promise<FlushOutcome> | undefined
  private nextIndex = 1
  private nextSlot = 1
  private isSealed = false
  private durableThrough = 0

  constructor(private readonly parts: JournalParts) {
    this.limits = parts.limits ?? DEFAULT_JOURNAL_LIMITS
  }

  /** Number of records that are not yet in the table. */
  get backlog(): number {
    return this.pending.length + (this.batch?.records.length ?? 0)
  }

  /** All records up to this index are in the table or were rejected. */
  get durableIndex(): number {
    return this.durableThrough
  }

  get sealed(): boolean {
    return this.isSealed
  }

  /** Whether new work may start whose end will append to this journal. */
  get hasRoom(): boolean {
    return !this.isSealed && this.backlog < this.limits.maximumBacklog
  }

  /**
   * Queues a record. Throws `Sealed` if this incarnation was sealed; the caller has to check
   * `hasRoom` beforehand.
   */
  append(record: JournalRecord): JournalTicket {
    if (this.isSealed) throw new RackwalkError(ResultCode.Sealed)
    const { pending, ticket } = this.createRecord(record)
    this.pending.push(pending)
    if (record.entry !== undefined) this.unreplicated.push(pending)
    this.parts.counters.increment('journal_entries')
    return ticket
  }

  /** Writes the next batch; concurrent calls share one attempt. */
  flush(): Promise<FlushOutcome> {
    this.flushing ??= this.flushOnce().finally(() => {
      this.flushing = undefined
    })
    return this.flushing
  }

  /** Returns at most `limit` entries that neither the table nor peers have yet, oldest first. */
  unreplicatedEntries(limit: number): readonly HeldEntry[] {
    this.dropResolved()
    return this.unreplicated
      .slice(0, limit)
      .filter(record => !record.isResolved)
      .map(({ index, entry, attachment }) => ({ index, entry, attachment }))
  }

  /** Age of the oldest entry that neither the table nor peers have. */
  get oldestUnreplicatedAge(): Milliseconds {
    this.dropResolved()
    const [oldest] = this.unreplicated
    return oldest === undefined ? 0 : this.parts.clock.monotonic() - oldest.appendedAt
  }

  /** Records that enough peers hold the records with these indexes. */
  markReplicated(indexes: ReadonlySet<number>): void {
    let remaining = indexes.size
    for (const record of this.unreplicated) {
      if (remaining === 0) break
      if (!indexes.has(record.index)) continue
      remaining -= 1
      if (record.isResolved) continue
      record.isResolved = true
      record.resolveDurableOrHeld('held')
      this.parts.counters.increment('journal_held_entries')
    }
    this.dropResolved()
  }

  /**
   * Drops resolved records from the start of the list. In a long backlog, peers already hold most
   * entries, and callers must not have to scan all of them each time.
   */
  private dropResolved(): void {
    const firstNeeded = this.unreplicated.findIndex(record => !record.isResolved)
    if (firstNeeded === 0) return
    this.unreplicated = firstNeeded < 0 ? [] : this.unreplicated.slice(firstNeeded)
  }

  /** Stops this incarnation: records that are not in the table are rejected and never written. */
  markSealed(): void {
    if (this.isSealed) return
    this.isSealed = true
    this.parts.counters.increment('journal_sealed')
    const lost = [...(this.batch?.records ?? []), ...this.pending]
    this.batch = undefined
    this.pending = []
    this.unreplicated = []
    for (const record of lost) record.reject(new RackwalkError(ResultCode.Sealed))
  }

  private createRecord(record: JournalRecord) {
    const index = this.nextIndex++
    const durable = deferred<void>()
    const durableOrHeld = deferred<Durability>()
    // When sealing rejects a record whose ticket nobody awaits, the unhandled rejection must not
    // crash the process.
    durable.promise.catch(ignore)
    durableOrHeld.promise.catch(ignore)
    const pending: PendingRecord = {
      index,
      entry: record.entry,
      attachment: record.attachment,
      isResolved: false,
      appendedAt: this.parts.clock.monotonic(),
      resolveDurable: durable.resolve,
      resolveDurableOrHeld: durableOrHeld.resolve,
      reject: error => {
        durable.reject(error)
        durableOrHeld.reject(error)
      },
    }
    return {
      pending,
      ticket: { index, durable: durable.promise, durableOrHeld: durableOrHeld.promise },
    }
  }

  private async flushOnce(): Promise<FlushOutcome> {
    if (this.isSealed) return 'sealed'
    this.batch ??= this.takeBatch()
    if (this.batch === undefined) return 'idle'
    try {
      return await this.attempt(this.batch)
    } catch (thrown) {
      if (!(thrown instanceof RackwalkError)) throw thrown
      this.parts.counters.increment('journal_flush_retries')
      return 'retry'
    }
  }

  private takeBatch(): OpenBatch | undefined {
    const attached = new Set<string>()
    let taken = 0
    for (const record of this.pending) {
      if (!this.fits(record, taken, attached)) break
      if (record.attachment !== undefined) attached.add(encodeRowKey(record.attachment.key))
      taken += 1
    }
    if (taken === 0) return undefined
    const records = this.pending.slice(0, taken)
    this.pending = this.pending.slice(taken)
    return { records, attempts: new Map() }
  }

  /**
   * Whether a record fits into the batch. A transaction may write each row only once: if the
   * release of a claim and the next claim of the same key shared a batch, both conditions would
   * hold and both writes would take effect.
   */
  private fits({ attachment }: PendingRecord, taken: number, attached: ReadonlySet<string>) {
    if (taken >= this.limits.maximumBatchEntries) return false
    if (attachment === undefined) return true
    const isFull = attached.size >= this.limits.maximumBatchAttachments
    return !isFull && !attached.has(encodeRowKey(attachment.key))
  }

  private async attempt(batch: OpenBatch): Promise<FlushOutcome> {
    const id = asId<TransactionId>(this.parts.random.uniqueId())
    batch.attempts.set(id, batch.records)
    const result = await this.commit(batch, id)
    if (this.isSealed) return 'sealed'
    if (result.committed) return this.finish(batch.records)
    // A failed condition is a definite answer: this attempt will not take effect later.
    batch.attempts.delete(id)
    return this.resolveConflict(batch, result.conflicts)
  }

  private async commit(batch: OpenBatch, id: TransactionId) {
    try {
      return await this.parts.committer.commit(id, this.writesOf(batch.records))
    } catch (thrown) {
      const ambiguous =
        thrown instanceof RackwalkError && thrown.code === ResultCode.PlatformAmbiguous
      if (!ambiguous) batch.attempts.delete(id)
      throw thrown
    }
  }

  private writesOf(records: readonly PendingRecord[]): readonly RowWrite[] {
    const entries = records.map(({ index, entry }) => ({ index, entry }))
    const slot: JournalSlot = { kind: 'batch', entries }
    const attachments = records.flatMap(({ attachment }) => attachment ?? [])
    return [
      {
        kind: 'put',
        key: journalSlotKey(this.parts.incarnation, this.nextSlot),
        condition: { kind: 'absent' },
        value: journalSlotCodec.toJson(slot),
      },
      ...attachments,
    ]
  }

  /**
   * Resolves a failed condition by reading the slot. If an earlier attempt of this journal, whose
   * answer was lost, has filled the slot, that attempt is finished. If another writer has, this
   * incarnation was sealed. If the slot is empty, conditions of attachments failed.
   */
  private async resolveConflict(
    batch: OpenBatch,
    conflicts: readonly number[],
  ): Promise<FlushOutcome> {
    const row = await this.parts.table.get(journalSlotKey(this.parts.incarnation, this.nextSlot))
    if (this.isSealed) return 'sealed'
    if (row === undefined) return this.rejectLosers(batch, conflicts)
    const earlier = batch.attempts.get(row.writtenBy)
    if (earlier !== undefined) return this.finish(earlier)
    this.markSealed()
    return 'sealed'
  }

  private rejectLosers(batch: OpenBatch, conflicts: readonly number[]): FlushOutcome {
    const attached = batch.records.filter(record => record.attachment !== undefined)
    // Position 0 is the slot; the attachments follow in the order of their records.
    const losers = new Set(conflicts.flatMap(position => attached[position - 1] ?? []))
    batch.records = batch.records.filter(record => !losers.has(record))
    for (const loser of losers) {
      loser.isResolved = true
      loser.reject(new RackwalkError(ResultCode.VersionConflict))
    }
    if (batch.records.length === 0 && batch.attempts.size === 0) this.batch = undefined
    return 'retry'
  }

  private finish(records: readonly PendingRecord[]): FlushOutcome {
    this.batch = undefined
    this.nextSlot += 1
    for (const record of records) {
      this.durableThrough = Math.max(this.durableThrough, record.index)
      record.isResolved = true
      record.resolveDurable()
      record.resolveDurableOrHeld('durable')
    }
    // A journal whose entries are never requested for replication would otherwise keep every entry.
    this.dropResolved()
    this.parts.counters.increment('journal_flushes')
    return 'committed'
  }
}

function ignore(): void {
  // Intentionally empty: the rejection is handled by the code that awaits the ticket.
}
