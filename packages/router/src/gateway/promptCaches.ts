/**
 * Estimates which prompt parts the endpoints have cached. Endpoints do not report their caches: the estimate
 * follows from the prompts that this instance and its peers sent, and from the assumption that an endpoint
 * evicts the least recently used parts first. Owns the estimate.
 */

import type { TokenCount } from '@rackwalk/shared'
import type { PromptPart } from './dialect.js'

/** Share of an endpoint's memory that holds cached parts; running requests take the rest. */
const CACHE_SHARE = 0.6
/** Memory, in tokens, of an endpoint whose configuration states none. */
const DEFAULT_CAPACITY: TokenCount = 100_000

class EndpointCache {
  /** Tokens by part id, the least recently used part first. */
  readonly parts = new Map<string, TokenCount>()
  private total: TokenCount = 0

  use(part: PromptPart, capacity: TokenCount): void {
    this.total += part.tokens - (this.parts.get(part.id) ?? 0)
    this.parts.delete(part.id)
    this.parts.set(part.id, part.tokens)
    for (const [id, tokens] of this.parts) {
      if (this.total <= capacity) return
      this.parts.delete(id)
      this.total -= tokens
    }
  }
}

/** Estimated prompt caches of all endpoints. */
export class PromptCaches {
  private readonly endpoints = new Map<string, EndpointCache>()
  private unreported = new Map<string, PromptPart[]>()

  /** Notes a prompt that this instance sends to an endpoint; its shared parts are reported to peers. */
  noteSent(endpoint: string, parts: readonly PromptPart[], capacity: TokenCount | undefined): void {
    this.note(endpoint, parts, capacity)
    const unreported = this.unreported.get(endpoint) ?? []
    // The last part belongs to a single request or session.
    unreported.push(...parts.slice(0, -1))
    if (unreported.length > 0) this.unreported.set(endpoint, unreported)
  }

  /** Notes prompt parts that any instance sent to an endpoint. */
  note(endpoint: string, parts: readonly PromptPart[], capacity: TokenCount | undefined): void {
    const cache = this.endpoints.get(endpoint) ?? new EndpointCache()
    this.endpoints.set(endpoint, cache)
    const limit = CACHE_SHARE * (capacity ?? DEFAULT_CAPACITY)
    for (const part of parts) cache.use(part, limit)
  }

  /** Tokens of a prompt that an endpoint need not read: its leading parts up to the first uncached one. */
  cachedTokens(endpoint: string, parts: readonly PromptPart[]): TokenCount {
    const cache = this.endpoints.get(endpoint)
    if (cache === undefined) return 0
    let tokens = 0
    for (const part of parts) {
      if (!cache.parts.has(part.id)) return tokens
      tokens += part.tokens
    }
    return tokens
  }

  /** The endpoint was removed or restarted. A new start has an empty cache. */
  forget(endpoint: string): void {
    this.endpoints.delete(endpoint)
  }

  /** Returns the shared parts sent since the last call, by endpoint. */
  takeUnreported(): ReadonlyMap<string, readonly PromptPart[]> {
    const unreported = this.unreported
    this.unreported = new Map()
    return unreported
  }
}
