/** A model engine on virtual time: a queue, serial prefill, batched decoding, a prefix cache. */

import type { Clock, EndpointId, Milliseconds } from '@rackwalk/shared'
import { PREFIX_BLOCK_TOKENS } from '@rackwalk/router'
import type { CacheEvent, LoadReport, PrefixHash } from '@rackwalk/router'

/** Capacity of one simulated engine. */
export interface EngineCapacity {
  readonly slots: number
  readonly prefillTokensPerSecond: number
  /** Time between tokens of an answer with an empty batch, and what each other one adds. */
  readonly tokenMilliseconds: number
  readonly batchMilliseconds: number
  readonly cacheBlocks: number
  readonly reportLagMilliseconds: Milliseconds
  /** One of so many cache events is lost. */
  readonly eventLossEvery: number
}

interface Job {
  readonly promptTokens: number
  readonly answerTokens: number
  readonly hashes: readonly PrefixHash[]
  readonly onFirstToken: () => void
  readonly onEnd: () => void
}

/** A model engine on virtual time: a queue, serial prefill, batched decoding, a prefix cache. */
export class EngineModel {
  private readonly cache = new Set<PrefixHash>()
  private readonly queue: Job[] = []
  private queuedPromptTokens = 0
  private running = 0
  private isPrefilling = false
  private reported: LoadReport
  private readonly events: CacheEvent[] = []
  private sequence = 0
  requests = 0
  promptBlocks = 0
  hitBlocks = 0

  constructor(
    readonly endpointId: EndpointId,
    private readonly capacity: EngineCapacity,
    private readonly clock: Clock,
  ) {
    this.reported = this.report()
    this.refreshReport()
  }

  /** What the engine says of its load: as it was some time ago. */
  get load(): LoadReport {
    return this.reported
  }

  eventsAfter(sequence: number): readonly CacheEvent[] {
    return this.events.filter(event => event.sequence > sequence)
  }

  submit(job: Job): void {
    this.requests += 1
    this.queue.push(job)
    this.queuedPromptTokens += job.promptTokens
    this.prefillNext()
  }

  private prefillNext(): void {
    if (this.isPrefilling || this.running >= this.capacity.slots) return
    const job = this.queue.shift()
    if (job === undefined) return
    this.isPrefilling = true
    this.running += 1
    this.queuedPromptTokens -= job.promptTokens
    const uncached = Math.max(1, job.promptTokens - this.lookUp(job.hashes))
    const prefill = (uncached * 1000) / this.capacity.prefillTokensPerSecond
    this.clock.after(prefill + this.capacity.tokenMilliseconds, () => {
      this.isPrefilling = false
      job.onFirstToken()
      this.decode(job)
      this.prefillNext()
    })
  }

  private decode(job: Job): void {
    const { tokenMilliseconds, batchMilliseconds } = this.capacity
    const perToken = tokenMilliseconds + batchMilliseconds * this.running
    this.clock.after(job.answerTokens * perToken, () => {
      this.running -= 1
      job.onEnd()
      this.prefillNext()
    })
  }

  private lookUp(hashes: readonly PrefixHash[]): number {
    let matched = 0
    while (matched < hashes.length && this.cache.has(hashes[matched] as string)) matched += 1
    this.promptBlocks += hashes.length
    this.hitBlocks += matched
    const stored = hashes.filter(hash => !this.cache.has(hash))
    for (const hash of hashes) {
      this.cache.delete(hash)
      this.cache.add(hash)
    }
    this.publish('stored', stored)
    this.publish('removed', this.evict())
    return matched * PREFIX_BLOCK_TOKENS
  }

  private evict(): readonly PrefixHash[] {
    const removed: PrefixHash[] = []
    for (const hash of this.cache) {
      if (this.cache.size <= this.capacity.cacheBlocks) break
      this.cache.delete(hash)
      removed.push(hash)
    }
    return removed
  }

  private publish(kind: CacheEvent['kind'], hashes: readonly PrefixHash[]): void {
    if (hashes.length === 0) return
    this.sequence += 1
    if (this.sequence % this.capacity.eventLossEvery === 0) return
    const event = { sequence: this.sequence, kind, hashes }
    this.clock.after(this.capacity.reportLagMilliseconds, () => this.events.push(event))
  }

  private refreshReport(): void {
    const current = this.report()
    this.clock.after(this.capacity.reportLagMilliseconds, () => {
      this.reported = current
      this.refreshReport()
    })
  }

  private report(): LoadReport {
    return {
      running: this.running,
      waiting: this.queue.length,
      cacheUse: this.cache.size / this.capacity.cacheBlocks,
      leaving: false,
      queuedPromptTokens: this.queuedPromptTokens,
    }
  }
}
