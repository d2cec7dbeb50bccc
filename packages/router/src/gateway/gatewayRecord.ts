/** The record of one request's decisions; it becomes one log line. */

import type { Bytes, Milliseconds, TokenCount } from '@rackwalk/shared'
import type {
  AnswerEnd,
  AnswerFraming,
  AttemptOutcome,
  OriginSource,
  RelayOutcome,
} from '@rackwalk/decisions'
import type { LenderAnswer } from '@rackwalk/coordination'
import type { StreamResumption } from './dialect.js'
import type { Lateness } from './lateness.js'
import type { RefusalRecord } from './attemptOutcomes.js'
import type { RefusedBodyOutcome } from '../refusedBodyHandler.js'
import type { OriginEvidence } from '../streams/streamOrigins.js'
import type { StreamPause } from './streamPace.js'
import type { Execution, RequestFingerprint, SoftwareVersion } from '@rackwalk/shared'

/** How the body of an answer arrived. */
export interface AnswerRecord {
  readonly framing: AnswerFraming
  readonly end: AnswerEnd
  /** Complete events received from the endpoint. */
  readonly events: number
  /** Bytes of the body that were received from the endpoint. */
  readonly bodyBytes: Bytes
  /** Bytes of the body that were received and not delivered to the caller. */
  readonly withheldBytes: Bytes
  /** Ids of the first and the last delivered event of this answer; undefined unless these events have ids. */
  readonly firstEventId: string | undefined
  readonly lastEventId: string | undefined
  /** Whether the answer was given up at an event that did not follow those that the caller has. */
  readonly hasStrayEvent: boolean
}

/** One attempt: an endpoint to which the request was sent. */
export interface AttemptRecord {
  readonly endpoint: string
  readonly softwareVersion: SoftwareVersion
  readonly score: number
  /** Number of endpoints that were compared. */
  readonly compared: number
  /** Time from the arrival of the request to the choice of the endpoint. */
  readonly waitedMilliseconds: Milliseconds
  /** Prompt tokens of other requests that the endpoint had to read when it was chosen. */
  readonly pendingTokens: TokenCount
  /** Tokens of this request's prompt that the endpoint had to read. */
  readonly uncachedTokens: TokenCount
  /** Undefined until the attempt has ended. */
  outcome: AttemptOutcome | undefined
  /** Undefined unless the endpoint refused the request. */
  refusal?: RefusalRecord | undefined
  /** Advice that the endpoint gave with its answer; undefined if it gave none. */
  said?: string
  /** Undefined if no body was read for the caller. */
  answer?: AnswerRecord
  /** Undefined if there was no second event. */
  longestPause: StreamPause | undefined
}

/** One relay: another instance to which the request was sent. */
export interface RelayRecord {
  readonly instance: string
  /** Undefined until the other instance has answered or failed. */
  outcome: RelayOutcome | undefined
}

/** The record of one request, from its arrival to its end. */
export interface GatewayRecord {
  readonly requestId: string
  readonly receivedAt: Milliseconds
  /** Set if it resumes a stream. */
  readonly resumption?: StreamResumption | undefined
  /** How the origin of that stream was determined, or why it was not. */
  originSource?: OriginSource
  /** What this rests on. */
  originEvidence?: OriginEvidence
  /** Undefined if no decision needed the fingerprint. */
  fingerprint?: RequestFingerprint
  configurationVersion?: number
  /** Time since this version took effect here; set if the request was refused for its route or key. */
  configurationAge?: Milliseconds | undefined
  route?: string
  team?: string
  /** Priority of the team, or else of the route; 0 is the most urgent. */
  priority?: number | undefined
  service?: string
  /** Largest possible cost. */
  tokens?: TokenCount
  /** How the cost was reserved. */
  reservation?: string
  /** Instances that lent tokens for it. */
  loans?: readonly { readonly lender: string; readonly tokens: TokenCount }[]
  /** Instances that were asked for tokens and lent none, with their answers. */
  lenders?: readonly LenderAnswer[]
  /** State of the budget at the time of the refusal. */
  budget?: Readonly<Record<string, unknown>>
  spent?: TokenCount
  attempts: AttemptRecord[]
  /** Instances to which it was relayed because this one could not send it to any endpoint. */
  relays: RelayRecord[]
  /** The instance that relayed it to this one. */
  relayedBy?: string
  status?: number
  /** Numbered result; 0 if the endpoint's own answer was delivered. */
  code?: number
  execution?: Execution
  detail?: string
  /** What became of the body of a refused request; undefined if none was left to read. */
  refusedBody?: RefusedBodyOutcome | undefined
  firstByteMilliseconds?: Milliseconds
  /** Why a served answer was late for its caller. */
  lateness?: Lateness
  totalMilliseconds?: Milliseconds
}
