/**
 * Bound and estimate of a prompt's token count. Budgets reserve the bound, which is never exceeded;
 * only routing uses the estimate.
 */

import type { TokenCount } from '@rackwalk/shared'

/** Tokens that a chat template may add per message. */
const TEMPLATE_TOKENS_PER_MESSAGE = 16
/** Tokens that a chat template may add once per prompt. */
const TEMPLATE_TOKENS = 64
/** Bytes per token of ordinary text. For estimates only, never for a bound. */
const TYPICAL_BYTES_PER_TOKEN = 4

/**
 * Returns an upper bound of a prompt's tokens. Byte-level vocabularies never produce more tokens
 * than bytes, and the part of the template is bounded by the number of messages.
 */
export function promptTokenBound(promptBytes: number, messages: number): TokenCount {
  return promptBytes + messages * TEMPLATE_TOKENS_PER_MESSAGE + TEMPLATE_TOKENS
}

/** Returns the probable number of tokens in a prompt, for routing. */
export function promptTokenEstimate(promptBytes: number): TokenCount {
  return Math.ceil(promptBytes / TYPICAL_BYTES_PER_TOKEN)
}
