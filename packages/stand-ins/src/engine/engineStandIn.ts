/**
 * A stand-in for a model engine with the timing, the prefix cache and the refusals of an engine. Its load
 * report, cache events and orders use this project's own formats, not those of a real engine.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import * as z from 'zod'
import { PREFIX_BLOCK_TOKENS, prefixHashes, promptTokenEstimate } from '@rackwalk/router'
import type { CacheEvent } from '@rackwalk/router'
import { LocalServer } from '../localServer.js'
import { PrefixCache } from './prefixCache.js'

/** The behavior of an engine stand-in. */
export interface EngineOptions {
  readonly models: readonly string[]
  /** Number of requests that run concurrently. */
  readonly slots: number
  /** Time between two tokens of an answer. */
  readonly tokenMilliseconds: number
  readonly prefillTokensPerSecond: number
  /** Number of blocks of prompt text that the prefix cache holds. */
  readonly cacheBlocks: number
  /** Age of the state in a load report, and delay of cache events. */
  readonly reportLagMilliseconds: number
  /** One in this many cache events is lost; 0 for none. */
  readonly eventGapEvery: number
  readonly defaultAnswerTokens: number
  readonly checksOrders: boolean
  /**
   * Whether the engine continues the last message of a chat that asks for it. Otherwise it starts a new
   * answer.
   */
  readonly continuesAnswers: boolean
}

/** The behavior of an API server or a sidecar whose engine has crashed. */
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

/** Number of answer tokens that the caller already has; generation continues after them. */
const RESUME_HEADER = 'x-resume-after'
const MAXIMUM_EVENTS = 1_000

