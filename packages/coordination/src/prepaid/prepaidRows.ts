/**
 * Rows of the prepaid ledger and their stored forms. A budget is one partition of the table. It has
 * a pool row with the tokens that no instance holds, and a holder row for each instance that has
 * used the budget and not given its holding back. What an instance may hand out is bounded by its
 * holder row alone, so a crash at any moment loses at most what that row allowed. An incarnation is
 * one run of an instance's process.
 */

import * as z from 'zod'
import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'

export const PREPAID_TABLE = 'prepaid'
export const POOL_KEY = 'pool'
const HOLDER_PREFIX = 'holder/'

/**
 * The shared part of a budget. `settled + allocated` never exceeds `limit`, except after the limit
 * was lowered.
 */
export interface PoolRow {
  readonly limit: TokenCount
  /** Version of the configuration that set the limit; older versions do not change it. */
  readonly configurationVersion: number
  /** Tokens that holders that no longer exist have handed out, or that count as handed out. */
  readonly settled: TokenCount
  /** Sum of `granted` over all holder rows. */
  readonly allocated: TokenCount
  /**
   * The part of `settled` that terminated holders may or may not have handed out. For operators
   * only: an earlier software version that writes the row omits the field.
   */
  readonly assumedSpent?: TokenCount
}

/** What one incarnation holds, and how much it may spend before its next write. */
export interface HolderRow {
  readonly incarnation: string
  /** Counts the writes of this incarnation; distinguishes a lost answer from a lost write. */
  readonly sequence: number
  /** Tokens ever granted to this incarnation, minus those it gave back. */
  readonly granted: TokenCount
  /** Tokens handed out or reserved when the row was written. */
  readonly committed: TokenCount
  /**
   * Part of `committed` that requests and loans in progress reserve; absent in rows of earlier
   * software versions.
   */
  readonly reserved?: TokenCount
  /**
   * Part of `committed` that no request has asked for yet; absent in rows of earlier software
   * versions.
   */
  readonly ahead?: TokenCount
  /** A time of the store's monotonic clock, not later than the time of the write. */
  readonly base: Milliseconds
  /**
   * Tokens per second, beyond `committed`, that may be committed before the next write during the
   * strict window.
   */
  readonly strictRate: number
  /** Length of the strict window, counted from `base`. */
  readonly strictMilliseconds: Milliseconds
  /**
   * Time after `base` from which on the writer counts as without a connection to the store: it
   * would otherwise have written a newer row.
   */
  readonly cutAfterMilliseconds: Milliseconds
  /** Tokens that may be committed at once after `cutAfterMilliseconds`. */
  readonly cutBurst: TokenCount
  /** Tokens per second that may be committed in addition after `cutAfterMilliseconds`. */
  readonly cutRate: number
  /**
   * Exclusive upper bound of the tokens committed by `cutBurst` and `cutRate` together. Absent in
   * rows of earlier software versions. An earlier version that takes over a holding ignores the
   * field, and so counts more tokens as spent, never fewer.
   */
  readonly cutTokens?: TokenCount | undefined
  /**
   * Tokens per second that callers of this instance request; other instances size their holdings by
   * this rate.
   */
  readonly demandPerSecond: number
  /** Size of the largest waiting request that the write could not cover; 0 if there is none. */
  readonly wanted: TokenCount
}

/** Returns the key of an instance's holder row. */
export function holderKey(instance: string): string {
  return `${HOLDER_PREFIX}${instance}`
}

/** Returns the instance that a holder row's key names; undefined for other keys. */
export function instanceOfKey(key: string): string | undefined {
  return key.startsWith(HOLDER_PREFIX) ? key.slice(HOLDER_PREFIX.length) : undefined
}

/** Tokens of the pool that no instance holds; negative after the limit was lowered. */
export function freeInPool(pool: PoolRow): TokenCount {
  return pool.limit - pool.settled - pool.allocated
}

/** Returns the pool after a holding ended: `committed` tokens are handed out, the rest is free. */
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
  // The stored fields currently have the same names as those of the type.
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
  // Rows of earlier software versions lack this field: for them, the store counts as unreachable at
  // the end of the strict window.
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
  // The stored fields currently have the same names as those of the type.
  fromWire: wire => ({
    ...wire,
    cutAfterMilliseconds: wire.cutAfterMilliseconds ?? wire.strictMilliseconds,
  }),
})
