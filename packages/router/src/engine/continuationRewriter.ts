/**
 * Makes the events of an engine that goes on with another one's answer a part of that answer: its ids, and usage of both
 * runs. The first piece is marked, so that the caller sees where the text was joined.
 */

import { continuedUsage } from '@rackwalk/decisions'
import type { TokenCount } from '@rackwalk/shared'
import { chunkEvent, chunkMetadataOf, parseChunk } from './deliveredChat.js'
import type { ChunkMetadata } from './deliveredChat.js'
import type { ReportedUsage } from './usage.js'

/** What the caller has of the answer. */
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

/** In the first piece after the join. */
const CONTINUED_MARKER = { rackwalk: { continued: true } }

/** The events of one continuation. */
export class ContinuationRewriter {
  private pieces = 0

  constructor(private readonly first: DeliveredPrefix) {}

  /** Whether any piece of the text has come from the second engine. */
  get hasBegun(): boolean {
    return this.pieces > 0
  }

  /** The event as the caller gets it; undefined for one that opens an answer. */
  rewrite(event: Buffer): Buffer | undefined {
    const chunk = parseChunk(event.toString('utf8'))
    const choices = chunk?.['choices']
    if (chunk === undefined || !Array.isArray(choices)) return event
    const rewritten = this.withUsage({ ...withoutHead(chunk), ...this.first.head })
    const [choice] = choices as readonly Choice[]
    if (choice === undefined) return chunkEvent(rewritten)
    if (!this.hasBegun && isOpening(choice)) return undefined
    this.pieces += 1
    const mark = this.pieces === 1 ? CONTINUED_MARKER : {}
    return chunkEvent({ ...rewritten, choices: [withoutRole(choice)], ...mark })
  }

  /** Usage of both runs, by the tokens of the second one. */
  usage(generatedTokens = this.pieces): ReportedUsage {
    const { usage, outputTokenLimit } = this.first
    return continuedUsage(usage, generatedTokens, outputTokenLimit)
  }

  private withUsage(chunk: Chunk): Chunk {
    const reported = chunk['usage'] as { readonly completion_tokens?: unknown } | null | undefined
    const generated = reported?.completion_tokens
    return typeof generated === 'number'
      ? { ...chunk, usage: usageDocument(this.usage(generated)) }
      : chunk
  }
}

/** The report of usage as engines spell it. */
function usageDocument({ promptTokens, generatedTokens }: ReportedUsage) {
  return {
    prompt_tokens: promptTokens,
    completion_tokens: generatedTokens,
    total_tokens: promptTokens + generatedTokens,
  }
}

/** Events that close an answer of which all text is there. */
export function closingEvents({ head, usage }: DeliveredPrefix, finishReason: string | undefined) {
  const document = usageDocument(usage)
  const choice = { index: 0, delta: {}, finish_reason: finishReason }
  return {
    finish: finishReason && chunkEvent({ ...head, choices: [choice], usage: document }),
    usage: chunkEvent({ ...head, choices: [], usage: document }),
    done: Buffer.from('data: [DONE]\n\n'),
  }
}

function withoutHead(chunk: Chunk): Chunk {
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

/** Whether a chunk only says who speaks. */
function isOpening({ delta = {}, finish_reason }: Choice): boolean {
  if (typeof finish_reason === 'string') return false
  return Object.entries(delta).every(
    ([field, value]) => field === 'role' || value === null || value === '',
  )
}
