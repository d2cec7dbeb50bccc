/**
 * What has a request of the gateway kind cost its team?
 *
 * The prompt, once, and the events that were handed out; nothing where the caller was given no part
 * of an answer, whether or not an endpoint worked on it: docs/design/gateway-routing.md#what-a-request-costs.
 */

import type { TokenCount } from '@rackwalk/shared'

/** What the caller was given. */
export interface DeliveredAnswer {
  /** Whether the caller was given any part of an endpoint's answer. */
  readonly hasDelivered: boolean
  /** Whole events of all attempts. */
  readonly events: number
  /** Whether the last answer came to its own end. */
  readonly isWhole: boolean
}

/** Tokens that a request names for itself, and that were reserved for it. */
export interface RequestTokens {
  readonly prompt: TokenCount
  readonly maximumOutput: TokenCount
}

/**
 * Events of an answer that broke off and may have been handed out unseen: one on its way and one
 * being written.
 */
const IN_FLIGHT_EVENTS = 2

/** Tokens that a request has cost its team; at most what was reserved for it. */
export function settledCost(
  answer: DeliveredAnswer,
  tokens: RequestTokens,
  tokensPerEvent: TokenCount,
): TokenCount {
  if (!answer.hasDelivered) return 0
  const events = answer.events + (answer.isWhole ? 0 : IN_FLIGHT_EVENTS)
  return tokens.prompt + Math.min(tokens.maximumOutput, events * tokensPerEvent)
}
