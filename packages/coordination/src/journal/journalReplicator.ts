/**
 * Copies journal entries to peers while the table cannot be reached, and releases the copies
 * afterwards. Without the copies, a crash of this instance would lose the bills that wait for the
 * table. Owns the set of peers that may hold entries.
 */

import type { FailureDomainId, IncarnationId } from '@rackwalk/shared'
import type { MemberInfo, PeerChannel } from '../peerMessages.js'
import type { HeldEntryArchive } from './heldEntryArchive.js'
import type { Journal } from './journal.js'
import type { HeldEntry } from './journalEntry.js'

/** Maximum number of entries per hold message. */
const ITEMS_PER_MESSAGE = 500

/** Dependencies of a `JournalReplicator`. */
export interface JournalReplicatorParts {
  readonly incarnation: IncarnationId
  readonly failureDomain: FailureDomainId
  readonly journal: Journal
  readonly peers: PeerChannel
  /** Registered live members of this region, except this instance. */
  readonly candidates: () => readonly MemberInfo[]
  /** Number of peers that must have an entry before it counts as held. */
  readonly requiredReplicas: number
  /** Archives the entries in case all holders crash as well. */
  readonly archive?: HeldEntryArchive
}

/**
 * Keeps entries safe while the table cannot be reached, by copies in the memory of peers of the
 * region. An entry counts as held when `requiredReplicas` peers have it. A held entry is lost only
 * if this instance and all of those peers crash before the table recovers, and the entry could not
 * be archived in the object store either.
 */
export class JournalReplicator {
  private lastReleased = 0
  private readonly possibleHolders = new Set<IncarnationId>()

  constructor(private readonly parts: JournalReplicatorParts) {}

  /**
   * Copies at most `ITEMS_PER_MESSAGE` waiting entries to peers, one peer after another, until
   * enough have them; returns true if the entries became held.
   */
  async replicate(): Promise<boolean> {
    const items = this.parts.journal.unreplicatedEntries(ITEMS_PER_MESSAGE)
    if (items.length === 0) return false
    const targets = this.targets()
    if (targets.length < this.parts.requiredReplicas) return false
    const archived = this.parts.archive?.write(this.parts.incarnation, items)
    let copies = 0
    for (const target of targets) {
      if (copies >= this.parts.requiredReplicas) break
      if (await this.sendTo(target.incarnation, items)) copies += 1
    }
    await archived
    if (copies < this.parts.requiredReplicas) return false
    this.parts.journal.markReplicated(new Set(items.map(item => item.index)))
    return true
  }

  /**
   * Asks the peers to drop the entries that have reached the table. A failed call is made up for by
   * the next release, but not if no records are left to be written.
   */
  async release(): Promise<void> {
    const throughIndex = this.parts.journal.durableIndex
    if (this.possibleHolders.size === 0 || throughIndex === this.lastReleased) return
    this.lastReleased = throughIndex
    const request = { writer: this.parts.incarnation, throughIndex }
    const calls = [...this.possibleHolders].map(async target => {
      await this.parts.peers.call(target, 'releaseHeld', request).catch(() => undefined)
    })
    await Promise.all(calls)
    if (this.parts.journal.backlog === 0) this.possibleHolders.clear()
  }

  /** Returns candidates of other failure domains first, since a whole domain may fail at once. */
  private targets(): readonly MemberInfo[] {
    const domainRank = (member: MemberInfo) =>
      member.failureDomain === this.parts.failureDomain ? 1 : 0
    return [...this.parts.candidates()].sort((left, right) => domainRank(left) - domainRank(right))
  }

  private async sendTo(target: IncarnationId, items: readonly HeldEntry[]): Promise<boolean> {
    this.possibleHolders.add(target)
    const request = { writer: this.parts.incarnation, items }
    try {
      const reply = await this.parts.peers.call(target, 'hold', request)
      return reply.held
    } catch {
      return false
    }
  }
}