const bodySchema = z.looseObject({
  model: z.string(),
  messages: z.array(z.looseObject({})),
  tools: z.unknown().optional(),
  stream: z.boolean().nullish(),
  stream_options: z.looseObject({ include_usage: z.boolean().optional() }).nullish(),
  max_tokens: z.number().int().positive().nullish(),
  priority: z.number().default(0),
  continue_final_message: z.boolean().nullish(),
  /** The answer that the test demands. The router passes this additional field on unchanged. */
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
  /** Prompt tokens that are not yet prefilled. */
  prefillLeft: number
  sent: number
  /** Tokens of the answer that the request's last message already contains. */
  readonly begun: number
}

interface Snapshot {
  readonly at: number
  readonly document: Record<string, unknown>
}

/**
 * Stands in for a model engine: continuous batching with a token rate, a prefix cache of limited size,
 * priorities, cancellation, delayed reports, cache events with gaps, and fenced orders. Tests make it
 * leave, terminate, crash or stall.
 */
export class EngineStandIn extends LocalServer {
  readonly options: EngineOptions
  private readonly cache: PrefixCache
  private readonly loadedModels = new Map<string, string>()
  private waiting: Job[] = []
  private running: Job[] = []
  private snapshots: Snapshot[] = []
  private events: CacheEvent[] = []
  private sequence = 0
  private lastEpoch = 0
  private leaving = false
  private stalled = false
  private timer: NodeJS.Timeout | undefined
  /** Router-assigned ids of all accepted requests. */
  readonly acceptedRequestIds: string[] = []
  generatedTokens = 0
  cancelled = 0
  /** The engine crashes when it starts to run a request whose demanded word is this one, and then restarts. */
  crashesOnWord: string | undefined
  /** The engine crashes when it starts to run a chat that contains a message with this content. */
  crashesOnMessage: string | undefined
  /** Time from a crash to the restart at the same address. */
  restartMilliseconds = 1_500
  /** The server that keeps listening at the address after a crash; undefined for none. */
  front: EngineFront | undefined
  private isBehindFront = false
  /** Number of crashes caused by a request. */
  crashes = 0
  private port = 0
  private restartTimer: NodeJS.Timeout | undefined
  /** Headers added to each answer to a chat, such as advice of the endpoint. */
  answerHeaders: Readonly<Record<string, string>> = {}
  /** Wall-clock times at which chats arrived. */
  readonly arrivals: number[] = []
  /** Status with which each chat is rejected before it runs; undefined to accept chats. */
  rejectsWithStatus: number | undefined
  /** Number of answer tokens after which the connection is destroyed; undefined for never. */
  resetAfterTokens: number | undefined

  constructor(options: Partial<EngineOptions> = {}) {
    super()
    this.options = { ...DEFAULT_ENGINE_OPTIONS, ...options }
    this.cache = new PrefixCache(this.options.cacheBlocks)
    for (const model of this.options.models) this.loadedModels.set(model, '1')
  }

  override async listen(port = 0): Promise<number> {
    const bound = await super.listen(port)
    this.port = bound
    this.timer = setInterval(() => this.step(), this.options.tokenMilliseconds)
    return bound
  }

  /** Rejects new requests with the state "leaving". Running requests continue. */
  leave(): void {
    this.leaving = true
  }

  /** Stops sending tokens, but keeps all connections open. */
  stall(): void {
    this.stalled = true
  }

  resume(): void {
    this.stalled = false
  }

  /** Stops the engine immediately and closes all connections. */
  terminate(): void {
    clearInterval(this.timer)
    clearTimeout(this.restartTimer)
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
    if (url.pathname === '/orders') return this.applyOrder(body, response)
    if (url.pathname === '/v1/chat/completions') return this.chat(request, body, response)
    answer(response, 404, {})
  }

  private chat(request: IncomingMessage, document: unknown, response: ServerResponse): void {
    const body = bodySchema.parse(document)
    this.arrivals.push(Date.now())
    for (const [name, value] of Object.entries(this.answerHeaders)) response.setHeader(name, value)
    if (this.rejectsWithStatus !== undefined) return answer(response, this.rejectsWithStatus, {})
    if (this.leaving) return answer(response, 503, {}, { 'x-endpoint-state': 'leaving' })
    if (!this.loadedModels.has(body.model)) return answer(response, 404, { error: 'not loaded' })
    this.acceptedRequestIds.push(String(request.headers['x-request-id']))
    const prompt = Buffer.from(JSON.stringify([body.messages, body.tools ?? null]))
    const cachedTokens = this.lookUp(prompt)
    const promptTokens = promptTokenEstimate(prompt.length)
    const demand = body.stand_in?.tokens ?? this.options.defaultAnswerTokens
    const begun = this.wordsToContinue(body)
    const job: Job = {
      body,
      response,
      promptTokens,
      answerTokens: Math.min(demand, begun + (body.max_tokens ?? demand)),
      prefillLeft: Math.max(1, promptTokens - cachedTokens),
      sent: begun + Number(request.headers[RESUME_HEADER] ?? 0),
      begun,
    }
    response.once('close', () => this.cancel(job))
    this.waiting.push(job)
    this.waiting.sort((left, right) => left.body.priority - right.body.priority)
  }

  /** Returns the number of words in the last message if generation continues after them, else 0. */
  private wordsToContinue({ continue_final_message, messages }: ChatBody): number {
    const text = messages.at(-1)?.['content']
    const isContinuation = this.options.continuesAnswers && continue_final_message === true
    if (!isContinuation || typeof text !== 'string') return 0
    return text.split(' ').filter(word => word !== '').length
  }

  /** Simulates a crash of the engine's process and a restart at the same address. */
  private crash(): void {
    this.crashes += 1
    this.waiting = []
    this.running = []
    if (this.front !== undefined) return this.crashBehindFront()
    this.terminate()
    this.restartTimer = setTimeout(() => void this.listen(this.port), this.restartMilliseconds)
  }

  private crashBehindFront(): void {
    clearInterval(this.timer)
    this.isBehindFront = true
    this.closeAllConnections()
    this.restartTimer = setTimeout(() => {
      this.isBehindFront = false
      this.timer = setInterval(() => this.step(), this.options.tokenMilliseconds)
    }, this.restartMilliseconds)
  }

  private answerFront(response: ServerResponse): void {
    if (this.front === 'closes') return void response.destroy()
    if (this.front === 'answers 500') return answer(response, 500, { error: 'no engine' })
    if (this.front === 'answers 503') return answer(response, 503, { error: 'no engine' })
  }

  /** Runs one step of the batch: prefills prompts, then sends a token of every prefilled request. */
  private step(): void {
    this.takeSnapshot()
    if (this.stalled) return
    if (!this.startWaiting()) return
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

  /** Starts waiting requests while slots are free. Returns false if one of them crashes the engine. */
  private startWaiting(): boolean {
    while (this.running.length < this.options.slots) {
      const next = this.waiting.shift()
      if (next === undefined) return true
      this.running.push(next)
      if (!this.isCrashInducing(next.body)) continue
      this.crash()
      return false
    }
    return true
  }

  private isCrashInducing({ stand_in: demand, messages }: ChatBody): boolean {
    const { crashesOnWord, crashesOnMessage } = this
    if (demand?.word !== undefined && demand.word === crashesOnWord) return true
    if (crashesOnMessage === undefined) return false
    return JSON.stringify(messages).includes(crashesOnMessage)
  }

  private sendToken(job: Job): void {
    const word = job.body.stand_in?.word ?? 'token'
    job.sent += 1
    this.generatedTokens += 1
    if (this.resetAfterTokens !== undefined && job.sent > this.resetAfterTokens) {
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

  private cancel(job: Job): void {
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
    // Events are published in order, with the same delay as load reports.
    setTimeout(() => {
      this.events = [...this.events, event].slice(-MAXIMUM_EVENTS)
    }, this.options.reportLagMilliseconds).unref()
  }

  private answerEvents(url: URL, response: ServerResponse): void {
    const after = Number(url.searchParams.get('after') ?? 0)
    answer(response, 200, { events: this.events.filter(event => event.sequence > after) })
  }

  private applyOrder(document: unknown, response: ServerResponse): void {
    const order = orderSchema.parse(document)
    if (this.options.checksOrders && order.epoch < this.lastEpoch) {
      return answer(response, 409, { epoch: this.lastEpoch })
    }
    this.lastEpoch = Math.max(this.lastEpoch, order.epoch)
    if (order.action === 'load') this.loadedModels.set(order.model, order.version)
    else this.loadedModels.delete(order.model)
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
      loaded: [...this.loadedModels].map(([model, version]) => ({ model, version })),
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
