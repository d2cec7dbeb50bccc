/**
 * A model engine for tests: times, caches and refuses as one would. Its shapes are this project's own; no
 * real engine is met here.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import * as z from 'zod'
import { PREFIX_BLOCK_TOKENS, prefixHashes, promptTokenEstimate } from '@rackwalk/router'
import type { CacheEvent } from '@rackwalk/router'
import { LocalServer } from '../localServer.js'
import { PrefixCache } from './prefixCache.js'

/** How an engine behaves. */
export interface EngineOptions {
  readonly models: readonly string[]
  /** Requests generated for at the same time. */
  readonly slots: number
  /** Time between two tokens of an answer. */
  readonly tokenMilliseconds: number
  readonly prefillTokensPerSecond: number
  /** Blocks of prompt text that the cache keeps. */
  readonly cacheBlocks: number
  /** Age of what a load report tells. */
  readonly reportLagMilliseconds: number
  /** Every so many cache events one is lost; 0 for none. */
  readonly eventGapEvery: number
  readonly defaultAnswerTokens: number
  readonly checksOrders: boolean
  /** Whether it goes on after the last message of a chat that says so; one that does not begins anew. */
  readonly continuesAnswers: boolean
}

/** What an API server or a sidecar does whose engine has ended. */
export type EngineFront = 'closes' | 'silent' | 'answers 500' | 'answers 503'

const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  models: ['assistant'],
  slots: 64,
  tokenMilliseconds: 5,
  prefillTokensPerSecond: 50_000,
  cacheBlocks: 2_000,
  reportLagMilliseconds: 200,
  eventGapEvery: 0,
  defaultAnswerTokens: 24,
  checksOrders: true,
  continuesAnswers: true,
}

/** Tokens of an answer that its caller has already; generation goes on after them. */
const RESUME_HEADER = 'x-resume-after'
const KEPT_EVENTS = 1_000

const bodySchema = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({})),
  tools: z.unknown().optional(),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: z.number().int().positive().nullish(),
  priority: z.number().default(0),
  continue_final_message: z.boolean().nullish(),
  /** What the stand-in is to answer; a field of its own that the router passes on. */
  stand_in: z
    .looseObject({ tokens: z.number().optional(), word: z.string().optional() })
    .optional(),
})

type ChatBody = z.infer<typeof bodySchema>

const orderSchema = z.looseObject({
  epoch: z.number().int(),
  action: z.enum(['load', 'unload']),
  model: z.string(),
  version: z.string(),
})

interface Job {
  readonly body: ChatBody
  readonly response: ServerResponse
  readonly promptTokens: number
  readonly answerTokens: number
  /** Prompt tokens still to be taken in. */
  prefillLeft: number
  sent: number
  /** Tokens of the answer that were there before. */
  readonly begun: number
}

interface Snapshot {
  readonly at: number
  readonly document: Record<string, unknown>
}

/**
 * Stands in for a model engine: continuous batching with a token rate, a prefix cache of
 * limited size, priorities, cancelling, reports that lag, cache events with gaps, and
 * fenced orders. It leaves, dies or stalls on command.
 */
export class EngineStandIn extends LocalServer {
  readonly options: EngineOptions
  private readonly cache: PrefixCache
  private readonly loaded = new Map<string, string>()
  private waiting: Job[] = []
  private running: Job[] = []
  private snapshots: Snapshot[] = []
  private events: CacheEvent[] = []
  private sequence = 0
  private lastEpoch = 0
  private leaving = false
  private stalled = false
  private timer: NodeJS.Timeout | undefined
  /** Requests that were taken, by the id that the router gave them. */
  readonly taken: string[] = []
  generatedTokens = 0
  cancelled = 0
  /** Ends as it begins to run a request whose answer would have this word, and is back after a while. */
  endsUnderWord: string | undefined
  /** The same of a chat that holds a message with this content. */
  endsUnderMessage: string | undefined
  /** Time from such an end to the next start under the same address. */
  backAfterMilliseconds = 1_500
  /** What goes on listening at its address when it has ended so; nothing where undefined. */
  front: EngineFront | undefined
  private isBehindFront = false
  /** How often it has ended so. */
  ends = 0
  private port = 0
  private revival: NodeJS.Timeout | undefined
  /** Headers of each answer to a chat, in which it says something of itself. */
  says: Readonly<Record<string, string>> = {}
  /** Times at which chats reached it. */
  readonly arrivals: number[] = []
  /** Turns each chat away unrun with this status; undefined where it takes them. */
  turnsAwayWith: number | undefined
  /** Breaks the connection off after so many tokens of each answer. */
  breakAfterTokens: number | undefined

  constructor(options: Partial<EngineOptions> = {}) {
    super()
    this.options = { ...DEFAULT_ENGINE_OPTIONS, ...options }
    this.cache = new PrefixCache(this.options.cacheBlocks)
    for (const model of this.options.models) this.loaded.set(model, '1')
  }

