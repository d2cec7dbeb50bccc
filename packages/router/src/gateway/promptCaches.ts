import type { TokenCount } from '@rackwalk/shared'
import type { PromptPart } from './dialect.js'

/**
 * What the servers are likely to hold of earlier prompts. Nobody asks them: what this instance
 * and its peers sent there is known, and a server drops what was unused for longest.
 */

/** Part of a server's memory that holds cached parts; running requests take the rest. */
const CACHE_SHARE = 0.6
/** Memory of a server whose configuration names none. */
const UNSTATED_CAPACITY: TokenCount = 100_000

class ServerCache {
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

export class PromptCaches {
  private readonly servers = new Map<string, ServerCache>()
  private untold = new Map<string, PromptPart[]>()

  /** Notes a prompt that this instance sends to a server; peers are told of its shared parts. */
  noteSent(server: string, parts: readonly PromptPart[], capacity: TokenCount | undefined): void {
    this.note(server, parts, capacity)
    const untold = this.untold.get(server) ?? []
    // The last part belongs to one request or session.
    untold.push(...parts.slice(0, -1))
    if (untold.length > 0) this.untold.set(server, untold)
  }

  /** Notes parts of prompts that anybody sent to a server. */
  note(server: string, parts: readonly PromptPart[], capacity: TokenCount | undefined): void {
    const cache = this.servers.get(server) ?? new ServerCache()
    this.servers.set(server, cache)
    const limit = CACHE_SHARE * (capacity ?? UNSTATED_CAPACITY)
    for (const part of parts) cache.use(part, limit)
  }

  /** Tokens of a prompt that a server need not read: its first parts, up to one not held. */
  cachedTokens(server: string, parts: readonly PromptPart[]): TokenCount {
    const cache = this.servers.get(server)
    if (cache === undefined) return 0
    let tokens = 0
    for (const part of parts) {
      if (!cache.parts.has(part.id)) return tokens
      tokens += part.tokens
    }
    return tokens
  }

  /** A server is gone; the next one at its address holds nothing. */
  forget(server: string): void {
    this.servers.delete(server)
  }

  /** Shared parts sent since the last call, by server. */
  takeUntold(): ReadonlyMap<string, readonly PromptPart[]> {
    const untold = this.untold
    this.untold = new Map()
    return untold
  }
}
