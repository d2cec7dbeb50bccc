/**
 * What the endpoints are likely to have cached of earlier prompts. Nobody asks them: what this instance and
 * its peers sent there is known, and an endpoint drops what was unused for longest. Owns that reckoning.
 */

import type { TokenCount } from '@rackwalk/shared'
import type { PromptPart } from './dialect.js'

/** Part of an endpoint's memory that holds cached parts; running requests take the rest. */
const CACHE_SHARE = 0.6
/** Memory of an endpoint whose configuration names none. */
const UNSTATED_CAPACITY: TokenCount = 100_000

class EndpointCache {
  /** Tokens by part id, the part unused for longest first. */
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

/** The prompt caches of all endpoints. */
export class PromptCaches {
  private readonly endpoints = new Map<string, EndpointCache>()
  private untold = new Map<string, PromptPart[]>()

  /** Notes a prompt that this instance sends to an endpoint; peers are told of its shared parts. */
  noteSent(endpoint: string, parts: readonly PromptPart[], capacity: TokenCount | undefined): void {
    this.note(endpoint, parts, capacity)
    const untold = this.untold.get(endpoint) ?? []
    // The last part belongs to one request or session.
    untold.push(...parts.slice(0, -1))
    if (untold.length > 0) this.untold.set(endpoint, untold)
  }

  /** Notes parts of prompts that anybody sent to an endpoint. */
  note(endpoint: string, parts: readonly PromptPart[], capacity: TokenCount | undefined): void {
    const cache = this.endpoints.get(endpoint) ?? new EndpointCache()
    this.endpoints.set(endpoint, cache)
    const limit = CACHE_SHARE * (capacity ?? UNSTATED_CAPACITY)
    for (const part of parts) cache.use(part, limit)
  }

  /** Tokens of a prompt that an endpoint need not read: its first parts, up to one not held. */
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

  /** An endpoint is gone; the next one at its address holds nothing. */
  forget(endpoint: string): void {
    this.endpoints.delete(endpoint)
  }

  /** Shared parts sent since the last call, by endpoint. */
  takeUntold(): ReadonlyMap<string, readonly PromptPart[]> {
    const untold = this.untold
    this.untold = new Map()
    return untold
  }
}
