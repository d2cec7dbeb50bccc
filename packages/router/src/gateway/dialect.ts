/**
 * What a request and an answer mean, apart from how their headers are spelled. A dialect translates; the
 * gateway knows only these types.
 */

import type { AdviceHeaders } from '@rackwalk/decisions'
import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import type { RetryAfterFormat } from '../retryAfter.js'

/** A part of a prompt that requests may share. */
export interface PromptPart {
  readonly id: string
  readonly tokens: TokenCount
}

/** What a caller says of its request. */
export interface RequestMetadata {
  readonly requestId: string
  /** Time that the caller still waits, counted from the arrival. */
  readonly deadlineMilliseconds: Milliseconds | undefined
  readonly credential: string | undefined
  /** Absent where the request asks no model for tokens. */
  readonly tokens: { readonly prompt: TokenCount; readonly maximumOutput: TokenCount } | undefined
  readonly promptParts: readonly PromptPart[]
  /** Set where the request takes a stream up again. */
  readonly resumption?: StreamResumption
}

/** What a caller says of a stream that it takes up again. */
export interface StreamResumption {
  /** The try that brought the first event; undefined where the caller does not tell it. */
  readonly firstRequestId: string | undefined
}

/** What the gateway tells an endpoint beside what the caller sent. */
export interface ForwardMetadata {
  readonly remainingMilliseconds: Milliseconds
  /** The endpoint that must answer; any other refuses without running the request. */
  readonly endpoint: string
  readonly team: string | undefined
  /** 0 is the most urgent; absent where the service orders nothing. */
  readonly priority: number | undefined
  /** Set where an answer is continued: the last event that the caller has. */
  readonly lastEventId: string | undefined
}

/** Load as an endpoint tells it. */
export interface EndpointLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}

/** What an endpoint says with its answer. */
export interface ReplyMetadata {
  readonly requestId: string | undefined
  /** Whether the answer carries its endpoint's signature. */
  readonly isSigned: boolean
  /** The endpoint says that it did not run the request and never will. */
  readonly isNotExecuted: boolean
  readonly load: EndpointLoad | undefined
  /** Requests that it bears to turn away in a second, not yet read; undefined where it names none. */
  readonly turnAways?: string | undefined
  /** What bears on what it may be sent next, not yet read. */
  readonly advice: AdviceHeaders
}

type Headers = Readonly<Record<string, string | readonly string[] | undefined>>

/** Spells requests and answers as one platform does. */
export interface Dialect extends RetryAfterFormat {
  /** Undefined where the headers make no request. */
  readRequest(headers: Headers): RequestMetadata | undefined
  /** Headers for an endpoint, as a flat list of names and values. */
  forwardHeaders(rawHeaders: readonly string[], forward: ForwardMetadata): string[]
  /** Headers for another instance that serves the request in place of this one, as the caller would have sent them now. */
  relayHeaders(rawHeaders: readonly string[], remainingMilliseconds: Milliseconds): string[]
  readReply(status: number, headers: Headers): ReplyMetadata
  /** Headers of an answer that the gateway gives itself. */
  ownHeaders(requestId: string | undefined): Readonly<Record<string, string>>
}
