/** Snapshots of endpoints, as the choice of an endpoint takes them. Owns nothing. */

import type { EndpointSnapshot } from '@rackwalk/decisions'
import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import type { RequestMetadata } from './dialect.js'
import type { InstanceLoad } from './peerLoads.js'
import type { EndpointState } from './endpointState.js'

/** What the fleet knows of an endpoint beyond this instance's own requests. */
export interface FleetKnowledge {
  /** What other instances have in progress there. */
  ofPeers(endpoint: string): InstanceLoad
  /** Tokens of long prompts sent there lately. */
  recentTokens(endpoint: string): TokenCount
  /** How many times as long as a usual one it takes for an answer; 1 or more. */
  slowness(endpoint: EndpointState): number
  /** Whether this instance hears at once what others send there. */
  isInSubset(endpoint: string): boolean
  /** Tokens of a prompt that it would have to read. */
  uncachedTokens(
    endpoint: string,
    prompt: TokenCount,
    parts: RequestMetadata['promptParts'],
  ): TokenCount
}

/** The prompt of a request, as far as the choice looks at it. */
export type PromptMetadata = Pick<RequestMetadata, 'tokens' | 'promptParts'>

/** What is known of an endpoint for a request with this prompt; `now` is monotonic. */
export function snapshotEndpoint(
  endpoint: EndpointState,
  fleet: FleetKnowledge,
  prompt: PromptMetadata,
  now: Milliseconds,
): EndpointSnapshot {
  const { id, failureDomain, slots } = endpoint.record
  const peers = fleet.ofPeers(id)
  return {
    id,
    failureDomain,
    running: endpoint.running + peers.running,
    slots,
    pendingTokens: endpoint.pendingTokens + peers.pendingTokens,
    uncachedTokens: fleet.uncachedTokens(id, prompt.tokens?.prompt ?? 0, prompt.promptParts),
    recentTokens: fleet.recentTokens(id),
    slowness: fleet.slowness(endpoint),
    reported: endpoint.load && {
      running: endpoint.load.running,
      waiting: endpoint.load.waiting,
      ageMilliseconds: now - endpoint.loadAt,
    },
    failureShare: endpoint.failures,
    // Where no prompt is read, sending unheard costs nothing that the endpoint's own word does not tell.
    isInSubset: prompt.tokens === undefined || fleet.isInSubset(id),
  }
}

/**
 * The longest part of a prompt that other requests share: the last part belongs to one request,
 * the one before it is what others have too. Undefined where the prompt names no such part.
 */
export function sharedPartOf({ promptParts }: PromptMetadata): string | undefined {
  return promptParts.length > 1 ? promptParts[promptParts.length - 2]?.id : undefined
}
