/** What came of sending a request to an endpoint of the OpenAI-style kind once. */

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
      /** Whether the endpoint is already known to have ended. */
      readonly isLookedAt?: boolean
    }
