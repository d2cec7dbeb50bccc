/**
 * Upper bound and estimate of a prompt's number of tokens. Budgets reserve the bound, so that no
 * prompt costs more than was reserved; routing and queueing use the estimate.
 */

import type { TokenCount } from '@rackwalk/shared'

/** Maximum number of tokens that a chat template adds per message. */
const TEMPLATE_TOKENS_PER_MESSAGE = 16
/** Maximum number of tokens that a chat template adds once per prompt. */
const TEMPLATE_TOKENS = 64
/**
 * Average number of bytes per token of ordinary text. Used for estimates only, not for the bound.
 */
const TYPICAL_BYTES_PER_TOKEN = 4

/**
 * Returns an upper bound of a prompt's number of tokens. Byte-level vocabularies never produce more
 * tokens than bytes, and the number of messages bounds the tokens that the chat template adds.
 */
export function promptTokenBound(promptBytes: number, messages: number): TokenCount {
  return promptBytes + messages * TEMPLATE_TOKENS_PER_MESSAGE + TEMPLATE_TOKENS
}

/** Returns the probable number of tokens in a prompt, for routing. */
export function promptTokenEstimate(promptBytes: number): TokenCount {
  return Math.ceil(promptBytes / TYPICAL_BYTES_PER_TOKEN)
}
