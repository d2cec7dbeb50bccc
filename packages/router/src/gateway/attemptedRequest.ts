/** A request that is sent to endpoints: what its attempts work with, what they are told of it, and how they end. */

import type { StreamOrigin } from '@rackwalk/decisions'
import type { Milliseconds } from '@rackwalk/shared'
import type { EndpointAdviceStore } from '../advice/endpointAdviceStore.js'
import type { StreamOrigins } from '../streams/streamOrigins.js'
import type { AttemptChoiceParts, ChoosingRequest } from './endpointSelector.js'
import type { CallerReply } from './callerReply.js'
import type { Dialect } from './dialect.js'

/** What the attempts at requests work with. */
export interface AttemptsParts extends AttemptChoiceParts {
  readonly dialect: Dialect
  readonly advices: EndpointAdviceStore
  readonly connectMilliseconds: Milliseconds
  /** No endpoint is left alone for longer than this by its own word. */
  readonly longestRestMilliseconds: Milliseconds
  readonly streams: StreamOrigins
}

/** A request that may be sent: admitted, read and paid for. */
export interface AttemptedRequest extends ChoosingRequest {
  readonly priority: number | undefined
  readonly method: string
  readonly rawHeaders: readonly string[]
  /** Time, suspensions included, at which the caller or the route gives up. */
  readonly deadlineAt: Milliseconds
  readonly reply: CallerReply
  /** Takes one retry of the service's budget, if there is one. */
  readonly takeRetry: () => boolean
  /** Whether another instance may take it where no connection comes up. */
  readonly mayRelay: boolean
  /** Where the stream began that it takes up; undefined where it takes up none. */
  readonly origin: StreamOrigin | undefined
}

/** How the attempts ended, for the budget and the log. */
export interface AttemptsResult {
  /** Whether an endpoint ran the request, or may have. */
  readonly mayHaveRun: boolean
  /** Whether the caller was given any part of an endpoint's answer. */
  readonly hasDelivered: boolean
  readonly events: number
  /** Whether the last answer came to its own end. */
  readonly isWhole: boolean
  /** Whether no connection came up for it, and its caller was told nothing: another instance may take it. */
  readonly isUnsent: boolean
}