  override async listen(port = 0): Promise<number> {
    const bound = await super.listen(port)
    this.port = bound
    this.timer = setInterval(() => this.step(), this.options.tokenMilliseconds)
    return bound
  }

  /** Takes no new requests and says so; those in progress go on. */
  leave(): void {
    this.leaving = true
  }

  /** Stops sending tokens without closing anything. */
  stall(): void {
    this.stalled = true
  }

  resume(): void {
    this.stalled = false
  }

  /** Breaks off everything at once. */
  die(): void {
    clearInterval(this.timer)
    clearTimeout(this.revival)
    this.stop()
  }

  get inFlight(): number {
    return this.waiting.length + this.running.length
  }

  protected handle(request: IncomingMessage, raw: Buffer, response: ServerResponse): void {
    if (this.isBehindFront) return this.answerFront(response)
    const url = new URL(request.url ?? '/', 'http://engine')
    if (url.pathname === '/load') return answer(response, 200, this.laggedReport())
    if (url.pathname === '/cache-events') return this.answerEvents(url, response)
    const body: unknown = JSON.parse(raw.toString('utf8'))
    if (url.pathname === '/orders') return this.obey(body, response)
    if (url.pathname === '/v1/chat/completions') return this.chat(request, body, response)
    answer(response, 404, {})
  }

  private chat(request: IncomingMessage, document: unknown, response: ServerResponse): void {
    const body = bodySchema.parse(document)
    this.arrivals.push(Date.now())
    for (const [name, value] of Object.entries(this.says)) response.setHeader(name, value)
    if (this.turnsAwayWith !== undefined) return answer(response, this.turnsAwayWith, {})
    if (this.leaving) return answer(response, 503, {}, { 'x-endpoint-state': 'leaving' })
    if (!this.loaded.has(body.model)) return answer(response, 404, { error: 'not loaded' })
    this.taken.push(String(request.headers['x-request-id']))
    const prompt = Buffer.from(JSON.stringify([body.messages, body.tools ?? null]))
    const cachedTokens = this.lookUp(prompt)
    const promptTokens = promptTokenEstimate(prompt.length)
    const wished = body.stand_in?.tokens ?? this.options.defaultAnswerTokens
    const begun = this.wordsToContinue(body)
    const job: Job = {
      body,
      response,
      promptTokens,
      answerTokens: Math.min(wished, begun + (body.max_tokens ?? wished)),
      prefillLeft: Math.max(1, promptTokens - cachedTokens),
      sent: begun + Number(request.headers[RESUME_HEADER] ?? 0),
      begun,
    }
    response.once('close', () => this.forget(job))
    this.waiting.push(job)
    this.waiting.sort((left, right) => left.body.priority - right.body.priority)
  }

  /** Words of the last message where generation is to go on after them. */
  private wordsToContinue({ continue_final_message, messages }: ChatBody): number {
    const text = messages.at(-1)?.['content']
    const isToGoOn = this.options.continuesAnswers && continue_final_message === true
    if (!isToGoOn || typeof text !== 'string') return 0
    return text.split(' ').filter(word => word !== '').length
  }

  /** Its process is gone; another one listens at its address after a while. */
  private end(): void {
    this.ends += 1
    this.waiting = []
    this.running = []
    if (this.front !== undefined) return this.endBehindFront()
    this.die()
    this.revival = setTimeout(() => void this.listen(this.port), this.backAfterMilliseconds)
  }

  private endBehindFront(): void {
    clearInterval(this.timer)
    this.isBehindFront = true
    this.breakAll()
    this.revival = setTimeout(() => {
      this.isBehindFront = false
      this.timer = setInterval(() => this.step(), this.options.tokenMilliseconds)
    }, this.backAfterMilliseconds)
  }

  private answerFront(response: ServerResponse): void {
    if (this.front === 'closes') return void response.destroy()
    if (this.front === 'answers 500') return answer(response, 500, { error: 'no engine' })
    if (this.front === 'answers 503') return answer(response, 503, { error: 'no engine' })
  }

  /** One step of the batch: takes prompts in, then sends a token of every answer. */
  private step(): void {
    this.takeSnapshot()
    if (this.stalled) return
    if (!this.beginWaiting()) return
    let prefill = (this.options.prefillTokensPerSecond * this.options.tokenMilliseconds) / 1000
    for (const job of [...this.running]) {
      if (job.prefillLeft > 0) {
        const taken = Math.min(prefill, job.prefillLeft)
        job.prefillLeft -= taken
        prefill -= taken
      }
      if (job.prefillLeft <= 0) this.sendToken(job)
    }
  }

  /** Begins what there are slots for; false where the engine has ended under it. */
  private beginWaiting(): boolean {
    while (this.running.length < this.options.slots) {
      const next = this.waiting.shift()
      if (next === undefined) return true
      this.running.push(next)
      if (!this.endsUnder(next.body)) continue
      this.end()
      return false
    }
    return true
  }

