/** What came of sending a request to an endpoint of the OpenAI-style kind once. */

import type { AnswerEnd, AnswerFraming } from '@rackwalk/decisions'
import type { EndpointAnswer } from '../filters/stages.js'

/**
 * `unsent`: no byte can have left, so the request was not run. `failed`: it may have run.
 */
export type AttemptResult =
  | { readonly kind: 'answering'; readonly answer: EndpointAnswer }
  | { readonly kind: 'unsent'; readonly reason: string }
  | {
      readonly kind: 'failed'
      readonly reason: string
      readonly stalled: boolean
      /** What the reading ended with; undefined where it was not the reading that failed. */
      readonly end?: AnswerEnd
      /** How an answer was framed that had begun; undefined where no head had come. */
      readonly framing?: AnswerFraming
      /** Whether the endpoint is already known to have ended, and whether the request was there is settled. */
      readonly isAttributed?: boolean
    }
