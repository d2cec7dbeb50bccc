/**
 * Creates the relay of chats that an instance of the OpenAI-style kind cannot send to any engine itself. Owns
 * nothing.
 */

import type { CoordinationNode } from '@rackwalk/coordination'
import { ChatRelay } from '@rackwalk/router'
import type { Clock, RandomSource } from '@rackwalk/shared'
import type { Metrics } from './observe/metrics.js'
import type { MutableNodeIdentity } from './ownIdentity.js'

/** What the relay needs besides the members. */
export interface ChatRelaySources {
  readonly clock: Clock
  readonly random: RandomSource
  readonly metrics: Metrics
}

/** Creates the relay of chats to the other members that serve. */
export function createChatRelay(
  { incarnation, failureDomain }: MutableNodeIdentity,
  node: CoordinationNode,
  { clock, random, metrics }: ChatRelaySources,
): ChatRelay {
  const others = () =>
    node.membership.liveMembers().filter(member => {
      return member.state === 'serving' && member.incarnation !== incarnation
    })
  const onRelayed = ({ kind }: { readonly kind: string }) => metrics.noteRelay(kind)
  const parts = {
    incarnation,
    failureDomain,
    clock,
    random,
    peers: others,
    onRelayed,
  }
  return new ChatRelay(parts)
}