  private endsUnder({ stand_in: wished, messages }: ChatBody): boolean {
    const { endsUnderWord, endsUnderMessage } = this
    if (wished?.word !== undefined && wished.word === endsUnderWord) return true
    if (endsUnderMessage === undefined) return false
    return JSON.stringify(messages).includes(endsUnderMessage)
  }

  private sendToken(job: Job): void {
    const word = job.body.stand_in?.word ?? 'token'
    job.sent += 1
    this.generatedTokens += 1
    if (this.breakAfterTokens !== undefined && job.sent > this.breakAfterTokens) {
      job.response.destroy()
      return
    }
    if (job.body.stream) sendEvent(job, { delta: { content: `${word}${job.sent} ` } })
    if (job.sent >= job.answerTokens) this.finish(job, word)
  }

  private finish(job: Job, word: string): void {
    this.running = this.running.filter(other => other !== job)
    if (!job.body.stream) {
      const words = Array.from({ length: job.sent }, (_, index) => `${word}${index + 1} `)
      const message = { role: 'assistant', content: words.join('') }
      answer(job.response, 200, chatDocument(job, [{ index: 0, message, finish_reason: 'stop' }]))
      return
    }
    if (job.body.stream_options?.include_usage) {
      job.response.write(`data: ${JSON.stringify(chunkDocument(job, []))}\n\n`)
    }
    job.response.end('data: [DONE]\n\n')
  }

  private forget(job: Job): void {
    const wasOpen = this.running.includes(job) || this.waiting.includes(job)
    if (!wasOpen) return
    this.cancelled += 1
    this.running = this.running.filter(other => other !== job)
    this.waiting = this.waiting.filter(other => other !== job)
  }

  private lookUp(prompt: Buffer): number {
    const hashes = prefixHashes(prompt)
    const { matched, stored, removed } = this.cache.use(hashes)
    if (stored.length > 0) this.publish('stored', stored)
    if (removed.length > 0) this.publish('removed', removed)
    return matched * PREFIX_BLOCK_TOKENS
  }

  private publish(kind: CacheEvent['kind'], hashes: readonly string[]): void {
    this.sequence += 1
    const { eventGapEvery } = this.options
    const isLost = eventGapEvery > 0 && this.sequence % eventGapEvery === 0
    if (isLost) return
    const event = { sequence: this.sequence, kind, hashes }
    // Events come as late as load reports do, in their order.
    setTimeout(() => {
      this.events = [...this.events, event].slice(-KEPT_EVENTS)
    }, this.options.reportLagMilliseconds).unref()
  }

  private answerEvents(url: URL, response: ServerResponse): void {
    const after = Number(url.searchParams.get('after') ?? 0)
    answer(response, 200, { events: this.events.filter(event => event.sequence > after) })
  }

  private obey(document: unknown, response: ServerResponse): void {
    const order = orderSchema.parse(document)
    if (this.options.checksOrders && order.epoch < this.lastEpoch) {
      return answer(response, 409, { epoch: this.lastEpoch })
    }
    this.lastEpoch = Math.max(this.lastEpoch, order.epoch)
    if (order.action === 'load') this.loaded.set(order.model, order.version)
    else this.loaded.delete(order.model)
    answer(response, 200, {})
  }

  private takeSnapshot(): void {
    const now = performance.now()
    this.snapshots.push({ at: now, document: this.report() })
    const oldest = now - this.options.reportLagMilliseconds
    while ((this.snapshots[1]?.at ?? now) <= oldest) this.snapshots.shift()
  }

  private laggedReport(): Record<string, unknown> {
    return this.snapshots[0]?.document ?? this.report()
  }

  private report(): Record<string, unknown> {
    const queued = [...this.waiting, ...this.running].reduce((sum, job) => sum + job.prefillLeft, 0)
    return {
      running: this.running.length,
      waiting: this.waiting.length,
      cacheUse: this.cache.use([]).fill,
      queuedPromptTokens: Math.max(0, queued),
      leaving: this.leaving,
      loaded: [...this.loaded].map(([model, version]) => ({ model, version })),
    }
  }
}

function sendEvent(job: Job, choice: Record<string, unknown>): void {
  if (!job.response.headersSent) {
    job.response.writeHead(200, { 'content-type': 'text/event-stream' })
  }
  const document = chunkDocument(job, [{ index: 0, ...choice, finish_reason: null }])
  job.response.write(`data: ${JSON.stringify(document)}\n\n`)
}

function chunkDocument(job: Job, choices: readonly unknown[]) {
  return { ...chatDocument(job, choices), object: 'chat.completion.chunk' }
}

function chatDocument(job: Job, choices: readonly unknown[]) {
  const generated = job.sent - job.begun
  const usage = {
    prompt_tokens: job.promptTokens,
    completion_tokens: generated,
    total_tokens: job.promptTokens + generated,
  }
  return { id: 'stand-in', object: 'chat.completion', model: job.body.model, choices, usage }
}

function answer(
  response: ServerResponse,
  status: number,
  document: unknown,
  headers: Record<string, string> = {},
): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers })
  response.end(JSON.stringify(document))
}
