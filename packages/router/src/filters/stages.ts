/**
 * The stages of a request of the OpenAI-style kind. Each filter takes one stage and returns the
 * next, so a list of filters in the wrong order does not compile.
 */

import type {
  DispatchedCode,
  BudgetId,
  EndpointId,
  IdempotencyKey,
  Milliseconds,
  RequestFingerprint,
  RequestId,
  SoftwareVersion,
  TokenCount,
} from '@rackwalk/shared'
import type { Claim, Reservation } from '@rackwalk/coordination'
import type { AnswerEnd, AnswerFraming } from '@rackwalk/decisions'
import type { IncomingRequest } from '../callerConnection.js'
import type { DecisionRecord } from '../decisionRecord.js'
import type { ChatRequest } from '../engine/chatRequest.js'
import type { ReportedUsage } from '../engine/usage.js'
import type { RequestScope } from '../requestScope.js'
import type { Team } from '../resources/catalogue.js'

/** A step of the request path. Returns the next stage or throws an error with a result code. */
export interface Filter<Input, Output> {
  apply(input: Input): Promise<Output>
}

/** A request as received, with its id. */
export interface ReceivedRequest {
  readonly requestId: RequestId
  /** Time at which the request arrived, on the clock that includes suspensions. */
  readonly receivedAt: Milliseconds
  readonly incoming: IncomingRequest
  readonly scope: RequestScope
  readonly record: DecisionRecord
}

/** A request whose team is known. */
export interface AuthenticatedRequest extends ReceivedRequest {
  readonly team: Team
}

/** A call to a model or to a plain service. */
export type Call =
  | { readonly kind: 'chat'; readonly chat: ChatRequest }
  | { readonly kind: 'service'; readonly service: string; readonly path: string }

/** A request that was parsed and is within the limits. */
export interface ParsedRequest extends AuthenticatedRequest {
  readonly call: Call
  /** Name of the model or service; the key of policies and queues. */
  readonly target: string
  /** Budget that pays: the team's own, or another of the team's budgets that the caller names. */
  readonly budgetId: BudgetId
  readonly repeatable: boolean
  readonly priority: number
  /** Time by which the caller wants the complete answer, on the clock that includes suspensions. */
  readonly deadline: Milliseconds
  /** Idempotency key that the caller gave, if any. */
  readonly callerKey: IdempotencyKey | undefined
  /** Identity of the bill: the caller's key, or else the request's own id. */
  readonly billKey: IdempotencyKey
  /** Hash of the request that the key is bound to. */
  readonly fingerprint: string
  /**
   * Identity of the request across attempts; undefined if its body is streamed and therefore
   * unknown.
   */
  readonly crashFingerprint: RequestFingerprint | undefined
}

/** A request whose key has no other attempt running, as far as the registrar knows. */
export interface DeduplicatedRequest extends ParsedRequest {
  /** Tokens already billed for the same key, which are not billed again. */
  readonly creditedTokens: TokenCount
}

/** A request for which an endpoint had room when the request was admitted. */
export interface AdmittedRequest extends DeduplicatedRequest {
  /**
   * To be called once the request counts among the requests in progress at an endpoint. Further
   * calls have no effect.
   */
  readonly noteDispatched: () => void
}

/** A request whose maximum cost is reserved. */
export interface ReservedRequest extends AdmittedRequest {
  readonly reservation: Reservation
}

/** A request with a claim if it must not be repeated and has a key, and without one otherwise. */
export interface ClaimedRequest extends ReservedRequest {
  readonly claim: Claim | undefined
}

/** A request whose first endpoint is chosen. */
export interface RoutedRequest extends ClaimedRequest {
  readonly endpointId: EndpointId
  /** Body sent in place of the chat's own; undefined if the chat's own is sent. */
  readonly continuedBody?: Readonly<Record<string, unknown>>
}

/** The request to an engine that is to continue an answer. */
export interface ContinuationRequest {
  readonly body: Readonly<Record<string, unknown>>
  /** Software version of the engine that began the answer. */
  readonly softwareVersion: SoftwareVersion
}

/** An endpoint's answer whose head has arrived. */
export interface EndpointAnswer {
  readonly endpointId: EndpointId
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly framing: AnswerFraming
  /** How reading ended; undefined while the answer is being read. */
  readonly end: AnswerEnd | undefined
  /** Whether the whole answer has been received. */
  readonly isComplete: boolean
  /**
   * Whether the framing marks the end of the answer, so that it does not depend on the end of the
   * connection.
   */
  readonly isDelimited: boolean
  /** Starts to pass chunks to the consumer; to be called once. */
  startReading(consumer: AnswerConsumer): void
  /** Continues reading after the consumer was full. */
  resume(): void
  /** Aborts the exchange, which cancels the work at the endpoint. */
  readonly cancel: () => void
  /** Releases the memory that buffers the answer. Further calls have no effect. */
  releaseBuffer(): void
}

/** Receives an answer as it arrives. */
export interface AnswerConsumer {
  receive(chunk: Buffer): void
  /** Whether reading from the endpoint must pause until `resume` is called. */
  readonly isFull: boolean
  end(): void
  fail(error: Error): void
}

/** A request that an endpoint has begun to answer. */
export interface DispatchedRequest extends RoutedRequest {
  readonly answer: EndpointAnswer
  /** Endpoints that were tried, in order. */
  readonly tried: ReadonlySet<EndpointId>
}

/** A request whose answer was delivered, except for its end. */
export interface DeliveredRequest extends DispatchedRequest {
  readonly code: DispatchedCode
  readonly detail: string | undefined
  /** The end of the answer, withheld until its bill is durable. */
  readonly withheldChunks: readonly Buffer[]
  readonly usage: ReportedUsage
  readonly billedTokens: TokenCount
}

/** A request whose bill is written, whether or not it is durable. */
export interface SettledRequest extends DeliveredRequest {
  /**
   * Whether the bill would survive a crash of this instance, because the table has the bill or
   * enough peers hold it. If not, the end of the answer is not released.
   */
  readonly isBillDurable: boolean
}
