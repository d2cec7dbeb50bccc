/** Inputs and outputs of a routing decision. Decision records store the compared scores. */

import type { EndpointId, Milliseconds, TokenCount } from '@rackwalk/shared'

/** The load of an engine, as the engine reports it. */
export interface LoadReport {
  /** Requests that the engine is running. */
  readonly running: number
  /** Requests that wait in the engine's queue. */
  readonly waiting: number
  /** Share of the cache memory in use, 0 to 1. */
  readonly cacheUse: number
  /** Whether the endpoint accepts no new requests because it is about to terminate. */
  readonly leaving: boolean
  /** Prompt tokens that wait for prefill. */
  readonly queuedPromptTokens: TokenCount
  /** Models loaded at the endpoint; absent if the engine does not report them. */
  readonly loadedModels?: readonly string[]
}

/** An endpoint as a routing decision sees it. */
export interface EndpointView {
  readonly endpointId: EndpointId
  /** Requests of this instance in progress at the endpoint. */
  readonly inFlight: number
  /** Configured number of requests that the endpoint runs at the same time. */
  readonly maximumInFlight: number
  /** The latest load report; undefined until the first report has arrived. */
  readonly report: LoadReport | undefined
  /**
   * Time since the latest report arrived, plus its assumed age on arrival; before the first report,
   * counted from when this instance first kept state for the endpoint.
   */
  readonly reportAgeMilliseconds: Milliseconds
  /** Requests sent to the endpoint by this instance that the report may not include. */
  readonly sentSinceReport: number
  /** Prompt tokens of these requests, estimated. */
  readonly promptTokensSinceReport: TokenCount
  readonly prefillTokensPerSecond: number
  /** Prompt tokens of the routed request that the endpoint probably has cached. */
  readonly cachedTokens: TokenCount
}

/** The demand of a request, as known when it is routed. */
export interface RoutedDemand {
  /** Estimated number of prompt tokens; the true number may be greater. */
  readonly promptTokens: TokenCount
  /** Number of instances that send to the same endpoints concurrently. */
  readonly instances: number
}

/** An endpoint with its score under the policy; smaller is better. */
export interface ScoredEndpoint {
  readonly endpointId: EndpointId
  readonly score: number
}

/** The outcome of a routing decision. The policies without scores compare none. */
export interface RoutingChoice {
  readonly endpointId: EndpointId
  readonly compared: readonly ScoredEndpoint[]
}
