/**
 * Rewrites the events of an engine that continues another engine's answer, so that the caller gets
 * one consistent stream: the events get the id and the other common fields of the first engine's
 * answer, and their usage reports cover both runs. The first chunk with output is marked, so that
 * the caller can see where the continuation begins. The output of an engine that turns out to run
 * other software than the first one is rejected.
 */

import { areJoinable, continuedUsage } from '@rackwalk/decisions'
import type { TokenCount } from '@rackwalk/shared'
import { chunkEvent, chunkMetadataOf, fingerprintOf, parseChunk } from './deliveredChat.js'
import type { ChunkMetadata } from './deliveredChat.js'
import type { ReportedUsage } from './usage.js'

/** The part of the answer that the caller already has. */
export interface DeliveredPrefix {
  readonly head: ChunkMetadata
  readonly usage: ReportedUsage
  readonly outputTokenLimit: TokenCount
}

interface Choice {
  readonly delta?: Readonly<Record<string, unknown>>
  readonly finish_reason?: string | null
}

type Chunk = Record<string, unknown>

/** Field that is added to the first chunk of the continuation. */
const CONTINUED_MARKER = { rackwalk: { continued: true } }

/** The continuing engine states another fingerprint than the engine that began the answer. */
export class FingerprintMismatchError extends Error {
  readonly code = 'FINGERPRINT_MISMATCH'

  constructor() {
    super('the continuing engine runs other software')
  }
}

/** Rewrites the events of one continuation. */
export class ContinuationRewriter {
  private outputChunks = 0
  private isRejected = false

  constructor(private readonly prefix: DeliveredPrefix) {}

  /** Whether any output of the second engine has arrived, be it output that was rejected. */
  get hasBegun(): boolean {
    return this.outputChunks > 0 || this.isRejected
  }

  /**
   * Returns the event for the caller; undefined for a chunk that only opens an answer, which the
   * caller already has. An event that is no chunk is returned unchanged. Throws a
   * `FingerprintMismatchError` from the first chunk of another software on, so that no later event,
   * such as the end marker, makes the answer look complete.
   */
  rewrite(event: Buffer): Buffer | undefined {
    const chunk = parseChunk(event.toString('utf8'))
    this.checkFingerprint(chunk)
    const choices = chunk?.['choices']
    if (chunk === undefined || !Array.isArray(choices)) return event
    const rewritten = this.withUsage({ ...withoutMetadata(chunk), ...this.prefix.head })
    const [choice] = choices as readonly Choice[]
    if (choice === undefined) return chunkEvent(rewritten)
    if (!this.hasBegun && isOpening(choice)) return undefined
    this.outputChunks += 1
    const mark = this.outputChunks === 1 ? CONTINUED_MARKER : {}
    return chunkEvent({ ...rewritten, choices: [withoutRole(choice)], ...mark })
  }

  /**
   * Returns the usage of both runs, given the number of tokens that the second run generated; by
   * default, each chunk with output counts as one token.
   */
  usage(generatedTokens = this.outputChunks): ReportedUsage {
    const { usage, outputTokenLimit } = this.prefix
    return continuedUsage(usage, generatedTokens, outputTokenLimit)
  }

  private checkFingerprint(chunk: Chunk = {}): void {
    this.isRejected ||= !areJoinable(fingerprintOf(this.prefix.head), fingerprintOf(chunk))
    if (this.isRejected) throw new FingerprintMismatchError()
  }

  private withUsage(chunk: Chunk): Chunk {
    const reported = chunk['usage'] as { readonly completion_tokens?: unknown } | null | undefined
    const generated = reported?.completion_tokens
    return typeof generated === 'number'
      ? { ...chunk, usage: usageDocument(this.usage(generated)) }
      : chunk
  }
}

/** Returns a usage report in the engines' format. */
function usageDocument({ promptTokens, generatedTokens }: ReportedUsage) {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: generatedTokens,
    total_tokens: promptTokens + generatedTokens,
  }
}

/**
 * Returns the closing events of an answer whose text is complete. The `finish` event is only
 * present if a finish reason is given.
 */
export function closingEvents({ head, usage }: DeliveredPrefix, finishReason: string | undefined) {
  const document = usageDocument(usage)
  const choice = { index: 0, delta: {}, finish_reason: finishReason }
  return {
    finish: finishReason && chunkEvent({ ...head, choices: [choice], usage: document }),
    usage: chunkEvent({ ...head, choices: [], usage: document }),
    done: Buffer.from('data: [DONE]\n\n'),
  }
}

function withoutMetadata(chunk: Chunk): Chunk {
  const own = chunkMetadataOf(chunk)
  return Object.fromEntries(Object.entries(chunk).filter(([field]) => !(field in own)))
}

function withoutRole({ delta, ...choice }: Choice): Choice {
  if (delta === undefined) return choice
  return { ...choice, delta: Object.fromEntries(Object.entries(delta).filter(isNoRole)) }
}

function isNoRole([field]: readonly [string, unknown]): boolean {
  return field !== 'role'
}

/** Whether a chunk contains neither output nor a finish reason, but at most the role. */
function isOpening({ delta = {}, finish_reason }: Choice): boolean {
  if (typeof finish_reason === 'string') return false
  return Object.entries(delta).every(
    ([field, value]) => field === 'role' || value === null || value === '',
  )
}
