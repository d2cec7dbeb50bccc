/** The effect of one prompt on the cache. */
export interface CacheUseResult {
  /** Number of leading blocks that the cache already held. */
  readonly matched: number
  readonly stored: readonly string[]
  readonly removed: readonly string[]
  /** Share of the cache that is in use. */
  readonly fill: number
}

/** Least-recently-used cache of prompt blocks. */
export class PrefixCache {
  private readonly blocks = new Set<string>()

  constructor(private readonly capacity: number) {}

  use(hashes: readonly string[]): CacheUseResult {
    let matched = 0
    while (matched < hashes.length && this.blocks.has(hashes[matched] ?? '')) matched += 1
    const stored = hashes.filter(hash => !this.blocks.has(hash))
    for (const hash of hashes) {
      this.blocks.delete(hash)
      this.blocks.add(hash)
    }
    return { matched, stored, removed: this.evict(), fill: this.blocks.size / this.capacity }
  }

  private evict(): readonly string[] {
    const removed: string[] = []
    for (const hash of this.blocks) {
      if (this.blocks.size <= this.capacity) break
      this.blocks.delete(hash)
      removed.push(hash)
    }
    return removed
  }
}
