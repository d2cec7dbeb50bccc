/**
 * Models an engine on virtual time. The engine works in steps. Each step generates one token for every
 * running answer and prefills at most one piece of prompts, so a long prompt slows all concurrent answers.
 */

import type { Clock, EndpointId, Milliseconds, TokenCount } from '@rackwalk/shared'

/** The speed and the size of one engine. */
export interface EngineCapacity {
  /** Number of requests that run concurrently; further ones wait. */
  readonly slots: number
  /** Maximum number of tokens, over all prompts, that one step prefills. */
  readonly pieceTokens: TokenCount
  readonly promptTokensPerMillisecond: number
  /** Fixed duration of a step. */
  readonly stepMilliseconds: Milliseconds
  /** Additional duration of a step for each running answer. */
  readonly answerMilliseconds: Milliseconds
  /** Additional duration for each thousand tokens in the contexts of the running answers. */
  readonly thousandContextMilliseconds: Milliseconds
  /** Additional duration for each million pairs of a prefilled token and a token that precedes it. */
  readonly millionPairsMilliseconds: Milliseconds
  /** Number of prompt tokens that the prefix cache holds. */
  readonly cacheTokens: TokenCount
  /** Factor on the duration of the steps that begin at a time; 1 by default. */
  readonly slowdown?: (now: Milliseconds) => number
}

/** A part of a prompt that engines cache under its id. */
export interface EnginePromptPart {
  readonly id: string
  readonly tokens: TokenCount
}

/** A request to an engine. */
export interface EngineRequest {
  readonly parts: readonly EnginePromptPart[]
  /** Length of the whole prompt, including text that is in no part. */
  readonly promptTokens: TokenCount
  readonly answerTokens: TokenCount
  /** Called for each generated token; for the first one at the end of the prefill. */
  readonly onToken: () => void
  readonly onEnd: () => void
}

/** A change of an engine's prefix cache. */
export interface CacheChange {
  readonly kind: 'stored' | 'removed'
  readonly ids: readonly string[]
}

interface Run {
  readonly request: EngineRequest
  /** Number of prompt tokens that are already prefilled or cached. */
  position: TokenCount
  generatedTokens: TokenCount
}

/** One model engine. */
export class EngineModel {
  private readonly cache = new Map<string, TokenCount>()
  private cachedTokens = 0
  private readonly waiting: EngineRequest[] = []
  private runs: Run[] = []
  private isStepping = false
  /** Totals of submitted requests, their prompt tokens, and the tokens found in the prefix cache. */
  requests = 0
  promptTokens = 0
  cacheHitTokens = 0

  constructor(
    readonly endpointId: EndpointId,
    readonly capacity: EngineCapacity,
    private readonly clock: Clock,
    private readonly onCacheChange: (change: CacheChange) => void = () => {},
  ) {}

  get runningRequests(): number {
    return this.runs.length
  }

  get waitingRequests(): number {
    return this.waiting.length
  }

  /** Prompt tokens of waiting requests. */
  get waitingTokens(): TokenCount {
    return this.waiting.reduce((sum, { promptTokens }) => sum + promptTokens, 0)
  }

  /** Share of the prefix cache that is in use. */
  get cacheUse(): number {
    return this.cachedTokens / this.capacity.cacheTokens
  }

  /** Queues a request; it runs as soon as a slot is free. */
  submit(request: EngineRequest): void {
    this.requests += 1
    this.waiting.push(request)
    if (!this.isStepping) this.step()
  }

  private step(): void {
    this.admit()
    this.isStepping = this.runs.length > 0
    if (!this.isStepping) return
    const generating = this.runs.filter(isPrefilled)
    const slowdown = this.capacity.slowdown?.(this.clock.monotonic()) ?? 1
    const duration = slowdown * (this.generationTime() + this.prefillPiece())
    this.clock.after(duration, () => {
      const isFirst = (run: Run) => isPrefilled(run) && run.generatedTokens === 0
      for (const run of [...generating, ...this.runs.filter(isFirst)]) this.generateToken(run)
      this.runs = this.runs.filter(
        ({ request, generatedTokens: made }) => made < request.answerTokens,
      )
      this.step()
    })
  }

  private generationTime(): Milliseconds {
    const { stepMilliseconds, answerMilliseconds, thousandContextMilliseconds } = this.capacity
    const context = this.runs.reduce(
      (sum, { position, generatedTokens: made }) => sum + position + made,
      0,
    )
    const byAnswers = answerMilliseconds * this.runs.length
    return stepMilliseconds + byAnswers + (thousandContextMilliseconds * context) / 1000
  }

  private admit(): void {
    while (this.runs.length < this.capacity.slots) {
      const request = this.waiting.shift()
      if (request === undefined) return
      this.runs.push({ request, position: this.cachedPromptTokens(request), generatedTokens: 0 })
    }
  }

  /** Prefills up to one piece, oldest prompts first. Returns the time that the prefill takes. */
  private prefillPiece(): Milliseconds {
    const { pieceTokens, promptTokensPerMillisecond, millionPairsMilliseconds } = this.capacity
    let left = pieceTokens
    let pairs = 0
    for (const run of this.runs) {
      const tokens = Math.min(left, run.request.promptTokens - run.position)
      pairs += tokens * (run.position + tokens / 2)
      run.position += tokens
      left -= tokens
    }
    const tokens = pieceTokens - left
    return tokens / promptTokensPerMillisecond + (pairs / 1e6) * millionPairsMilliseconds
  }

  private generateToken(run: Run): void {
    run.generatedTokens += 1
    run.request.onToken()
    if (run.generatedTokens >= run.request.answerTokens) run.request.onEnd()
  }

  /** Returns the number of leading prompt tokens found in the cache, and caches all parts of the prompt. */
  private cachedPromptTokens({ parts, promptTokens }: EngineRequest): TokenCount {
    const firstMissing = parts.findIndex(({ id }) => !this.cache.has(id))
    const kept = firstMissing < 0 ? parts : parts.slice(0, firstMissing)
    const tokens = kept.reduce((sum, part) => sum + part.tokens, 0)
    this.promptTokens += promptTokens
    this.cacheHitTokens += tokens
    this.store(parts)
    // The last prompt token is always prefilled, because it generates the first token of the answer.
    return Math.min(tokens, promptTokens - 1)
  }

  private store(parts: readonly EnginePromptPart[]): void {
    const stored = parts.filter(({ id }) => !this.cache.has(id))
    for (const { id, tokens } of parts) {
      this.cachedTokens += tokens - (this.cache.get(id) ?? 0)
      this.cache.delete(id)
      this.cache.set(id, tokens)
    }
    this.publish(
      'stored',
      stored.map(({ id }) => id),
    )
    this.publish('removed', this.evict())
  }

  private evict(): readonly string[] {
    const removed: string[] = []
    for (const [id, tokens] of this.cache) {
      if (this.cachedTokens <= this.capacity.cacheTokens) break
      this.cache.delete(id)
      this.cachedTokens -= tokens
      removed.push(id)
    }
    return removed
  }

  private publish(kind: CacheChange['kind'], ids: readonly string[]): void {
    if (ids.length > 0) this.onCacheChange({ kind, ids })
  }
}

function isPrefilled({ request, position }: Run): boolean {
  return position >= request.promptTokens
}
