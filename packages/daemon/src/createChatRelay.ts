/** Where an instance of the OpenAI-style kind hands chats to that it can't send itself. Owns nothing. */

import type { CoordinationNode } from '@rackwalk/coordination'
import { ChatRelay } from '@rackwalk/router'
import type { Clock, RandomSource } from '@rackwalk/shared'
import type { Metrics } from './observe/metrics.js'
import type { MutableNodeIdentity } from './ownIdentity.js'

/** What the handing over works with beside the members. */
export interface ChatHandOverSources {
  readonly clock: Clock
  readonly random: RandomSource
  readonly metrics: Metrics
}

/** Hands chats to the other members that serve. */
export function createChatRelay(
  { incarnation, failureDomain }: MutableNodeIdentity,
  node: CoordinationNode,
  { clock, random, metrics }: ChatHandOverSources,
): ChatRelay {
  const others = () =>
    node.membership.liveMembers().filter(member => {
      return member.state === 'serving' && member.incarnation !== incarnation
    })
  const onHandedOver = ({ kind }: { readonly kind: string }) => metrics.noteHandOver(kind)
  const parts = { incarnation, failureDomain, clock, random, peers: others, onHandedOver }
  return new ChatRelay(parts)
}
