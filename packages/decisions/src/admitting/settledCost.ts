/**
 * Decides how many tokens a request of the gateway kind has cost its team.
 *
 * Inputs: which part of the answer the caller was given, the tokens that the request declares, and
 * the tokens that count for an event. The cost is the prompt, once, and the events that were
 * delivered. It is 0 where the caller was given no part of an answer, whether or not an endpoint
 * worked on the request: docs/design/gateway-routing.md#what-a-request-costs.
 *
 * If a request counted at the maximum that was reserved for it, its budget would refuse requests
 * that it could cover.
 */

import type { TokenCount } from '@rackwalk/shared'

/** The part of the answer that the caller was given. */
export interface DeliveredAnswer {
  /** Whether the caller was given any part of an endpoint's answer. */
  readonly hasDelivered: boolean
  /** Number of whole events of all attempts. */
  readonly events: number
  /** Whether the last answer was complete. */
  readonly isWhole: boolean
}

/** Tokens that a request declares and that were reserved for it. */
export interface RequestTokens {
  readonly prompt: TokenCount
  readonly maximumOutput: TokenCount
}

/**
 * Events of an interrupted answer that may have been delivered without the instance knowing: one on
 * its way and one being written.
 */
const UNCONFIRMED_EVENTS = 2

/** Returns the tokens that a request has cost its team; at most those reserved for it. */
export function settledCost(
  answer: DeliveredAnswer,
  tokens: RequestTokens,
  tokensPerEvent: TokenCount,
): TokenCount {
  if (!answer.hasDelivered) return 0
  const events = answer.events + (answer.isWhole ? 0 : UNCONFIRMED_EVENTS)
  return tokens.prompt + Math.min(tokens.maximumOutput, events * tokensPerEvent)
}
