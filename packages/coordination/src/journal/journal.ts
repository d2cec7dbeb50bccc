/**
 * The ordered journal of one incarnation, written in group commits. Owns the entries that are not yet in
 * the table; relies on a committer to write, and on the table's conditions for order and fencing.
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

/** How an entry outlives its writer: in the table, or in the memory of peers. */
export type Durability = 'durable' | 'held'

/** What is appended: an entry, a row that changes with it, or both. */
export interface JournalRecord {
  readonly entry?: JournalEntry
  /** Changes in the same transaction; if its condition fails, the record is rejected. */
  readonly attachment?: RowWrite
}

/** Follows one appended record. */
export interface JournalTicket {
  readonly index: number
  /** Settles when the record is in the table. */
  readonly durable: Promise<void>
  /** Settles when the record is in the table or held by enough peers. */
  readonly durableOrHeld: Promise<Durability>
}

/** Bounds of a journal. */
export interface JournalLimits {
  /** Records that may wait unwritten; past it new work is refused. */
  readonly maximumBacklog: number
  readonly maximumBatchEntries: number
  /** Rows beside the slot in one transaction; the table takes 100 in all. */
  readonly maximumBatchAttachments: number
}

export const DEFAULT_JOURNAL_LIMITS: JournalLimits = {
  maximumBacklog: 50_000,
  maximumBatchEntries: 500,
  maximumBatchAttachments: 90,
}

/** `retry` means that the table could not be reached or did not answer. */
export type FlushOutcome = 'idle' | 'committed' | 'retry' | 'sealed'

interface PendingRecord extends HeldEntry {
  /** Peers or the table have it, or it was rejected: no copy is needed any more. */
  isResolved: boolean
  readonly appendedAt: Milliseconds
  resolveDurable(): void
  resolveDurableOrHeld(durability: Durability): void
  reject(error: RackwalkError): void
}

interface OpenBatch {
  records: readonly PendingRecord[]
  /** What each attempt carried whose outcome is not known. */
  readonly attempts: Map<TransactionId, readonly PendingRecord[]>
}

/** Parts that a journal works with. */
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
 * The ordered journal of one incarnation, written in group commits. Each batch fills the
 * next numbered slot on condition that the slot is empty. Whoever seals the incarnation
 * fills that slot with a seal instead, so a writer that was paused and does not know finds
 * its slot taken and can never write again (compare Kineograph, EuroSys 2012, 6.1). The
 * same condition makes a repeat after a lost answer recognisable.
 */
export class Journal {
  private readonly limits: JournalLimits
  private pending: PendingRecord[] = []
  /** Entries in order of which some may still need a copy with peers. */
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

  /** Records not yet in the table. */
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

  /** Whether new work may begin that will need this journal when it ends. */
  get hasRoom(): boolean {
    return !this.isSealed && this.backlog < this.limits.maximumBacklog
  }

  /** Queues a record. Throws `Sealed`; a full backlog is the caller's to check beforehand. */
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

  /** Entries that neither the table nor peers have yet, oldest first. */
  unreplicatedEntries(limit: number): readonly HeldEntry[] {
    this.dropResolved()
    return this.unreplicated
      .slice(0, limit)
      .filter(record => !record.isResolved)
      .map(({ index, entry, attachment }) => ({ index, entry, attachment }))
  }

  /** How long the oldest entry has waited that neither the table nor peers have. */
  get oldestUnreplicatedAge(): Milliseconds {
    this.dropResolved()
    const [oldest] = this.unreplicated
    return oldest === undefined ? 0 : this.parts.clock.monotonic() - oldest.appendedAt
  }

  /** Notes that enough peers hold the records with these indexes. */
  markReplicated(indexes: ReadonlySet<number>): void {
    let left = indexes.size
    for (const record of this.unreplicated) {
      if (left === 0) break
      if (!indexes.has(record.index)) continue
      left -= 1
      if (record.isResolved) continue
      record.isResolved = true
      record.resolveDurableOrHeld('held')
      this.parts.counters.increment('journal_held_entries')
    }
    this.dropResolved()
  }

  /** A long backlog is mostly held, so only its unheld end may be looked at each time. */
  private dropResolved(): void {
    const firstNeeded = this.unreplicated.findIndex(record => !record.isResolved)
    if (firstNeeded === 0) return
    this.unreplicated = firstNeeded < 0 ? [] : this.unreplicated.slice(firstNeeded)
  }

  /** Stops this incarnation: what is not in the table will not get there. */
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
    const safe = deferred<Durability>()
    // A record whose ticket nobody awaits must not take the process down when sealed.
    durable.promise.catch(ignore)
    safe.promise.catch(ignore)
    const pending: PendingRecord = {
      index,
      entry: record.entry,
      attachment: record.attachment,
      isResolved: false,
      appendedAt: this.parts.clock.monotonic(),
      resolveDurable: durable.resolve,
      resolveDurableOrHeld: safe.resolve,
      reject: error => {
        durable.reject(error)
        safe.reject(error)
      },
    }
    return { pending, ticket: { index, durable: durable.promise, durableOrHeld: safe.promise } }
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
   * A transaction may write a row once only. Found by exploration: the release of a claim
   * and its next taking shared a batch, both conditions held, and both took effect.
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
    // A failed condition is a definite answer: this attempt will not land later.
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
   * A condition failed. The slot tells which: taken by an earlier attempt of ours whose
   * answer was lost, taken by a seal, or empty, in which case attachments lost.
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
    // Here too, or a journal whose owner never copies to peers would keep every entry.
    this.dropResolved()
    this.parts.counters.increment('journal_flushes')
    return 'committed'
  }
}

function ignore(): void {
  // Deliberately empty: the rejection is seen by whoever awaits the ticket.
}
