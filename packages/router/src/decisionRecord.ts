/**
 * What is kept of one request's decisions in the OpenAI-style kind. Filters fill it in as they go;
 * `explain` shows it.
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
} from '@rackwalk/shared'
import type { AllocationView } from '@rackwalk/coordination'
import type { AnswerEnd, AnswerDisposition, AnswerFraming } from '@rackwalk/decisions'
import type { ScoredEndpoint } from './routing/endpointView.js'

/** One choice of an endpoint: one for each attempt. */
export interface RoutingRecord {
  readonly policy: string
  readonly endpointId: EndpointId
  readonly compared: readonly ScoredEndpoint[]
  /** What came of the attempt. */
  outcome: string
  /** How its answer ended; undefined where no head of one came. */
  answer?: AnswerRecord
}

/** How an endpoint's answer was framed, what its reading ended with, and what became of it. */
interface AnswerRecord {
  readonly framing: AnswerFraming
  readonly end: AnswerEnd
  readonly fate: AnswerDisposition
}

/** Everything that decided about one request; what `explain` shows. */
export interface DecisionRecord {
  readonly requestId: RequestId
  readonly instanceId: string
  /** Wall time, milliseconds. */
  readonly receivedAt: Milliseconds
  teamId?: TeamId
  target?: string
  key?: IdempotencyKey
  repeatable?: boolean
  /** The claim of a request that may run once is held, so no earlier attempt ran. */
  claimed?: boolean
  priority?: number
  queuedMilliseconds?: Milliseconds
  /** The allocation as it was when the reservation was decided. */
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
