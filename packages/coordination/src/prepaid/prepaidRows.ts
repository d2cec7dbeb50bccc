import type { Milliseconds, TokenCount } from '@rackwalk/shared'

/**
 * Rows of the prepaid ledger. A budget is one partition: a pool row, and a holder row for
 * each instance that drew on it. What an instance may hand out is bounded by its holder row
 * alone, so that a death at any moment loses at most what that row allowed.
 */

export const PREPAID_TABLE = 'prepaid'
export const POOL_KEY = 'pool'
const HOLDER_PREFIX = 'holder/'

/** `settled + allocated` never exceeds `limit`, except after the limit was lowered. */
export interface PoolRow {
  readonly limit: TokenCount
  /** Version of the configuration that set the limit; older ones do not change it. */
  readonly configurationVersion: number
  /** Handed out by holders that are gone. */
  readonly settled: TokenCount
  /** Sum of `granted` over all holder rows. */
  readonly allocated: TokenCount
}

export interface HolderRow {
  readonly incarnation: string
  /** Counts the writes of this incarnation; tells a lost answer from a lost write. */
  readonly sequence: number
  /** Tokens ever given to this incarnation, less those it gave back. */
  readonly granted: TokenCount
  /** Handed out or reserved when the row was written. */
  readonly committed: TokenCount
  /** Steady time of the store, not later than the moment of writing. */
  readonly base: Milliseconds
  /** Beyond `committed` this many tokens may be committed at once before the next write, */
  readonly burst: TokenCount
  /** and this many more for each second since `base`. */
  readonly ratePerSecond: number
  /** Tokens a second that its callers ask for; others size their holdings by it. */
  readonly demandPerSecond: number
  /** Tokens that it lacks for a request at hand. */
  readonly wanted: TokenCount
}

export function holderKey(instance: string): string {
  return `${HOLDER_PREFIX}${instance}`
}

/** The instance of a holder row's key; undefined for other keys. */
export function instanceOfKey(key: string): string | undefined {
  return key.startsWith(HOLDER_PREFIX) ? key.slice(HOLDER_PREFIX.length) : undefined
}

export function freeInPool(pool: PoolRow): TokenCount {
  return pool.limit - pool.settled - pool.allocated
}

/** The most that a holder may have committed, `elapsed` milliseconds after its row's base. */
export function committedBound(holder: HolderRow, elapsed: Milliseconds): TokenCount {
  const growth = (holder.ratePerSecond * Math.max(0, elapsed)) / 1000
  return Math.min(holder.granted, Math.floor(holder.committed + holder.burst + growth))
}

/** Ends a holding: what it may have committed counts as handed out, the rest is free again. */
export function endHolding(pool: PoolRow, holder: HolderRow, committed: TokenCount): PoolRow {
  return {
    ...pool,
    settled: pool.settled + committed,
    allocated: pool.allocated - holder.granted,
  }
}

export function encodeRow(row: PoolRow | HolderRow): string {
  return JSON.stringify(row)
}

export function decodePool(value: string): PoolRow {
  return JSON.parse(value) as PoolRow
}

export function decodeHolder(value: string): HolderRow {
  return JSON.parse(value) as HolderRow
}
