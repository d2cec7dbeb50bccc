/**
 * Decides whether another engine continues a chat's answer that was interrupted after its first parts.
 *
 * Load pattern: an engine terminates while it streams answers. The callers already have the beginning, so their
 * requests cannot run again from the start. But an engine that can continue the last message of a chat can go on after
 * that text. Without continuation every such stream would be cut.
 *
 * Inputs: what the caller has received, the tokens that it cost, and the request's output token limit, all in tokens.
 * They must be known exactly: the second run is given the rest of the limit, so that the prompt and both parts of the
 * answer stay within the reserved tokens.
 *
 * Limits: a chat may crash engines after some of its tokens, so it is continued at most once.
 */

import type { TokenCount } from '@rackwalk/shared'

/** An answer that was interrupted. */
export interface InterruptedAnswer {
  /** Whether the request may run twice and has a form that can be continued. */
  readonly isContinuable: boolean
  /** Whether this instance knows everything that the caller has received, and all of it is plain text. */
  readonly isFullyKnown: boolean
  /** Whether the engine reported that the text is complete. */
  readonly isFinished: boolean
  /** Tokens reported with the newest part, or undefined if none were reported. */
  readonly generatedTokens: TokenCount | undefined
  readonly outputTokenLimit: TokenCount
  /** How often the answer has been continued so far. */
  readonly continuations: number
  /** Whether no caller waits for the answer any more, or this instance cannot deliver the rest. */
  readonly isAbandoned: boolean
}

/** What to do with an interrupted answer. */
export type ContinuationStep =
  | { readonly kind: 'cut' }
  /** Only the closing events are missing. `finishReason` is what to report if the engine reported none. */
  | { readonly kind: 'close'; readonly finishReason: 'length' | undefined }
  | { readonly kind: 'continue'; readonly outputTokens: TokenCount }

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

/** Returns what both runs cost the caller: the prompt once, and at most the requested number of generated tokens. */
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
