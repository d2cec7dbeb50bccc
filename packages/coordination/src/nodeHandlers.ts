/** One handler for each kind of message between instances of the OpenAI-style kind. */

import type { AdviceNews, CrashNews } from '@rackwalk/decisions'
import type { IncarnationId } from '@rackwalk/shared'
import type { BudgetLedger } from './budget/budgetLedger.js'
import type { Claims } from './claims/claims.js'
import type { KeyRegistrar } from './claims/keyRegistrar.js'
import type { ConfigurationFollower } from './configuration/configurationFollower.js'
import type { CommitJoiner } from './journal/domainCommitter.js'
import type { HeldItems } from './journal/heldItems.js'
import type { Membership } from './membership/membership.js'
import type { MemberInfo, PeerHandlers } from './peerMessages.js'
import type { SegmentArchive } from './segmentArchive.js'

/** What the messages of peers reach. */
export interface NodeHandlerParts {
  readonly membership: Membership
  readonly ledger: BudgetLedger
  readonly claims: Claims
  readonly configuration: ConfigurationFollower
  readonly archive: SegmentArchive
  readonly held: HeldItems
  readonly registrar: KeyRegistrar
  readonly joiner: CommitJoiner
  readonly describe: () => MemberInfo
  readonly mayHold: () => boolean
  readonly drain: () => Promise<void>
  readonly noteCrashes: (news: CrashNews) => void
  readonly noteAdvice: (news: readonly AdviceNews[]) => void
  readonly askForMembers: (target: IncarnationId, group: string) => Promise<void>
}

/** One handler for each kind of message between instances. */
export function createNodeHandlers(parts: NodeHandlerParts): PeerHandlers {
  const { membership, ledger, claims, configuration, archive, held, registrar, joiner } = parts
  return {
    heartbeat: ({ sender, digests }) => {
      membership.hear(sender)
      for (const group of membership.hearDigests(digests)) {
        void parts.askForMembers(sender.incarnation, group)
      }
      return { receiver: parts.describe() }
    },
    members: ({ group }) => ({ members: membership.membersOf(group) }),
    hold: ({ writer, items }) => ({ held: parts.mayHold() && held.hold(writer, items) }),
    releaseHeld: ({ writer, throughIndex }) => {
      held.release(writer, throughIndex)
      return {}
    },
    collectHeld: ({ writer }) => ({ items: held.collect(writer) }),
    lend: request => ledger.lend(request),
    claimState: request => claims.answer(request),
    registerKey: request => registrar.register(request),
    endKey: request => registrar.end(request),
    commitBatch: request => joiner.commit(request),
    configurationSince: request => configuration.answer(request),
    crashNews: news => {
      parts.noteCrashes(news)
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
