/**
 * An index of the prompt prefixes that each engine probably has in its cache. Routing uses the
 * index to send a request to an engine that need not read the whole prompt again. Owns the block
 * hashes of each endpoint. A wrong entry costs time but never causes a wrong answer.
 */

import { createHash } from 'node:crypto'
import type { Clock, EndpointId, Milliseconds, TokenCount } from '@rackwalk/shared'

/** Bytes of prompt text per block of the index. */
export const PREFIX_BLOCK_BYTES = 512
/** Number of tokens that estimates assume per block. */
export const PREFIX_BLOCK_TOKENS = 128
/**
 * Maximum number of blocks hashed per prompt, which bounds the work per request. Of a longer prompt
 * only these first blocks are compared.
 */
const MAXIMUM_BLOCKS = 64

/** Hash of a prompt up to the end of one block; it covers all preceding blocks too. */
export type PrefixHash = string

/** Returns the chained block hashes of a prompt. An incomplete last block has no hash. */
export function prefixHashes(prompt: Buffer): readonly PrefixHash[] {
  const blocks = Math.min(MAXIMUM_BLOCKS, Math.floor(prompt.length / PREFIX_BLOCK_BYTES))
  const hashes: PrefixHash[] = []
  let previous = ''
  for (let block = 0; block < blocks; block += 1) {
    const start = block * PREFIX_BLOCK_BYTES
    const text = prompt.subarray(start, start + PREFIX_BLOCK_BYTES)
    previous = createHash('sha1').update(previous).update(text).digest('base64').slice(0, 16)
    hashes.push(previous)
  }
  return hashes
}

/**
 * A change of an engine's cache, as the engine reports it. A gap in the sequence numbers shows that
 * events were lost.
 */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'removed' | 'cleared'
  readonly hashes: readonly PrefixHash[]
}

interface EndpointBlocks {
  /**
   * Maps each block to the monotonic time at which it was last confirmed or assumed to be cached.
   */
  readonly blocks: Map<PrefixHash, Milliseconds>
  lastSequence: number | undefined
}

/**
 * A block that was neither reported as stored nor sent in a prompt for this long is assumed to be
 * evicted.
 */
const BLOCK_EXPIRY_MILLISECONDS = 10 * 60_000
/** Maximum number of blocks kept per endpoint; beyond it, the oldest blocks are dropped. */
const MAXIMUM_BLOCKS_PER_ENDPOINT = 20_000

/**
 * Estimates which prompt prefixes each endpoint has cached. Cache events arrive late and with gaps,
 * so the index is only a hint: the index also records the prompts that this instance sends, entries
 * expire, and all blocks of an endpoint are dropped when a gap may have hidden removals.
 */
export class PrefixIndex {
  private readonly endpoints = new Map<EndpointId, EndpointBlocks>()

  constructor(private readonly clock: Clock) {}

  /**
   * Returns the estimated number of tokens in the longest prefix that an endpoint probably has
   * cached.
   */
  cachedTokens(endpointId: EndpointId, hashes: readonly PrefixHash[]): TokenCount {
    const known = this.endpoints.get(endpointId)?.blocks
    if (known === undefined) return 0
    const oldest = this.clock.monotonic() - BLOCK_EXPIRY_MILLISECONDS
    let matched = 0
    for (const hash of hashes) {
      const at = known.get(hash)
      if (at === undefined || at < oldest) break
      matched += 1
    }
    return matched * PREFIX_BLOCK_TOKENS
  }

  /**
   * Records that a prompt was routed to the endpoint, which will probably have its blocks cached.
   */
  noteSent(endpointId: EndpointId, hashes: readonly PrefixHash[]): void {
    this.store(this.blocksOf(endpointId), hashes)
  }

  /**
   * Applies an engine's events; events that were already applied are skipped. Returns whether a gap
   * in the sequence numbers was found. At a gap, the blocks recorded before are dropped.
   */
  apply(endpointId: EndpointId, events: readonly CacheEvent[]): boolean {
    const known = this.blocksOf(endpointId)
    let hadGap = false
    for (const event of events) {
      if (known.lastSequence !== undefined && event.sequence <= known.lastSequence) continue
      const isGap = known.lastSequence !== undefined && event.sequence > known.lastSequence + 1
      if (isGap) known.blocks.clear()
      hadGap ||= isGap
      known.lastSequence = event.sequence
      this.applyOne(known, event)
    }
    return hadGap
  }

  forget(endpointId: EndpointId): void {
    this.endpoints.delete(endpointId)
  }

  private applyOne(known: EndpointBlocks, event: CacheEvent): void {
    if (event.kind === 'cleared') known.blocks.clear()
    if (event.kind === 'stored') this.store(known, event.hashes)
    if (event.kind === 'removed') for (const hash of event.hashes) known.blocks.delete(hash)
  }

  private store(known: EndpointBlocks, hashes: readonly PrefixHash[]): void {
    const now = this.clock.monotonic()
    for (const hash of hashes) {
      known.blocks.delete(hash)
      known.blocks.set(hash, now)
    }
    for (const hash of known.blocks.keys()) {
      if (known.blocks.size <= MAXIMUM_BLOCKS_PER_ENDPOINT) break
      known.blocks.delete(hash)
    }
  }

  private blocksOf(endpointId: EndpointId): EndpointBlocks {
    const known = this.endpoints.get(endpointId)
    if (known !== undefined) return known
    const created: EndpointBlocks = { blocks: new Map(), lastSequence: undefined }
    this.endpoints.set(endpointId, created)
    return created
  }
}
