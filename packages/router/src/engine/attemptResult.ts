/** The result of sending a request once to an endpoint of the OpenAI-style kind. */

import type { AnswerEnd, AnswerFraming } from '@rackwalk/decisions'
import type { EndpointAnswer } from '../filters/stages.js'

/**
 * `unsent`: no byte can have been sent, so the request was not run. `failed`: the request may have
 * run.
 */
export type AttemptResult =
  | { readonly kind: 'answering'; readonly answer: EndpointAnswer }
  | { readonly kind: 'unsent'; readonly reason: string }
  | {
      readonly kind: 'failed'
      readonly reason: string
      readonly stalled: boolean
      /** How reading the answer ended; undefined if it was not reading that failed. */
      readonly end?: AnswerEnd
      /** Framing of an answer that had begun; undefined if no head arrived. */
      readonly framing?: AnswerFraming
      /**
       * Whether the endpoint is known to have terminated and it is settled whether the request was in
       * flight at that time.
       */
      readonly isAttributed?: boolean
    }
