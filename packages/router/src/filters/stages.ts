/**
 * The stages of a request of the OpenAI-style kind. Each filter takes one and gives the next, so that a
 * list of filters in the wrong order does not compile.
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

/** A step of the request path: it adds what it found out, or throws a numbered error. */
export interface Filter<Input, Output> {
  apply(input: Input): Promise<Output>
}

/** As it arrived, with its id. */
export interface ReceivedRequest {
  readonly requestId: RequestId
  /** Time, suspensions included. */
  readonly receivedAt: Milliseconds
  readonly incoming: IncomingRequest
  readonly scope: RequestScope
  readonly record: DecisionRecord
}

/** Its team is known. */
export interface AuthenticatedRequest extends ReceivedRequest {
  readonly team: Team
}

/** A call to a model or to a plain service. */
export type Call =
  | { readonly kind: 'chat'; readonly chat: ChatRequest }
  | { readonly kind: 'service'; readonly service: string; readonly path: string }

/** What it asks for is known and within bounds. */
export interface ParsedRequest extends AuthenticatedRequest {
  readonly call: Call
  /** Model or service, by which policies and queues are kept. */
  readonly target: string
  /** Budget that pays: the team's own, or another one of the team that the caller names. */
  readonly budgetId: BudgetId
  readonly repeatable: boolean
  readonly priority: number
  /** Time, suspensions included, by which the caller wants the whole answer. */
  readonly deadline: Milliseconds
  /** The caller's key, if it gave one. */
  readonly callerKey: IdempotencyKey | undefined
  /** Identity of the bill: the caller's key, or else the request's own id. */
  readonly billKey: IdempotencyKey
  /** Hash of what the key stands for. */
  readonly fingerprint: string
  /** What it is apart from this try; undefined where its body streams through and is not known. */
  readonly crashFingerprint: RequestFingerprint | undefined
}

/** No other attempt with its key runs, as far as the registrar knows. */
export interface DeduplicatedRequest extends ParsedRequest {
  /** Billed for the same key before, and so not billed again. */
  readonly creditedTokens: TokenCount
}

/** An endpoint has room for it. */
export interface AdmittedRequest extends DeduplicatedRequest {
  /** To be called when an endpoint has the request; again has no effect. */
  readonly noteDispatched: () => void
}

/** The most that it can cost is set aside. */
export interface ReservedRequest extends AdmittedRequest {
  readonly reservation: Reservation
}

/** A claim is there exactly when the request must not be repeated and has a key. */
export interface ClaimedRequest extends ReservedRequest {
  readonly claim: Claim | undefined
}

/** Where the first attempt goes. */
export interface RoutedRequest extends ClaimedRequest {
  readonly endpointId: EndpointId
  /** What is sent in place of the chat's own body; undefined where that is sent. */
  readonly continuedBody?: Readonly<Record<string, unknown>>
}

/** What another engine is asked for that goes on with an answer. */
export interface ContinuationRequest {
  readonly body: Readonly<Record<string, unknown>>
  /** Of the engine that began the answer. */
  readonly softwareVersion: SoftwareVersion
}

/** An endpoint's answer that has begun to arrive. */
export interface EndpointAnswer {
  readonly endpointId: EndpointId
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly framing: AnswerFraming
  /** What its reading ended with; undefined while more is read. */
  readonly end: AnswerEnd | undefined
  /** Whether all of it is there. */
  readonly isComplete: boolean
  /** Whether more tells where it ends than the end of its connection. */
  readonly isDelimited: boolean
  /** Begins to hand the chunks over; once. */
  startReading(consumer: AnswerConsumer): void
  /** Goes on after the consumer was full. */
  resume(): void
  /** Breaks the exchange off, which cancels the work at the endpoint. */
  readonly cancel: () => void
  /** Gives back the memory of what was held of it; again has no effect. */
  releaseBuffer(): void
}

/** Takes an answer in as it arrives. */
export interface AnswerConsumer {
  receive(chunk: Buffer): void
  /** Whether the endpoint has to wait until `resume`. */
  readonly isFull: boolean
  end(): void
  fail(error: Error): void
}

/** An endpoint has begun to answer it. */
export interface DispatchedRequest extends RoutedRequest {
  readonly answer: EndpointAnswer
  /** Endpoints that were tried, in their order. */
  readonly tried: ReadonlySet<EndpointId>
}

/** An answer that was passed on but for its end. */
export interface DeliveredRequest extends DispatchedRequest {
  readonly code: DispatchedCode
  readonly detail: string | undefined
  /** The end of the answer, kept back until its bill is safe. */
  readonly withheldChunks: readonly Buffer[]
  readonly usage: ReportedUsage
  readonly billedTokens: TokenCount
}

/** Its bill is written, and safe or not. */
export interface SettledRequest extends DeliveredRequest {
  /** Whether the bill is kept; without it the end is not released. */
  readonly isBillDurable: boolean
}
