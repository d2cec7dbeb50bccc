/**
 * What a caller has of a streamed chat, kept so that another engine can go on after it. Events are kept as they are and read
 * some at a time, since reading each as it passes would cost more than passing it on. The memory is bounded: an answer for
 * which there is no room is not kept, and so not continued.
 */

import * as z from 'zod'
import type { SoftwareVersion, TokenCount } from '@rackwalk/shared'
import type { AnswerBufferPool } from './answerBuffer.js'
import type { ReportedUsage } from './usage.js'

/** Events of more bytes than this are read together. */
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

/** What all chunks of one answer have in common. */
export type ChunkMetadata = Readonly<Record<string, unknown>>

const HEAD_FIELDS = ['id', 'object', 'created', 'model', 'system_fingerprint'] as const

/** The fields that say which answer a chunk belongs to. */
export function chunkMetadataOf(chunk: Readonly<Record<string, unknown>>): ChunkMetadata {
  return Object.fromEntries(
    HEAD_FIELDS.filter(field => chunk[field] !== undefined).map(field => [field, chunk[field]]),
  )
}

/** A chunk of the answer as an object; undefined for anything else. */
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

/** A chunk as an event. */
export function chunkEvent(chunk: Readonly<Record<string, unknown>>): Buffer {
  return Buffer.from(`${DATA}${JSON.stringify(chunk)}\n\n`)
}

/** What a caller has of one answer. */
export class DeliveredChat {
  private unread: Buffer[] = []
  private bytes = 0
  private unreadBytes = 0
  private readonly texts: string[] = []
  private isPlain = true
  private firstHead: ChunkMetadata | undefined
  private newestUsage: ReportedUsage | undefined
  private hasFinish = false

  constructor(
    private readonly space: AnswerBufferPool,
    /** Of the engine that began the answer, as it was stated then. */
    readonly softwareVersion: SoftwareVersion,
  ) {}

  /** An event is passed on. */
  append(event: Buffer): void {
    if (!this.isPlain) return
    if (!this.space.reserve(event.length)) return this.giveUp()
    this.bytes += event.length
    this.unreadBytes += event.length
    // The memory of an event is that of all the chunk it came in.
    this.unread.push(Buffer.from(event))
    if (this.unreadBytes > PARSE_BATCH_BYTES) this.read()
  }

  /** Whether all that the caller has is known, and is plain text. */
  get isReconstructible(): boolean {
    this.read()
    return this.isPlain
  }

  get text(): string {
    this.read()
    return this.texts.join('')
  }

  get head(): ChunkMetadata {
    return this.firstHead ?? {}
  }

  /** Whether the engine said why it generates no more. */
  get isFinished(): boolean {
    return this.hasFinish
  }

  /** Tokens of the newest chunk that reports them. */
  get usage(): ReportedUsage | undefined {
    return this.newestUsage
  }

  /** Gives its memory back; again has no effect. */
  release(): void {
    this.isPlain = false
    this.space.release(this.bytes)
    this.bytes = 0
    this.unreadBytes = 0
    this.unread = []
    this.texts.length = 0
  }

  private giveUp(): void {
    this.release()
  }

  private read(): void {
    const length = this.texts.length
    for (const event of this.unread.splice(0)) this.readEvent(event.toString('utf8'))
    this.texts.splice(length, this.texts.length, this.texts.slice(length).join(''))
    const added = Buffer.byteLength(this.texts.at(-1) ?? '')
    const freed = Math.max(0, this.unreadBytes - added)
    if (this.unreadBytes === 0) return
    this.bytes -= freed
    this.space.release(freed)
    this.unreadBytes = 0
  }

  private readEvent(event: string): void {
    // A comment keeps the connection open and says nothing.
    if (event.startsWith(':')) return
    const parsed = chunkSchema.safeParse(parseChunk(event))
    if (parsed.success) this.readChunk(parsed.data)
    else this.isPlain = false
  }

  private readChunk(chunk: Chunk): void {
    this.firstHead ??= chunkMetadataOf(chunk)
    const { usage } = chunk
    const [choice] = chunk.choices
    if (usage) this.newestUsage = usageOf(usage)
    else if (choice !== undefined) this.newestUsage = undefined
    if (choice === undefined) return
    this.hasFinish ||= typeof choice.finish_reason === 'string'
    for (const [field, value] of Object.entries(choice.delta ?? {})) this.readDelta(field, value)
  }

  private readDelta(field: string, value: unknown): void {
    if (value === null || value === undefined || field === 'role') return
    if (field === 'content' && typeof value === 'string') this.texts.push(value)
    else this.isPlain = false
  }
}

function usageOf(usage: {
  readonly prompt_tokens: TokenCount
  readonly completion_tokens: TokenCount
}): ReportedUsage {
  return { promptTokens: usage.prompt_tokens, generatedTokens: usage.completion_tokens }
}
