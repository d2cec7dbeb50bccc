/**
 * Does another engine go on with a chat's answer that was cut after its first pieces?
 *
 * Load pattern: an engine ends under the streams that it has begun. Their callers have the first words, so nothing can be run
 * from the beginning; an engine that continues the last message of a chat can go on after them. It must be known what the caller
 * has and what it cost: the rest of the limit is asked for, and prompt and both parts stay within what is reserved.
 *
 * A chat may end engines after some of its tokens, so it is continued once at the most.
 */

import type { TokenCount } from '@rackwalk/shared'

/** An answer that was cut. */
export interface InterruptedAnswer {
  /** Whether the request may run twice, and is of a form that can be continued. */
  readonly isContinuable: boolean
  /** Whether all that its caller has is known here, and is plain text. */
  readonly isFullyKnown: boolean
  /** Whether its engine said that the text is whole. */
  readonly isFinished: boolean
  /** Tokens that were reported with the newest piece; undefined where none were. */
  readonly generatedTokens: TokenCount | undefined
  readonly outputTokenLimit: TokenCount
  /** How often it was continued. */
  readonly continuations: number
  /** Whether nobody waits for it, or this instance can pass nothing on. */
  readonly isAbandoned: boolean
}

/** What is done about it. */
export type ContinuationStep =
  | { readonly kind: 'cut' }
  /** Nothing is missing but its closing events; the reason is to be told where the engine did not. */
  | { readonly kind: 'close'; readonly finishReason: 'length' | undefined }
  | { readonly kind: 'continue'; readonly outputTokens: TokenCount }

const MAXIMUM_CONTINUATIONS = 1

/** What becomes of an answer that was cut. */
export function continuationStep(cut: InterruptedAnswer): ContinuationStep {
  const { generatedTokens, outputTokenLimit } = cut
  const mayGoOn = cut.isContinuable && cut.isFullyKnown && !cut.isAbandoned
  if (!mayGoOn || generatedTokens === undefined) return { kind: 'cut' }
  if (cut.continuations >= MAXIMUM_CONTINUATIONS) return { kind: 'cut' }
  if (cut.isFinished) return { kind: 'close', finishReason: undefined }
  const outputTokens = outputTokenLimit - generatedTokens
  return outputTokens > 0
    ? { kind: 'continue', outputTokens }
    : { kind: 'close', finishReason: 'length' }
}

/** What both runs cost their caller: the prompt once, and no more generated than was asked for. */
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
