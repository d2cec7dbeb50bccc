/** What a routing decision looks at and what it gives back, as decision records keep both. */

import type { EndpointId, Milliseconds, TokenCount } from '@rackwalk/shared'

/** What an engine said of its load, and when it was heard. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  /** Share of the cache memory in use, 0 to 1. */
  readonly cacheUse: number
  readonly leaving: boolean
  /** Prompt tokens waiting to be taken in. */
  readonly queuedPromptTokens: TokenCount
  /** Models in memory there; absent where the engine does not say. */
  readonly loadedModels?: readonly string[]
}

/** One endpoint as a routing decision sees it; decision records keep it. */
export interface EndpointView {
  readonly endpointId: EndpointId
  /** Requests of this instance in progress there. */
  readonly inFlight: number
  readonly maximumInFlight: number
  readonly report: LoadReport | undefined
  readonly reportAgeMilliseconds: Milliseconds
  /** Requests that this instance sent there since the report. */
  readonly sentSinceReport: number
  /** Prompt tokens that this instance sent there since the report. */
  readonly promptTokensSinceReport: TokenCount
  readonly prefillTokensPerSecond: number
  /** Prompt tokens of this request that are probably cached there. */
  readonly cachedTokens: TokenCount
}

/** What is known of the request when it is routed. */
export interface RoutedDemand {
  /** Estimate, not a bound. */
  readonly promptTokens: TokenCount
  /** Instances that send to the same endpoints at the same time. */
  readonly instances: number
}

/** One endpoint with the score that the policy gave it; smaller is better. */
export interface ScoredEndpoint {
  readonly endpointId: EndpointId
  readonly score: number
}

/** The outcome of a routing decision, with what was compared. */
export interface RoutingChoice {
  readonly endpointId: EndpointId
  readonly compared: readonly ScoredEndpoint[]
}
