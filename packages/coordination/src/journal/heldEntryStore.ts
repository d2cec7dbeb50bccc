/**
 * Journal entries that this instance keeps in memory for peers whose journal cannot be written at present.
 * Owns the entries and the writers for whom it holds nothing more.
 */

import type { IncarnationId } from '@rackwalk/shared'
import type { HeldEntry } from './journalEntry.js'

/**
 * Entries that this instance keeps in memory for peers whose journal cannot be written at
 * present. Once asked to hand over what it holds for a writer, it holds nothing more for
 * it: from then on that writer cannot get an entry accepted by anybody, so the set that
 * the sealer collects is complete.
 */
export class HeldEntryStore {
  private readonly items = new Map<IncarnationId, Map<number, HeldEntry>>()
  private readonly refused = new Set<IncarnationId>()

  /** Keeps entries; false once the writer is being sealed. */
  hold(writer: IncarnationId, items: readonly HeldEntry[]): boolean {
    if (this.refused.has(writer)) return false
    const kept = this.items.get(writer) ?? new Map<number, HeldEntry>()
    for (const item of items) kept.set(item.index, item)
    this.items.set(writer, kept)
    return true
  }

  /** Forgets what the writer has since written itself. */
  release(writer: IncarnationId, throughIndex: number): void {
    const kept = this.items.get(writer)
    if (kept === undefined) return
    for (const index of kept.keys()) {
      if (index <= throughIndex) kept.delete(index)
    }
    if (kept.size === 0) this.items.delete(writer)
  }

  /** Hands over everything held for a writer and refuses more. */
  collect(writer: IncarnationId): readonly HeldEntry[] {
    this.refuse(writer)
    const kept = [...(this.items.get(writer)?.values() ?? [])]
    return kept.sort((left, right) => left.index - right.index)
  }

  /** Holds nothing more for this writer. */
  refuse(writer: IncarnationId): void {
    this.refused.add(writer)
  }

  /** Number of entries held for all writers. */
  get size(): number {
    return [...this.items.values()].reduce((sum, kept) => sum + kept.size, 0)
  }
}
