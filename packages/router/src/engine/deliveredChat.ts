/**
 * Records what a caller has received of the answer to a streamed chat, so that another engine can
 * continue the answer. Events are stored unparsed and parsed in batches, since parsing each event
 * at once would cost more than delivering it. The memory is bounded: the record of an answer for
 * which there is no room is dropped, and the answer is then not continued.
 */

import * as z from 'zod'
import type { SoftwareVersion, TokenCount } from '@rackwalk/shared'
import type { AnswerBufferPool } from './answerBuffer.js'
import type { ReportedUsage } from './usage.js'

/** Size in bytes above which the unparsed events are parsed. */
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

const METADATA_FIELDS = ['id', 'object', 'created', 'model', 'system_fingerprint'] as const

/** Returns the fields that identify the answer that a chunk belongs to. */
export function chunkMetadataOf(chunk: Readonly<Record<string, unknown>>): ChunkMetadata {
  return Object.fromEntries(
    METADATA_FIELDS.filter(field => chunk[field] !== undefined).map(field => [field, chunk[field]]),
  )
}

/** Returns the fingerprint that an engine states of its software; undefined if it states none. */
export function fingerprintOf({ system_fingerprint: stated }: ChunkMetadata): string | undefined {
  return typeof stated === 'string' && stated !== '' ? stated : undefined
}

/** Parses an event of the answer as a chunk; undefined if the event holds no JSON object. */
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

/**
 * The part of one answer that its caller has received. The events appended since the latest batch
 * count for `head`, `usage` and `isFinished` only after `isReconstructible` or `text` was read.
 */
export class DeliveredChat {
  private unparsed: Buffer[] = []
  private bytes = 0
  private unparsedBytes = 0
  private readonly texts: string[] = []
  /** Whether all recorded output is plain text; false after the record was released or dropped. */
  private isPlainText = true
  private firstMetadata: ChunkMetadata | undefined
  private newestUsage: ReportedUsage | undefined
  private hasFinishReason = false

  constructor(
    private readonly pool: AnswerBufferPool,
    /** Version of the engine that began the answer, as configured at that time. */
    readonly softwareVersion: SoftwareVersion,
  ) {}

  /** Records a delivered event. If there is no memory for the event, drops the whole record. */
  append(event: Buffer): void {
    if (!this.isPlainText) return
    if (!this.pool.reserve(event.length)) return this.dropRecord()
    this.bytes += event.length
    this.unparsedBytes += event.length
    // The event is copied, because a slice would keep the whole network chunk in memory.
    this.unparsed.push(Buffer.from(event))
    if (this.unparsedBytes > PARSE_BATCH_BYTES) this.parsePending()
  }

  /** Whether all that the caller has received is recorded and is plain text. */
  get isReconstructible(): boolean {
    this.parsePending()
    return this.isPlainText
  }

  get text(): string {
    this.parsePending()
    return this.texts.join('')
  }

  get head(): ChunkMetadata {
    return this.firstMetadata ?? {}
  }

  /** Whether the engine sent a finish reason. */
  get isFinished(): boolean {
    return this.hasFinishReason
  }

  /**
   * The usage that the latest chunk reports; undefined if that chunk has a choice and reports none.
   * Chunks with neither a choice nor a usage are ignored.
   */
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

  private dropRecord(): void {
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
    // A comment has no content; engines send comments to keep the connection open.
    if (event.startsWith(':')) return
    const parsed = chunkSchema.safeParse(parseChunk(event))
    if (parsed.success) this.applyChunk(parsed.data)
    else this.isPlainText = false
  }

  private applyChunk(chunk: Chunk): void {
    this.firstMetadata ??= chunkMetadataOf(chunk)
    const { usage } = chunk
    const [choice] = chunk.choices
    if (usage) this.newestUsage = usageOf(usage)
    else if (choice !== undefined) this.newestUsage = undefined
    if (choice === undefined) return
    this.hasFinishReason ||= typeof choice.finish_reason === 'string'
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
