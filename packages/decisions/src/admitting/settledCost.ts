/**
 * Decides how many tokens a request of the gateway kind has cost its team.
 *
 * Inputs: which part of the answer the caller was given, the tokens that the request declares, and
 * the tokens that one event counts for. The cost is the prompt, once for all attempts, and the
 * events that were delivered. The cost is 0 where the caller was given no part of an answer,
 * whether or not an endpoint worked on the request:
 * docs/design/gateway-routing.md#what-a-request-costs.
 *
 * If the team were charged the maximum that was reserved for a request, its budget would later
 * refuse requests that it could cover.
 */

import type { TokenCount } from '@rackwalk/shared'

/** The part of the answer that the caller was given. */
export interface DeliveredAnswer {
  /** Whether the caller was given any part of an endpoint's answer. */
  readonly hasDelivered: boolean
  /** Number of whole events that were delivered, of all attempts together. */
  readonly events: number
  /** Whether the last attempt's answer was complete. */
  readonly isWhole: boolean
}

/** Tokens that a request declares and that were reserved for it. */
export interface RequestTokens {
  readonly prompt: TokenCount
  readonly maximumOutput: TokenCount
}

/**
 * Events of an interrupted answer that count as delivered although the instance does not know
 * whether they were: one on its way to the caller and one being written.
 */
const UNCONFIRMED_EVENTS = 2

/** Returns the tokens that a request has cost its team; at most those that were reserved for it. */
export function settledCost(
  answer: DeliveredAnswer,
  tokens: RequestTokens,
  tokensPerEvent: TokenCount,
): TokenCount {
  if (!answer.hasDelivered) return 0
  const events = answer.events + (answer.isWhole ? 0 : UNCONFIRMED_EVENTS)
  return tokens.prompt + Math.min(tokens.maximumOutput, events * tokensPerEvent)
}
