/**
 * Journal entries that this instance holds in memory for peers whose journals currently cannot be
 * written. Owns the entries, and the set of writers from which no further entries are accepted.
 */

import type { IncarnationId } from '@rackwalk/shared'
import type { HeldEntry } from './journalEntry.js'

/**
 * Holds entries in memory for peers whose journals currently cannot be written. Once the sealer has
 * collected the entries of a writer, the store accepts no more from that writer. When all holders
 * have handed over their entries, none accepts a further one, so the set that the sealer collected
 * is complete.
 */
export class HeldEntryStore {
  private readonly items = new Map<IncarnationId, Map<number, HeldEntry>>()
  private readonly refused = new Set<IncarnationId>()

  /** Holds entries; returns false once the writer is being sealed. */
  hold(writer: IncarnationId, items: readonly HeldEntry[]): boolean {
    if (this.refused.has(writer)) return false
    const kept = this.items.get(writer) ?? new Map<number, HeldEntry>()
    for (const item of items) kept.set(item.index, item)
    this.items.set(writer, kept)
    return true
  }

  /** Drops the entries up to this index, which the writer has written to the table itself. */
  release(writer: IncarnationId, throughIndex: number): void {
    const kept = this.items.get(writer)
    if (kept === undefined) return
    for (const index of kept.keys()) {
      if (index <= throughIndex) kept.delete(index)
    }
    if (kept.size === 0) this.items.delete(writer)
  }

  /** Returns all entries held for a writer and accepts no more from it. */
  collect(writer: IncarnationId): readonly HeldEntry[] {
    this.refuse(writer)
    const kept = [...(this.items.get(writer)?.values() ?? [])]
    return kept.sort((left, right) => left.index - right.index)
  }

  /** Accepts no more entries from this writer. */
  refuse(writer: IncarnationId): void {
    this.refused.add(writer)
  }

  /** Number of entries held for all writers. */
  get size(): number {
    return [...this.items.values()].reduce((sum, kept) => sum + kept.size, 0)
  }
}
