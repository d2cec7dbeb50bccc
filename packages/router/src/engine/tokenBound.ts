/**
 * How many tokens can a prompt have, and how many has it probably? The bound is what a budget reserves and
 * is never exceeded; the estimate serves routing alone.
 */

import type { TokenCount } from '@rackwalk/shared'

/** Tokens that a chat template may add around one message. */
const TEMPLATE_TOKENS_PER_MESSAGE = 16
/** Tokens that a chat template may add once. */
const TEMPLATE_TOKENS = 64
/** Bytes of ordinary text in a token; for estimates only, never for a bound. */
const TYPICAL_BYTES_PER_TOKEN = 4

/**
 * A true upper bound of a prompt's tokens: byte-level vocabularies never make more tokens
 * than there are bytes, and the template's part is bounded by the messages.
 */
export function promptTokenBound(promptBytes: number, messages: number): TokenCount {
  return promptBytes + messages * TEMPLATE_TOKENS_PER_MESSAGE + TEMPLATE_TOKENS
}

/** What a prompt probably has, for routing. */
export function promptTokenEstimate(promptBytes: number): TokenCount {
  return Math.ceil(promptBytes / TYPICAL_BYTES_PER_TOKEN)
}
