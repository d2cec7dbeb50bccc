/**
 * Decides what becomes of a chat's streamed answer that was interrupted: another engine continues the text, this instance
 * adds only the missing closing events, or the caller's stream ends incomplete. Also decides what the caller pays for both
 * runs.
 *
 * Load pattern: an engine terminates while it streams answers. The callers already have the beginning, so their
 * requests cannot run again from the start. But an engine that can continue the last message of a chat can go on after
 * that text. Without continuation every such stream would end incomplete.
 *
 * Inputs: what is known of the text that the caller has received, the tokens that the text cost, and the request's output
 * token limit, all counts in tokens. They must be known exactly: the second run is given the rest of the limit, so that
 * the prompt and both parts of the answer stay within the reserved tokens. An answer whose text or token count is unknown
 * is not continued.
 *
 * The configured software version of an engine may be out of date: an engine that was restarted at its address with other
 * software is listed with the earlier version until the operator changes its resource. What an engine states of itself in
 * its answers (OpenAI's `system_fingerprint`) is current, so a continuation whose engine states another fingerprint than
 * the engine that began is not joined. A fingerprint that only one of them states proves nothing.
 *
 * Limits: a chat may crash engines after some of its tokens, so its answer is continued at most once. An answer that is
 * interrupted again after its continuation ends incomplete, even if only its closing events are missing.
 */

import type { TokenCount } from '@rackwalk/shared'

/** A chat's answer that was interrupted, with what this instance knows about the answer. */
export interface InterruptedAnswer {
  /** Whether the request may run twice and has a form that an engine can continue. */
  readonly isContinuable: boolean
  /** Whether this instance knows everything that the caller has received, and all of it is plain text. */
  readonly isFullyKnown: boolean
  /** Whether the engine reported that the text is complete, so that only the closing events are missing. */
  readonly isFinished: boolean
  /** Number of generated tokens, as reported with the newest part, or undefined if the engine reported none. */
  readonly generatedTokens: TokenCount | undefined
  /** Maximum number of generated tokens of the whole answer. */
  readonly outputTokenLimit: TokenCount
  /** Number of times that the answer has been continued so far. */
  readonly continuations: number
  /** Whether the caller has disconnected, the deadline has passed, or this instance itself ended the answer. */
  readonly isAbandoned: boolean
}

/** What to do with an interrupted answer. */
export type ContinuationStep =
  /** The caller's stream ends incomplete. */
  | { readonly kind: 'cut' }
  /**
   * This instance adds the closing events. `finishReason` is `'length'` if the output token limit is used up, and undefined
   * if the engine has already reported a finish reason.
   */
  | { readonly kind: 'close'; readonly finishReason: 'length' | undefined }
  /** Another engine continues the text with at most `outputTokens` tokens. */
  | { readonly kind: 'continue'; readonly outputTokens: TokenCount }

/** Maximum number of continuations of one answer; the reason is in the module head. */
const MAXIMUM_CONTINUATIONS = 1

/** Returns what to do with an interrupted answer. */
export function continuationStep(answer: InterruptedAnswer): ContinuationStep {
  const { generatedTokens, outputTokenLimit } = answer
  const mayContinue = answer.isContinuable && answer.isFullyKnown && !answer.isAbandoned
  if (!mayContinue || generatedTokens === undefined) return { kind: 'cut' }
  if (answer.continuations >= MAXIMUM_CONTINUATIONS) return { kind: 'cut' }
  if (answer.isFinished) return { kind: 'close', finishReason: undefined }
  const outputTokens = outputTokenLimit - generatedTokens
  return outputTokens > 0
    ? { kind: 'continue', outputTokens }
    : { kind: 'close', finishReason: 'length' }
}

/**
 * Whether the output of two runs may be joined, by the fingerprint that the engine of each run states of itself; undefined if
 * it states none.
 */
export function areJoinable(first: string | undefined, second: string | undefined): boolean {
  return first === undefined || second === undefined || first === second
}

/**
 * Returns the tokens that both runs cost the caller: the prompt of the first run, and the generated tokens of both runs, at
 * most `outputTokenLimit`.
 */
export function continuedUsage(
  first: { readonly promptTokens: TokenCount; readonly generatedTokens: TokenCount },
  secondGenerated: TokenCount,
  outputTokenLimit: TokenCount,
) {
  const generated = first.generatedTokens + secondGenerated
  return {
    promptTokens: first.promptTokens,
    generatedTokens: Math.min(outputTokenLimit, generated),
  }
}
