/**
 * Rows of the prepaid ledger and their stored forms. A budget is one partition: a pool row, and a holder
 * row for each instance that drew on it. What an instance may hand out is bounded by its holder row alone,
 * so that a death at any moment loses at most what that row allowed.
 */

import * as z from 'zod'
import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'

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
  /**
   * Part of `settled` that dead holders may have handed out, or not. For operators only: an earlier version
   * that writes the row leaves it out.
   */
  readonly assumedSpent?: TokenCount
}

/** What one incarnation holds, and may spend before its next write. */
export interface HolderRow {
  readonly incarnation: string
  /** Counts the writes of this incarnation; tells a lost answer from a lost write. */
  readonly sequence: number
  /** Tokens ever given to this incarnation, less those it gave back. */
  readonly granted: TokenCount
  /** Handed out or reserved when the row was written. */
  readonly committed: TokenCount
  /** Part of `committed` that requests and loans in progress reserve; absent in rows of earlier versions. */
  readonly reserved?: TokenCount
  /** Part of `committed` that nobody has asked for yet; absent in rows of earlier versions. */
  readonly ahead?: TokenCount
  /** Steady time of the store, not later than the moment of writing. */
  readonly base: Milliseconds
  /** Beyond `committed`, tokens a second that may be committed before the next write, */
  readonly strictRate: number
  /** while no more than this time has passed since `base`; */
  readonly strictMilliseconds: Milliseconds
  /** after this time, when the store is evidently out of reach, so many at once, */
  readonly cutAfterMilliseconds: Milliseconds
  readonly cutBurst: TokenCount
  /** and so many a second, */
  readonly cutRate: number
  /** all together fewer than this. Rows of earlier versions have none, and earlier versions assume more. */
  readonly cutTokens?: TokenCount | undefined
  /** Tokens a second that its callers ask for; others size their holdings by it. */
  readonly demandPerSecond: number
  /** Tokens that it lacks for a request at hand. */
  readonly wanted: TokenCount
}

/** The key of an instance's holder row. */
export function holderKey(instance: string): string {
  return `${HOLDER_PREFIX}${instance}`
}

/** The instance of a holder row's key; undefined for other keys. */
export function instanceOfKey(key: string): string | undefined {
  return key.startsWith(HOLDER_PREFIX) ? key.slice(HOLDER_PREFIX.length) : undefined
}

/** Tokens of the pool that nobody holds; negative after the limit was lowered. */
export function freeInPool(pool: PoolRow): TokenCount {
  return pool.limit - pool.settled - pool.allocated
}

/** Ends a holding: what it may have committed counts as handed out, the rest is free again. */
export function endHolding(pool: PoolRow, holder: HolderRow, committed: TokenCount): PoolRow {
  return {
    ...pool,
    settled: pool.settled + committed,
    allocated: pool.allocated - holder.granted,
  }
}

const poolSchema = z.object({
  limit: z.number(),
  configurationVersion: z.number(),
  settled: z.number(),
  allocated: z.number(),
  assumedSpent: z.number().optional(),
})

type PoolWire = z.infer<typeof poolSchema>

/** The stored form of a pool row. */
export const poolRowCodec = new JsonCodec<PoolWire, PoolRow>({
  schema: poolSchema,
  toWire: ({ limit, configurationVersion, settled, allocated, assumedSpent }) => ({
    limit,
    configurationVersion,
    settled,
    allocated,
    assumedSpent,
  }),
  // The names in the store are those of the type at present.
  fromWire: wire => wire,
})

const holderSchema = z.object({
  incarnation: z.string(),
  sequence: z.number(),
  granted: z.number(),
  committed: z.number(),
  reserved: z.number().optional(),
  ahead: z.number().optional(),
  base: z.number(),
  strictRate: z.number(),
  strictMilliseconds: z.number(),
  // Rows of earlier versions have none: for them a cut is evident when the first time is over.
  cutAfterMilliseconds: z.number().optional(),
  cutBurst: z.number(),
  cutRate: z.number(),
  cutTokens: z.number().optional(),
  demandPerSecond: z.number(),
  wanted: z.number(),
})

type HolderWire = z.infer<typeof holderSchema>

function holderToWire(row: HolderRow): HolderWire {
  return {
    incarnation: row.incarnation,
    sequence: row.sequence,
    granted: row.granted,
    committed: row.committed,
    reserved: row.reserved,
    ahead: row.ahead,
    base: row.base,
    strictRate: row.strictRate,
    strictMilliseconds: row.strictMilliseconds,
    cutAfterMilliseconds: row.cutAfterMilliseconds,
    cutBurst: row.cutBurst,
    cutRate: row.cutRate,
    cutTokens: row.cutTokens,
    demandPerSecond: row.demandPerSecond,
    wanted: row.wanted,
  }
}

/** The stored form of a holder row. */
export const holderRowCodec = new JsonCodec<HolderWire, HolderRow>({
  schema: holderSchema,
  toWire: holderToWire,
  // The names in the store are those of the type at present.
  fromWire: wire => ({
    ...wire,
    cutAfterMilliseconds: wire.cutAfterMilliseconds ?? wire.strictMilliseconds,
  }),
})
