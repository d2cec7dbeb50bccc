/** Builds the endpoint snapshots that the choice of an endpoint works on. Owns nothing. */

import type { EndpointSnapshot } from '@rackwalk/decisions'
import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import type { RequestMetadata } from './dialect.js'
import type { InstanceLoad } from './peerLoads.js'
import type { EndpointState } from './endpointState.js'

/** Knowledge of endpoints that covers the requests of all instances. */
export interface FleetKnowledge {
  /** Requests of other instances in progress at an endpoint. */
  ofPeers(endpoint: string): InstanceLoad
  /** Uncached tokens of long prompts recently sent to an endpoint, decaying with time. */
  recentTokens(endpoint: string): TokenCount
  /** Factor by which an endpoint is slower than usual for its service; at least 1. */
  slowness(endpoint: EndpointState): number
  /**
   * Whether an endpoint is in this instance's subset: the endpoints that the instance prefers, and to which
   * peers report their sends at once.
   */
  isInSubset(endpoint: string): boolean
  /** Tokens of a prompt that are not cached at an endpoint, which would have to read them. */
  uncachedTokens(
    endpoint: string,
    prompt: TokenCount,
    parts: RequestMetadata['promptParts'],
  ): TokenCount
}

/** The part of a request's metadata that the choice of an endpoint depends on. */
export type PromptMetadata = Pick<RequestMetadata, 'tokens' | 'promptParts'>

/** Returns the snapshot of an endpoint for a request with this prompt; `now` is monotonic. */
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
    reportedSlowness: endpoint.reportedSlowness,
    reported: endpoint.load && {
      running: endpoint.load.running,
      waiting: endpoint.load.waiting,
      ageMilliseconds: now - endpoint.loadAt,
    },
    failureShare: endpoint.failureShare,
    // The load that the endpoint itself reports covers a request without a prompt, so no urgent reports of
    // peers are needed and any endpoint counts as part of the subset.
    isInSubset: prompt.tokens === undefined || fleet.isInSubset(id),
  }
}

/**
 * Returns the longest prompt part that other requests share: the last part belongs to one request, the one
 * before it occurs in others too. Undefined if the prompt names no such part.
 */
export function sharedPartOf({ promptParts }: PromptMetadata): string | undefined {
  return promptParts.length > 1 ? promptParts[promptParts.length - 2]?.id : undefined
}
