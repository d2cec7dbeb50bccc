/** What is kept of one request's decisions; it becomes one line of the log. */

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
import type { RefusedBodyOutcome } from '../refusedBodyHandler.js'
import type { StreamPause } from './streamPace.js'
import type { Execution, RequestFingerprint, SoftwareVersion } from '@rackwalk/shared'

/** How the body of an answer came. */
export interface AnswerRecord {
  readonly framing: AnswerFraming
  readonly end: AnswerEnd
  /** Whole events that came from the endpoint. */
  readonly events: number
  /** Bytes of the body that came and did not go to the caller. */
  readonly withheldBytes: Bytes
}

/** One endpoint that a request was sent to. */
export interface AttemptRecord {
  readonly endpoint: string
  readonly softwareVersion: SoftwareVersion
  readonly score: number
  /** Endpoints that were compared. */
  readonly compared: number
  readonly waitedMilliseconds: Milliseconds
  /** Prompt tokens of other requests that the endpoint had to read when it was chosen. */
  readonly pendingTokens: TokenCount
  /** Tokens of this request's prompt that it had to read. */
  readonly uncachedTokens: TokenCount
  /** Undefined until the attempt has ended. */
  outcome: AttemptOutcome | undefined
  /** What the endpoint said of itself with its answer; undefined where it said nothing. */
  said?: string
  /** Undefined where no body was read for the caller. */
  answer?: AnswerRecord
  /** Undefined where no second event came. */
  longestPause: StreamPause | undefined
}

/** Another instance that a request was handed to. */
export interface RelayRecord {
  readonly instance: string
  /** Undefined until it is known. */
  outcome: RelayOutcome | undefined
}

/** One request, from its arrival to its end. */
export interface GatewayRecord {
  readonly requestId: string
  readonly receivedAt: Milliseconds
  /** Set where it takes a stream up again. */
  readonly resumption?: StreamResumption | undefined
  /** How it became known where that stream began, or why it did not. */
  originSource?: OriginSource
  /** Undefined where nobody had to tell it from others. */
  fingerprint?: RequestFingerprint
  configurationVersion?: number
  route?: string
  team?: string
  service?: string
  /** Largest possible cost, and how it was reserved. */
  tokens?: TokenCount
  reservation?: string
  /** Instances that lent tokens for it. */
  loans?: readonly { readonly lender: string; readonly tokens: TokenCount }[]
  /** Instances that were asked for tokens in vain, and what each answered. */
  lenders?: readonly LenderAnswer[]
  /** What was known of the budget when it refused. */
  budget?: Readonly<Record<string, unknown>>
  spent?: TokenCount
  attempts: AttemptRecord[]
  /** Instances that it was handed to, since this one could not send it to any endpoint. */
  relays: RelayRecord[]
  /** The instance that handed it to this one. */
  relayedBy?: string
  status?: number
  /** Numbered result; 0 where the endpoint's own answer was passed on. */
  code?: number
  execution?: Execution
  detail?: string
  /** What became of the body of a refused request; undefined where none was left. */
  refusedBody?: RefusedBodyOutcome | undefined
  firstByteMilliseconds?: Milliseconds
  /** Why its caller counts a served answer as late. */
  lateness?: Lateness
  totalMilliseconds?: Milliseconds
}
