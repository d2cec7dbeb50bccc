/**
 * Ends an incarnation (one run of an instance's process) permanently, by writing its held entries
 * and a seal to its journal. Held entries are those that peers keep in memory because the table did
 * not accept them. Without sealing, a paused incarnation could still write bills after its tokens
 * were given back. Keeps no state; may run on several instances at once.
 */

import { RackwalkError, asId } from '@rackwalk/shared'
import type { IncarnationId, RandomSource, TransactionId } from '@rackwalk/shared'
import type { RowWrite, TableService } from '@rackwalk/stores'
import type { Counters } from '../counters.js'
import type { HeldEntryArchive } from '../journal/heldEntryArchive.js'
import type { HeldEntry, JournalSlot } from '../journal/journalEntry.js'
import { journalSlotCodec, lastIndexOf } from '../journal/journalEntry.js'
import { readJournal } from '../journal/journalReader.js'
import type { PeerChannel } from '../peerMessages.js'
import { journalSlotKey, sealingKey } from '../tableKeys.js'
import type { IncarnationRecord, IncarnationRegistry } from './incarnationRegistry.js'

/**
 * Maximum number of held entries written to one slot of the target's journal, so that the slot
 * stays under the row size limit.
 */
const ENTRIES_PER_SLOT = 500
/**
 * Maximum number of attached rows in one transaction, besides the slot; the table allows 100 rows.
 */
const ATTACHMENTS_PER_SLOT = 90

/**
 * `waiting`: a peer that may hold entries of the target has not handed them over. `retry`: the
 * table did not answer; the same call may be repeated.
 */
export type SealOutcome = 'sealed' | 'waiting' | 'retry'

/** Dependencies of a `Sealer`. */
export interface SealerParts {
  readonly incarnation: IncarnationId
  readonly table: TableService
  readonly registry: IncarnationRegistry
  readonly peers: PeerChannel
  readonly random: RandomSource
  readonly counters: Counters
  /** Whether an incarnation is known to have terminated, so that it need not hand over entries. */
  readonly isConfirmedDead: (incarnation: IncarnationId) => boolean
  /** Archive with entries of writers whose holders may have terminated as well. */
  readonly archive?: HeldEntryArchive
}

/**
 * Ends an incarnation permanently. First, every registered peer of its region that is not known to
 * have terminated hands over the entries that it holds for the target and accepts no more. Then
 * those entries, archived ones and the seal are written to the target's own journal. From then on
 * the target can neither write nor have entries held, whether it has crashed, is paused or is
 * disconnected, so nothing that it does afterwards can become a bill.
 */
export class Sealer {
  constructor(private readonly parts: SealerParts) {}

  /** Seals an incarnation; may be repeated. */
  async seal(target: IncarnationRecord): Promise<SealOutcome> {
    try {
      await this.announce(target.incarnation)
      const held = await this.collect(target)
      if (held === undefined) return 'waiting'
      await this.write(target.incarnation, held)
      this.parts.counters.increment('incarnations_sealed')
      return 'sealed'
    } catch (thrown) {
      if (thrown instanceof RackwalkError) return 'retry'
      throw thrown
    }
  }

  private async announce(target: IncarnationId): Promise<void> {
    await this.parts.table.transact(this.newId(), [
      {
        kind: 'put',
        key: sealingKey(target),
        condition: { kind: 'absent' },
        value: { by: this.parts.incarnation },
      },
    ])
    // A conflict means that another instance announced the sealing earlier, which has the same
    // effect.
  }

  /**
   * Collects the held entries of the target; undefined if a peer that may hold some did not answer.
   */
  private async collect(target: IncarnationRecord): Promise<readonly HeldEntry[] | undefined> {
    const registered = await this.parts.registry.list()
    const holders = registered.filter(
      record =>
        record.region === target.region &&
        record.incarnation !== target.incarnation &&
        !this.parts.isConfirmedDead(record.incarnation),
    )
    const collected = new Map<number, HeldEntry>()
    for (const holder of holders) {
      const items = await this.collectFrom(holder.incarnation, target.incarnation)
      if (items === undefined) return undefined
      for (const item of items) collected.set(item.index, item)
    }
    // The archive is read last: the holders accept no more entries now, so no entry that is
    // archived after this read can count as held.
    const archived = (await this.parts.archive?.read(target.incarnation)) ?? []
    for (const item of archived) collected.set(item.index, item)
    return [...collected.values()].sort((left, right) => left.index - right.index)
  }

  private async collectFrom(holder: IncarnationId, writer: IncarnationId) {
    try {
      const reply = await this.parts.peers.call(holder, 'collectHeld', { writer })
      return reply.items
    } catch {
      return undefined
    }
  }

  /** Writes held entries and the seal; returns when the journal's last slot is a seal. */
  private async write(target: IncarnationId, held: readonly HeldEntry[]): Promise<void> {
    const outdated = new Set<number>()
    for (;;) {
      const journal = await readJournal(this.parts.table, target)
      if (journal.sealed) return
      const last = lastIndexOf(journal.slots)
      const missing = held.filter(item => item.index > last)
      const part = takePart(missing)
      const attached = part.filter(item => item.attachment && !outdated.has(item.index))
      const slot = this.slotOf(part, part.length === missing.length)
      const writes = slotWrites(target, journal.slots.length + 1, slot, attached)
      const result = await this.parts.table.transact(this.newId(), writes)
      if (result.committed) continue
      // An attached row that changed in the meantime keeps its newer state; the entry still counts.
      for (const position of result.conflicts) {
        const loser = attached[position - 1]
        if (loser !== undefined) outdated.add(loser.index)
      }
    }
  }

  private slotOf(part: readonly HeldEntry[], isLast: boolean): JournalSlot {
    const entries = part.map(({ index, entry }) => ({ index, entry }))
    if (!isLast) return { kind: 'batch', entries }
    return { kind: 'seal', sealedBy: this.parts.incarnation, entries }
  }

  private newId(): TransactionId {
    return asId<TransactionId>(this.parts.random.uniqueId())
  }
}

function slotWrites(
  target: IncarnationId,
  number: number,
  slot: JournalSlot,
  attached: readonly HeldEntry[],
): readonly RowWrite[] {
  const put: RowWrite = {
    kind: 'put',
    key: journalSlotKey(target, number),
    condition: { kind: 'absent' },
    value: journalSlotCodec.toJson(slot),
  }
  return [put, ...attached.flatMap(item => item.attachment ?? [])]
}

/** Returns as many items as fit into one slot and one transaction. */
function takePart(items: readonly HeldEntry[]): readonly HeldEntry[] {
  let attachments = 0
  const part: HeldEntry[] = []
  for (const item of items.slice(0, ENTRIES_PER_SLOT)) {
    if (item.attachment !== undefined) attachments += 1
    if (attachments > ATTACHMENTS_PER_SLOT) break
    part.push(item)
  }
  return part
}
