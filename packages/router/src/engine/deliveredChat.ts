/**
 * Records what a caller has received of a streamed chat, so that another engine can continue it.
 * Events are stored as they are and parsed in batches, since parsing each one as it passes would
 * cost more than delivering it. The memory is bounded: an answer for which there is no room is not
 * recorded and therefore not continued.
 */

import * as z from 'zod'
import type { SoftwareVersion, TokenCount } from '@rackwalk/shared'
import type { AnswerBufferPool } from './answerBuffer.js'
import type { ReportedUsage } from './usage.js'

/** Unparsed events are parsed together once they exceed this size. */
const PARSE_BATCH_BYTES = 16 * 1024
const DATA = 'data: '

const choiceSchema = z.looseObject({
  index: z.literal(0),
  delta: z.record(z.string(), z.unknown()).optional(),
  finish_reason: z.string().nullish(),
  logprobs: z.null().optional(),
})

const chunkSchema = z.looseObject({
  choices: z.array(choiceSchema).max(1),
  usage: z.looseObject({ prompt_tokens: z.number(), completion_tokens: z.number() }).nullish(),
})

type Chunk = z.infer<typeof chunkSchema>

/** The fields that all chunks of one answer share. */
export type ChunkMetadata = Readonly<Record<string, unknown>>

const HEAD_FIELDS = ['id', 'object', 'created', 'model', 'system_fingerprint'] as const

/** Returns the fields that identify the answer that a chunk belongs to. */
export function chunkMetadataOf(chunk: Readonly<Record<string, unknown>>): ChunkMetadata {
  return Object.fromEntries(
    HEAD_FIELDS.filter(field => chunk[field] !== undefined).map(field => [field, chunk[field]]),
  )
}

/** Parses a chunk of the answer as an object; undefined for any other event. */
export function parseChunk(event: string): Record<string, unknown> | undefined {
  if (!event.startsWith(DATA)) return undefined
  try {
    const document: unknown = JSON.parse(event.slice(DATA.length))
    return typeof document === 'object' && document !== null
      ? (document as Record<string, unknown>)
      : undefined
  } catch {
    return undefined
  }
}

/** Formats a chunk as an event. */
export function chunkEvent(chunk: Readonly<Record<string, unknown>>): Buffer {
  return Buffer.from(`${DATA}${JSON.stringify(chunk)}\n\n`)
}

/** The part of one answer that its caller has received. */
export class DeliveredChat {
  private unparsed: Buffer[] = []
  private bytes = 0
  private unparsedBytes = 0
  private readonly texts: string[] = []
  private isPlainText = true
  private firstHead: ChunkMetadata | undefined
  private newestUsage: ReportedUsage | undefined
  private hasFinish = false

  constructor(
    private readonly pool: AnswerBufferPool,
    /** Version of the engine that began the answer, as configured at that time. */
    readonly softwareVersion: SoftwareVersion,
  ) {}

  /** Records a delivered event. */
  append(event: Buffer): void {
    if (!this.isPlainText) return
    if (!this.pool.reserve(event.length)) return this.giveUp()
    this.bytes += event.length
    this.unparsedBytes += event.length
    // Copied, because the slice would keep the whole network chunk in memory.
    this.unparsed.push(Buffer.from(event))
    if (this.unparsedBytes > PARSE_BATCH_BYTES) this.parsePending()
  }

  /** Whether everything that the caller has is recorded and is plain text. */
  get isReconstructible(): boolean {
    this.parsePending()
    return this.isPlainText
  }

  get text(): string {
    this.parsePending()
    return this.texts.join('')
  }

  get head(): ChunkMetadata {
    return this.firstHead ?? {}
  }

  /** Whether the engine sent a finish reason. */
  get isFinished(): boolean {
    return this.hasFinish
  }

  /** The usage that the latest chunk reports; undefined if it reports none. */
  get usage(): ReportedUsage | undefined {
    return this.newestUsage
  }

  /** Releases the memory. Further calls have no effect. */
  release(): void {
    this.isPlainText = false
    this.pool.release(this.bytes)
    this.bytes = 0
    this.unparsedBytes = 0
    this.unparsed = []
    this.texts.length = 0
  }

  private giveUp(): void {
    this.release()
  }

  private parsePending(): void {
    const length = this.texts.length
    for (const event of this.unparsed.splice(0)) this.parseEvent(event.toString('utf8'))
    this.texts.splice(length, this.texts.length, this.texts.slice(length).join(''))
    const added = Buffer.byteLength(this.texts.at(-1) ?? '')
    const freed = Math.max(0, this.unparsedBytes - added)
    if (this.unparsedBytes === 0) return
    this.bytes -= freed
    this.pool.release(freed)
    this.unparsedBytes = 0
  }

  private parseEvent(event: string): void {
    // A comment only keeps the connection open.
    if (event.startsWith(':')) return
    const parsed = chunkSchema.safeParse(parseChunk(event))
    if (parsed.success) this.applyChunk(parsed.data)
    else this.isPlainText = false
  }

  private applyChunk(chunk: Chunk): void {
    this.firstHead ??= chunkMetadataOf(chunk)
    const { usage } = chunk
    const [choice] = chunk.choices
    if (usage) this.newestUsage = usageOf(usage)
    else if (choice !== undefined) this.newestUsage = undefined
    if (choice === undefined) return
    this.hasFinish ||= typeof choice.finish_reason === 'string'
    for (const [field, value] of Object.entries(choice.delta ?? {})) this.applyDelta(field, value)
  }

  private applyDelta(field: string, value: unknown): void {
    if (value === null || value === undefined || field === 'role') return
    if (field === 'content' && typeof value === 'string') this.texts.push(value)
    else this.isPlainText = false
  }
}

function usageOf(usage: {
  readonly prompt_tokens: TokenCount
  readonly completion_tokens: TokenCount
}): ReportedUsage {
  return { promptTokens: usage.prompt_tokens, generatedTokens: usage.completion_tokens }
}
