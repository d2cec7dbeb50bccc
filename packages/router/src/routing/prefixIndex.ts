/**
 * Which endpoint probably has which prompt cached? Owns block hashes by endpoint; a wrong guess costs
 * time, never a wrong answer.
 */

import { createHash } from 'node:crypto'
import type { Clock, EndpointId, Milliseconds, TokenCount } from '@rackwalk/shared'

/** Bytes of prompt text in one block of the index. */
export const PREFIX_BLOCK_BYTES = 512
/** Tokens that a block is taken to hold, for estimates. */
export const PREFIX_BLOCK_TOKENS = 128
/** Blocks of a prompt that are looked at; longer prompts share at least these. */
const MAXIMUM_BLOCKS = 64

/** Hash of a prompt up to the end of one block; it stands for everything before it too. */
export type PrefixHash = string

/** The chain of block hashes of a prompt; an unfinished last block has none. */
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

/** A change of an engine's cache as it reports it; sequence numbers show gaps. */
export interface CacheEvent {
  readonly sequence: number
  readonly kind: 'stored' | 'removed' | 'cleared'
  readonly hashes: readonly PrefixHash[]
}

interface EndpointBlocks {
  /** Block to the time at which it was last confirmed or assumed. */
  readonly blocks: Map<PrefixHash, Milliseconds>
  lastSequence: number | undefined
}

/** A block not heard of for this long is taken to be gone. */
const BLOCK_EXPIRY_MILLISECONDS = 10 * 60_000
/** Blocks remembered for one endpoint. */
const MAXIMUM_BLOCKS_PER_ENDPOINT = 20_000

/**
 * Which endpoint probably has which prompt prefixes cached. Events come late and with gaps,
 * so it is only a hint: it learns from own routing too, decays, and forgets an endpoint's
 * blocks when a gap may have hidden removals.
 */
export class PrefixIndex {
  private readonly endpoints = new Map<EndpointId, EndpointBlocks>()

  constructor(private readonly clock: Clock) {}

  /** Tokens of the longest known prefix at an endpoint. */
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

  /** A prompt was sent there, so its blocks will probably be cached. */
  noteSent(endpointId: EndpointId, hashes: readonly PrefixHash[]): void {
    this.store(this.blocksOf(endpointId), hashes)
  }

  /** Takes in an engine's events; true when a gap was found and the blocks were dropped. */
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
