/**
 * Types of a request that is sent to endpoints: the dependencies of its attempts, the request itself, and the
 * result.
 */

import type { StreamOrigin } from '@rackwalk/decisions'
import type { Milliseconds } from '@rackwalk/shared'
import type { EndpointAdviceStore } from '../advice/endpointAdviceStore.js'
import type { StreamOrigins } from '../streams/streamOrigins.js'
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
  readonly streams: StreamOrigins
}

/** An admitted request that has been read and whose tokens are reserved. */
export interface AttemptedRequest extends ChoosingRequest {
  readonly priority: number | undefined
  readonly method: string
  readonly rawHeaders: readonly string[]
  /** Time, suspensions included, at which the caller or the route gives up. */
  readonly deadlineAt: Milliseconds
  readonly reply: CallerReply
  /** Takes one retry from the service's budget, if one is left. */
  readonly takeRetry: () => boolean
  /** Whether another instance may serve it if no connection can be established. */
  readonly mayRelay: boolean
  /** Origin of the stream that it resumes; undefined if it resumes none. */
  readonly origin: StreamOrigin | undefined
}

/** Result of the attempts, for the budget and the log. */
export interface AttemptsResult {
  /** Whether an endpoint ran the request, or may have. */
  readonly mayHaveRun: boolean
  /** Whether the caller received any part of an endpoint's answer. */
  readonly hasDelivered: boolean
  readonly events: number
  /** Whether the last answer was complete. */
  readonly isWhole: boolean
  /**
   * Whether no connection was established and the caller has no part of an answer, so that another instance
   * may serve the request.
   */
  readonly isUnsent: boolean
}
