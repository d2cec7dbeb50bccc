/**
 * Types of a request that is sent to endpoints: the dependencies of its attempts, the request itself, and the
 * result.
 */

import type { StreamOrigin } from '@rackwalk/decisions'
import type { Milliseconds } from '@rackwalk/shared'
import type { EndpointAdviceStore } from '../advice/endpointAdviceStore.js'
import type { EndpointSelectorParts, ChoosingRequest } from './endpointSelector.js'
import type { CallerReply } from './callerReply.js'
import type { Dialect } from './dialect.js'

/** Dependencies of the attempts. */
export interface AttemptsParts extends EndpointSelectorParts {
  readonly dialect: Dialect
  readonly advices: EndpointAdviceStore
  readonly connectMilliseconds: Milliseconds
  /** Upper limit of the backoff that an endpoint may ask for. */
  readonly longestRestMilliseconds: Milliseconds
}

/** An admitted request that has been read and whose tokens are reserved. */
export interface AttemptedRequest extends ChoosingRequest {
  readonly priority: number | undefined
  readonly method: string
  readonly rawHeaders: readonly string[]
  /** Time, on the clock that includes suspensions of the host, at which the caller or the route gives up. */
  readonly deadlineAt: Milliseconds
  readonly reply: CallerReply
  /** Takes one retry from the service's budget, if one is left. */
  readonly takeRetry: () => boolean
  /** Whether another instance may serve the request if no connection to an endpoint can be established. */
  readonly mayRelay: boolean
  /**
   * Service and software version that began the stream that the request resumes; undefined if it resumes
   * none.
   */
  readonly origin: StreamOrigin | undefined
}

/** Result of the attempts, for the budget and the log. */
export interface AttemptsResult {
  /** Whether an endpoint ran the request, or may have. */
  readonly mayHaveRun: boolean
  /** Whether the caller received any part of an endpoint's answer. */
  readonly hasDelivered: boolean
  /** Complete events received from endpoints, over all attempts. */
  readonly events: number
  /** Whether a complete answer was delivered. */
  readonly isWhole: boolean
  /**
   * Whether no connection to an endpoint was established and the caller has neither an answer nor a refusal,
   * so that another instance may serve the request.
   */
  readonly isUnsent: boolean
}
