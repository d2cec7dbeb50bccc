/**
 * The decisions made for one request of the OpenAI-style kind. The filters fill in the record as
 * they run, and `explain` shows the record.
 */

import type {
  EndpointId,
  Execution,
  IdempotencyKey,
  Milliseconds,
  RequestId,
  ResultCode,
  TeamId,
  TokenCount,
  Version,
} from '@rackwalk/shared'
import type { AllocationView } from '@rackwalk/coordination'
import type { AnswerEnd, AnswerDisposition, AnswerFraming } from '@rackwalk/decisions'
import type { ScoredEndpoint } from './routing/endpointView.js'

/** The choice of an endpoint for one attempt. */
export interface RoutingRecord {
  readonly policy: string
  readonly endpointId: EndpointId
  readonly compared: readonly ScoredEndpoint[]
  /** Outcome of the attempt. */
  outcome: string
  /** How the answer ended; undefined if no head of an answer arrived. */
  answer?: AnswerRecord
}

/** How an endpoint's answer was framed, how reading it ended, and what became of it. */
interface AnswerRecord {
  readonly framing: AnswerFraming
  readonly end: AnswerEnd
  readonly fate: AnswerDisposition
}

/** All decisions made for one request, as `explain` shows them. */
export interface DecisionRecord {
  readonly requestId: RequestId
  readonly instanceId: string
  /** Wall time in milliseconds. */
  readonly receivedAt: Milliseconds
  /** Revision of the configuration that this instance had read when the request arrived; 0 before the first one. */
  readonly configurationRevision: Version
  teamId?: TeamId
  target?: string
  key?: IdempotencyKey
  repeatable?: boolean
  /**
   * True if the request holds the claim of its key, which means that no earlier attempt with the
   * key ran; undefined if no claim was made.
   */
  claimed?: boolean
  priority?: number
  queuedMilliseconds?: Milliseconds
  /** The allocation at the time of the reservation decision. */
  allocation?: AllocationView
  reservedTokens?: TokenCount
  routing: RoutingRecord[]
  promptTokens?: TokenCount
  generatedTokens?: TokenCount
  billedTokens?: TokenCount
  billDurability?: string
  firstByteMilliseconds?: Milliseconds
  totalMilliseconds?: Milliseconds
  code?: ResultCode
  execution?: Execution
  detail?: string
}
