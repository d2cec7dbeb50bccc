/**
 * Copies entries to peers while the table is out of reach, and tells them when to forget. Owns which peers
 * hold something.
 */

import type { FailureDomainId, IncarnationId } from '@rackwalk/shared'
import type { MemberInfo, PeerChannel } from '../peerMessages.js'
import type { HeldArchive } from './heldArchive.js'
import type { Journal } from './journal.js'
import type { HeldItem } from './journalEntry.js'

/** Entries carried by one hold message. */
const ITEMS_PER_MESSAGE = 500

/** Who may hold entries for this instance, and how many of them must. */
export interface PeerHoldParts {
  readonly incarnation: IncarnationId
  readonly failureDomain: FailureDomainId
  readonly journal: Journal
  readonly peers: PeerChannel
  /** Registered live members of this region, this instance excluded. */
  readonly candidates: () => readonly MemberInfo[]
  readonly copies: number
  /** Keeps the entries for the case that all holders die as well. */
  readonly archive?: HeldArchive
}

/**
 * Keeps entries alive while the table is out of reach, by copies in the memory of peers of
 * the region. An entry counts as held when `copies` peers have it; it is lost only if this
 * instance and all of them die before the table is back, and the object store was away too.
 */
export class PeerHold {
  private lastReleased = 0
  private readonly everHeldAt = new Set<IncarnationId>()

  constructor(private readonly parts: PeerHoldParts) {}

  /** Copies what is waiting to peers; true when something became held. */
  async replicate(): Promise<boolean> {
    const items = this.parts.journal.unheld(ITEMS_PER_MESSAGE)
    if (items.length === 0) return false
    const targets = this.targets()
    if (targets.length < this.parts.copies) return false
    const archived = this.parts.archive?.write(this.parts.incarnation, items)
    let copies = 0
    for (const target of targets) {
      if (copies >= this.parts.copies) break
      if (await this.sendTo(target.incarnation, items)) copies += 1
    }
    await archived
    if (copies < this.parts.copies) return false
    this.parts.journal.markHeld(new Set(items.map(item => item.index)))
    return true
  }

  /** Tells peers to forget what reached the table meanwhile. */
  async release(): Promise<void> {
    const throughIndex = this.parts.journal.durableIndex
    if (this.everHeldAt.size === 0 || throughIndex === this.lastReleased) return
    this.lastReleased = throughIndex
    const request = { writer: this.parts.incarnation, throughIndex }
    const calls = [...this.everHeldAt].map(async target => {
      await this.parts.peers.call(target, 'releaseHeld', request).catch(() => undefined)
    })
    await Promise.all(calls)
    if (this.parts.journal.backlog === 0) this.everHeldAt.clear()
  }

  /** Other failure domains come first, since a whole domain may go at once. */
  private targets(): readonly MemberInfo[] {
    const isElsewhere = (member: MemberInfo) =>
      member.failureDomain === this.parts.failureDomain ? 1 : 0
    return [...this.parts.candidates()].sort(
      (left, right) => isElsewhere(left) - isElsewhere(right),
    )
  }

  private async sendTo(target: IncarnationId, items: readonly HeldItem[]): Promise<boolean> {
    this.everHeldAt.add(target)
    const request = { writer: this.parts.incarnation, items }
    try {
      const reply = await this.parts.peers.call(target, 'hold', request)
      return reply.held
    } catch {
      return false
    }
  }
}
