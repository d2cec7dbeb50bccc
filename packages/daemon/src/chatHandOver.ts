/** Where an instance of the OpenAI-style kind hands chats to that it can't send itself. Owns nothing. */

import type { CoordinationNode } from '@rackwalk/coordination'
import { ChatHandOver } from '@rackwalk/router'
import type { Clock, RandomSource } from '@rackwalk/shared'
import type { Metrics } from './observe/metrics.js'
import type { OwnIdentity } from './ownIdentity.js'

/** What the handing over works with beside the members. */
export interface ChatHandOverSources {
  readonly clock: Clock
  readonly random: RandomSource
  readonly metrics: Metrics
}

/** Hands chats to the other members that serve. */
export function createChatHandOver(
  { incarnation, failureDomain }: OwnIdentity,
  node: CoordinationNode,
  { clock, random, metrics }: ChatHandOverSources,
): ChatHandOver {
  const others = () =>
    node.membership.live().filter(member => {
      return member.state === 'serving' && member.incarnation !== incarnation
    })
  const onHandedOver = ({ kind }: { readonly kind: string }) => metrics.noteHandOver(kind)
  const parts = { incarnation, failureDomain, clock, random, peers: others, onHandedOver }
  return new ChatHandOver(parts)
}
