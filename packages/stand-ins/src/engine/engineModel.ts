/**
 * A model engine on virtual time. It works in steps: each generates one token of every answer in
 * progress and reads at most one piece of prompt, so that a long prompt slows all answers beside it.
 */

import type { Clock, EndpointId, Milliseconds, TokenCount } from '@rackwalk/shared'

/** Speed and size of one engine. */
export interface EngineCapacity {
  /** Requests that run at once; the others wait. */
  readonly slots: number
  /** Prompt tokens that one step reads at most, over all prompts. */
  readonly pieceTokens: TokenCount
  readonly promptTokensPerMillisecond: number
  /** What a step takes with nothing to do, */
  readonly stepMilliseconds: Milliseconds
  /** more for each answer in progress, */
  readonly answerMilliseconds: Milliseconds
  /** for each thousand tokens that those answers have before them, */
  readonly thousandContextMilliseconds: Milliseconds
  /** and for each million pairs of a token read and a token before it. */
  readonly millionPairsMilliseconds: Milliseconds
  /** Tokens of prompt parts that are kept. */
  readonly cacheTokens: TokenCount
}

/** A piece of prompt that engines keep by name. */
export interface EnginePromptPart {
  readonly id: string
  readonly tokens: TokenCount
}

/** A request as an engine sees it. */
export interface EngineRequest {
  readonly parts: readonly EnginePromptPart[]
  /** The whole prompt, parts that have no name included. */
  readonly promptTokens: TokenCount
  readonly answerTokens: TokenCount
  /** One more token is made, the first when the prompt is read. */
  readonly onToken: () => void
  readonly onEnd: () => void
}

/** What an engine's memory of prompts went through. */
export interface CacheChange {
  readonly kind: 'stored' | 'removed'
  readonly ids: readonly string[]
}

interface Run {
  readonly request: EngineRequest
  /** Tokens of the prompt that lie before the next piece. */
  position: TokenCount
  made: TokenCount
}

/** One model engine. */
export class EngineModel {
  private readonly cache = new Map<string, TokenCount>()
  private cachedTokens = 0
  private readonly waiting: EngineRequest[] = []
  private runs: Run[] = []
  private isStepping = false
  /** Requests taken, and tokens of prompts with how many of them were found kept. */
  requests = 0
  promptTokens = 0
  hitTokens = 0

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

  /** Prompt tokens of requests that wait. */
  get waitingTokens(): TokenCount {
    return this.waiting.reduce((sum, { promptTokens }) => sum + promptTokens, 0)
  }

  /** Share of the memory for prompts that is in use. */
  get cacheUse(): number {
    return this.cachedTokens / this.capacity.cacheTokens
  }

  /** Takes a request. */
  submit(request: EngineRequest): void {
    this.requests += 1
    this.waiting.push(request)
    if (!this.isStepping) this.step()
  }

  private step(): void {
    this.admit()
    this.isStepping = this.runs.length > 0
    if (!this.isStepping) return
    const generating = this.runs.filter(isRead)
    const duration = this.generationTime() + this.readPiece()
    this.clock.after(duration, () => {
      const isFirst = (run: Run) => isRead(run) && run.made === 0
      for (const run of [...generating, ...this.runs.filter(isFirst)]) this.makeToken(run)
      this.runs = this.runs.filter(({ request, made }) => made < request.answerTokens)
      this.step()
    })
  }

  private generationTime(): Milliseconds {
    const { stepMilliseconds, answerMilliseconds, thousandContextMilliseconds } = this.capacity
    const context = this.runs.reduce((sum, { position, made }) => sum + position + made, 0)
    const byAnswers = answerMilliseconds * this.runs.length
    return stepMilliseconds + byAnswers + (thousandContextMilliseconds * context) / 1000
  }

  private admit(): void {
    while (this.runs.length < this.capacity.slots) {
      const request = this.waiting.shift()
      if (request === undefined) return
      this.runs.push({ request, position: this.keptTokens(request), made: 0 })
    }
  }

  /** Reads up to one piece, of the oldest prompts first; the time that it takes. */
  private readPiece(): Milliseconds {
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

  private makeToken(run: Run): void {
    run.made += 1
    run.request.onToken()
    if (run.made >= run.request.answerTokens) run.request.onEnd()
  }

  /** Tokens at the beginning of a prompt that are kept; its parts are kept from now on. */
  private keptTokens({ parts, promptTokens }: EngineRequest): TokenCount {
    const firstMissing = parts.findIndex(({ id }) => !this.cache.has(id))
    const kept = firstMissing < 0 ? parts : parts.slice(0, firstMissing)
    const tokens = kept.reduce((sum, part) => sum + part.tokens, 0)
    this.promptTokens += promptTokens
    this.hitTokens += tokens
    this.store(parts)
    // The last token of a prompt is read in any case: it makes the first one of the answer.
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

function isRead({ request, position }: Run): boolean {
  return position >= request.promptTokens
}
