/**
 * Combines journal batches of one failure domain into one transaction in a large fleet. The
 * domain's committer is the live instance of the domain that rendezvous hashing selects. Owns the
 * batches that wait at the committer.
 */

import { RackwalkError, ResultCode } from '@rackwalk/shared'
import type { FailureDomainId, IncarnationId, TransactionId } from '@rackwalk/shared'
import type { RowWrite, TableService, TransactResult } from '@rackwalk/stores'
import { MAXIMUM_TRANSACTION_WRITES, encodeRowKey } from '@rackwalk/stores'
import type { MemberInfo, PeerChannel, PeerRequest } from '../peerMessages.js'
import { rendezvousChoice } from '@rackwalk/decisions'
import type { BatchCommitter } from './batchCommitter.js'

interface QueuedBatch {
  readonly request: PeerRequest<'commitBatch'>
  resolve(result: TransactResult): void
  reject(error: Error): void
}

/** With fewer live instances than this in the fleet, each writes its own batches. */
const SHARED_COMMIT_THRESHOLD = 16

/**
 * Combines the batches of a failure domain into one transaction, so that the platform's writes grow
 * with the number of domains, not of instances. If a condition of a combined transaction fails,
 * each of its batches is written separately, so that only the batch whose condition failed is
 * rejected, for example that of a sealed writer.
 */
export class BatchCoalescer {
  private queue: QueuedBatch[] = []
  private running = false

  constructor(private readonly table: TableService) {}

  /** Queues a batch; the promise settles with the outcome of this batch alone. */
  commit(request: PeerRequest<'commitBatch'>): Promise<TransactResult> {
    return new Promise((resolve, reject) => {
      this.queue.push({ request, resolve, reject })
      if (!this.running) void this.run()
    })
  }

  private async run(): Promise<void> {
    this.running = true
    while (this.queue.length > 0) {
      const combined = this.takeCoalescible()
      await this.commitCoalesced(combined)
    }
    this.running = false
  }

  /**
   * Takes batches from the head of the queue, up to the first one that would exceed the size of a
   * transaction or write a row twice.
   */
  private takeCoalescible(): readonly QueuedBatch[] {
    const rows = new Set<string>()
    const combined: QueuedBatch[] = []
    for (const batch of this.queue) {
      const names = batch.request.writes.map(write => encodeRowKey(write.key))
      const isTooLarge = rows.size + names.length > MAXIMUM_TRANSACTION_WRITES
      const hasConflict = names.some(name => rows.has(name))
      if (combined.length > 0 && (isTooLarge || hasConflict)) break
      for (const name of names) rows.add(name)
      combined.push(batch)
    }
    this.queue = this.queue.slice(combined.length)
    return combined
  }

  private async commitCoalesced(combined: readonly QueuedBatch[]): Promise<void> {
    const [first] = combined
    if (first === undefined) return
    if (combined.length === 1) return this.commitAlone(first)
    try {
      // The rows of each batch keep the transaction id by which its writer recognizes them.
      const result = await this.table.transactMany(combined.map(batch => batch.request))
      if (result.committed) for (const batch of combined) batch.resolve(result)
      else await Promise.all(combined.map(batch => this.commitAlone(batch)))
    } catch (thrown) {
      for (const batch of combined) batch.reject(thrown as Error)
    }
  }

  private async commitAlone({ request, resolve, reject }: QueuedBatch): Promise<void> {
    try {
      resolve(await this.table.transact(request.id, request.writes))
    } catch (thrown) {
      reject(thrown as Error)
    }
  }
}

/** Dependencies of a `DomainCommitter`. */
export interface DomainCommitterParts {
  readonly incarnation: IncarnationId
  readonly failureDomain: FailureDomainId
  readonly table: TableService
  readonly coalescer: BatchCoalescer
  readonly peers: PeerChannel
  readonly liveMembers: () => readonly MemberInfo[]
}

/** Sends batches to the domain's committer; in a small fleet, writes them directly. */
export class DomainCommitter implements BatchCommitter {
  constructor(private readonly parts: DomainCommitterParts) {}

  async commit(id: TransactionId, writes: readonly RowWrite[]): Promise<TransactResult> {
    const committer = this.chosenCommitter()
    const request = { id, writes }
    if (committer === undefined) return this.parts.table.transact(id, writes)
    if (committer === this.parts.incarnation) return this.parts.coalescer.commit(request)
    try {
      return await this.parts.peers.call(committer, 'commitBatch', request)
    } catch (thrown) {
      // The committer may have written the batch before its answer was lost.
      const cause = thrown instanceof Error ? thrown : undefined
      throw new RackwalkError(ResultCode.PlatformAmbiguous, 'domain committer', cause)
    }
  }

  private chosenCommitter(): IncarnationId | undefined {
    const members = this.parts.liveMembers()
    if (members.length < SHARED_COMMIT_THRESHOLD) return undefined
    const domain = members.filter(member => member.failureDomain === this.parts.failureDomain)
    const candidates = domain.map(member => member.incarnation)
    return rendezvousChoice(this.parts.failureDomain, candidates)
  }
}
