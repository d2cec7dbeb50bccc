/** The result of sending a request once to an endpoint of the OpenAI-style kind. */

import type { AnswerEnd, AnswerFraming } from '@rackwalk/decisions'
import type { EndpointAnswer } from '../filters/stages.js'

/**
 * `answering`: an answer is complete or is being streamed. `unsent`: no byte of the request can
 * have been sent, so the request was not run. `failed`: the request may have run, and none of its
 * answer was passed on.
 */
export type AttemptResult =
  | { readonly kind: 'answering'; readonly answer: EndpointAnswer }
  | { readonly kind: 'unsent'; readonly reason: string }
  | {
      readonly kind: 'failed'
      readonly reason: string
      /** Whether the attempt failed because the endpoint sent nothing for too long. */
      readonly stalled: boolean
      /** How reading the answer ended; undefined if it was not reading that failed. */
      readonly end?: AnswerEnd
      /** Framing of an answer that had begun; undefined if no head arrived. */
      readonly framing?: AnswerFraming
      /**
       * True if the endpoint is known to have terminated and the crash guard needs no report of
       * this attempt: either the request was not in flight at the termination, or the attempt was
       * already reported.
       */
      readonly isAttributed?: boolean
    }
