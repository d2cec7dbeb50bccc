/** Inputs and outputs of a routing decision, as decision records store them. */

import type { EndpointId, Milliseconds, TokenCount } from '@rackwalk/shared'

/** The load that an engine reports. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  /** Share of the cache memory in use, 0 to 1. */
  readonly cacheUse: number
  readonly leaving: boolean
  /** Prompt tokens that wait for prefill. */
  readonly queuedPromptTokens: TokenCount
  /** Models loaded at the endpoint; absent if the engine does not report them. */
  readonly loadedModels?: readonly string[]
}

/** An endpoint as a routing decision sees it; stored in decision records. */
export interface EndpointView {
  readonly endpointId: EndpointId
  /** Requests of this instance in progress at the endpoint. */
  readonly inFlight: number
  readonly maximumInFlight: number
  readonly report: LoadReport | undefined
  readonly reportAgeMilliseconds: Milliseconds
  /** Requests that this instance sent to the endpoint since the report. */
  readonly sentSinceReport: number
  /** Prompt tokens that this instance sent to the endpoint since the report. */
  readonly promptTokensSinceReport: TokenCount
  readonly prefillTokensPerSecond: number
  /** Prompt tokens of this request that the endpoint probably has cached. */
  readonly cachedTokens: TokenCount
}

/** The demand of a request, as known when it is routed. */
export interface RoutedDemand {
  /** An estimate, not a bound. */
  readonly promptTokens: TokenCount
  /** Number of instances that send to the same endpoints concurrently. */
  readonly instances: number
}

/** An endpoint with its score under the policy; smaller is better. */
export interface ScoredEndpoint {
  readonly endpointId: EndpointId
  readonly score: number
}

/** The outcome of a routing decision, with the scores that were compared. */
export interface RoutingChoice {
  readonly endpointId: EndpointId
  readonly compared: readonly ScoredEndpoint[]
}
