/**
 * Metadata of requests and answers, independent of how a platform spells their headers. A dialect translates
 * headers to these types and back; the gateway uses only these types.
 */

import type { AdviceHeaders } from '@rackwalk/decisions'
import type { EndpointId, Milliseconds, TokenCount } from '@rackwalk/shared'
import type { RetryAfterFormat } from '../retryAfter.js'

/** A part of a prompt that several requests may contain. */
export interface PromptPart {
  readonly id: string
  readonly tokens: TokenCount
}

/** Metadata that a caller sends with its request. */
export interface RequestMetadata {
  readonly requestId: string
  /** Time for which the caller waits, counted from the arrival of the request. */
  readonly deadlineMilliseconds: Milliseconds | undefined
  readonly credential: string | undefined
  /** Undefined if the request asks no model for tokens. */
  readonly tokens: { readonly prompt: TokenCount; readonly maximumOutput: TokenCount } | undefined
  readonly promptParts: readonly PromptPart[]
  /** Set if the request resumes a stream. */
  readonly resumption?: StreamResumption
}

/** Metadata about a stream that a caller resumes. */
export interface StreamResumption {
  /** Id of the try that brought the first event; undefined if the caller does not name it. */
  readonly firstRequestId: string | undefined
  /** Id of the last event that the caller has; undefined if the caller does not name it. */
  readonly lastEventId?: string | undefined
}

/** Metadata that the gateway adds to a caller's headers for an endpoint. */
export interface ForwardMetadata {
  readonly remainingMilliseconds: Milliseconds
  /**
   * Id of the endpoint that must answer; any other endpoint at the address refuses without running the
   * request.
   */
  readonly endpoint: string
  readonly team: string | undefined
  /** 0 is the most urgent; undefined if the service does not order requests. */
  readonly priority: number | undefined
  /** Set if an answer is continued: id of the last event that the caller has. */
  readonly lastEventId: string | undefined
}

/** Load as reported by an endpoint. */
export interface EndpointLoad {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Time that work currently takes there, in percent of the normal time; not all endpoints report it. */
  readonly pace?: number
}

/** Metadata that an endpoint sends with its answer. */
export interface ReplyMetadata {
  readonly requestId: string | undefined
  /** Whether the answer carries its endpoint's signature. */
  readonly isSigned: boolean
  /** Whether the endpoint states that it did not run the request and never will. */
  readonly isNotExecuted: boolean
  /** Id of the server that refused the request; undefined if the answer does not name it. */
  readonly refusedBy?: EndpointId | undefined
  readonly load: EndpointLoad | undefined
  /**
   * Unparsed number of rejections per second that the endpoint tolerates; undefined if the answer names
   * none.
   */
  readonly rejectionLimit?: string | undefined
  /** Unparsed advice on whether and at which rate the endpoint may be sent further requests. */
  readonly advice: AdviceHeaders
}

type Headers = Readonly<Record<string, string | readonly string[] | undefined>>

/** Translates the headers of requests and answers for one platform. */
export interface Dialect extends RetryAfterFormat {
  /** Returns undefined if the headers are no valid request. */
  readRequest(headers: Headers): RequestMetadata | undefined
  /** Headers for an endpoint, as a flat list of alternating names and values. */
  forwardHeaders(rawHeaders: readonly string[], forward: ForwardMetadata): string[]
  /**
   * Headers for another instance that serves the request in place of this one, as the caller would send them
   * now.
   */
  relayHeaders(rawHeaders: readonly string[], remainingMilliseconds: Milliseconds): string[]
  readReply(status: number, headers: Headers): ReplyMetadata
  /** Headers of an answer that the gateway generates itself. */
  ownHeaders(requestId: string | undefined): Readonly<Record<string, string>>
}
