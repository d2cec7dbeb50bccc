/**
 * Handlers of all kinds of messages between instances of the OpenAI-style kind: each passes a
 * peer's message to the component that it concerns.
 */

import type { AdviceGossip, CrashGossip } from '@rackwalk/decisions'
import type { IncarnationId } from '@rackwalk/shared'
import type { BudgetLedger } from './budget/budgetLedger.js'
import type { Claims } from './claims/claims.js'
import type { KeyRegistrar } from './claims/keyRegistrar.js'
import type { ConfigurationFollower } from './configuration/configurationFollower.js'
import type { BatchCoalescer } from './journal/domainCommitter.js'
import type { HeldEntryStore } from './journal/heldEntryStore.js'
import type { Membership } from './membership/membership.js'
import type { MemberInfo, PeerHandlers } from './peerMessages.js'
import type { DecisionArchive } from './segmentArchive.js'

/** Components that peers' messages are passed to. */
export interface NodeHandlerParts {
  readonly membership: Membership
  readonly ledger: BudgetLedger
  readonly claims: Claims
  readonly configuration: ConfigurationFollower
  readonly archive: DecisionArchive
  readonly held: HeldEntryStore
  readonly registrar: KeyRegistrar
  readonly coalescer: BatchCoalescer
  /** Describes this instance for peers. */
  readonly describe: () => MemberInfo
  /** Whether this instance may hold journal entries for peers. */
  readonly canHoldEntries: () => boolean
  readonly drain: () => Promise<void>
  readonly noteCrashes: (gossip: CrashGossip) => void
  readonly noteAdvice: (gossip: readonly AdviceGossip[]) => void
  /** Requests the members of a group from a peer. */
  readonly askForMembers: (target: IncarnationId, group: string) => Promise<void>
}

/** Creates one handler for each kind of message between instances. */
export function createPeerHandlers(parts: NodeHandlerParts): PeerHandlers {
  const { membership, ledger, claims, configuration, archive, held, registrar, coalescer } = parts
  return {
    heartbeat: ({ sender, digests }) => {
      membership.mergeMember(sender)
      for (const group of membership.mergeDigests(digests)) {
        void parts.askForMembers(sender.incarnation, group)
      }
      return { receiver: parts.describe() }
    },
    members: ({ group }) => ({ members: membership.membersOf(group) }),
    hold: ({ writer, items }) => ({ held: parts.canHoldEntries() && held.hold(writer, items) }),
    releaseHeld: ({ writer, throughIndex }) => {
      held.release(writer, throughIndex)
      return {}
    },
    collectHeld: ({ writer }) => ({ items: held.collect(writer) }),
    lend: request => ledger.lend(request),
    claimState: request => claims.answerClaimState(request),
    registerKey: request => registrar.register(request),
    endKey: request => registrar.end(request),
    commitBatch: request => coalescer.commit(request),
    configurationSince: request => configuration.answerPeer(request),
    crashNews: gossip => {
      parts.noteCrashes(gossip)
      return {}
    },
    adviceNews: ({ news }) => {
      parts.noteAdvice(news)
      return {}
    },
    drain: async () => {
      await parts.drain()
      return {}
    },
    explain: ({ requestId }) => ({ record: archive.findRecent(requestId) }),
  }
}
