/**
 * Ends the holding of a terminated incarnation (an earlier run of the instance's process). Computes
 * how much of the holding counts as spent: the most that its last row allowed until the incarnation
 * had terminated. If less were counted, the budget could be overspent. Pure functions of the last
 * row and of the time by which the incarnation had terminated.
 */

import { committedBound } from '@rackwalk/decisions'
import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import { endHolding } from './prepaidRows.js'
import type { HolderRow, PoolRow } from './prepaidRows.js'

/** An earlier incarnation's holding, and how much of it counts as handed out. */
export interface Takeover {
  readonly incarnation: string
  readonly granted: TokenCount
  /** Tokens committed according to the incarnation's last row. */
  readonly recorded: TokenCount
  /** Part of `recorded` that requests and loans in progress reserved. */
  readonly reserved: TokenCount
  /** Part of `recorded` that no request had asked for yet. */
  readonly ahead: TokenCount
  /** Tokens that the row allowed beyond `recorded` until the incarnation terminated. */
  readonly allowed: TokenCount
  /**
   * The most that the incarnation can have committed; the rest of the holding becomes free again.
   */
  readonly assumed: TokenCount
}

/** The incarnation that takes over, and the time by which its predecessor had terminated. */
interface Successor {
  readonly incarnation: string
  /** A store time by which the earlier incarnation had terminated. */
  readonly terminatedBefore: Milliseconds | undefined
}

/**
 * Returns the takeover of a row by its successor; undefined if the row belongs to the successor
 * itself.
 */
export function takeoverOf(
  row: HolderRow | undefined,
  { incarnation, terminatedBefore }: Successor,
): Takeover | undefined {
  if (row === undefined || row.incarnation === incarnation) return undefined
  const assumed = boundAtTermination(row, terminatedBefore)
  return {
    incarnation: row.incarnation,
    granted: row.granted,
    recorded: row.committed,
    reserved: row.reserved ?? 0,
    ahead: row.ahead ?? 0,
    allowed: assumed - row.committed,
    assumed,
  }
}

/** Returns the pool after the holding of a terminated incarnation was ended. */
export function endTerminatedHolding(pool: PoolRow, row: HolderRow, takeover: Takeover): PoolRow {
  const { reserved, ahead, allowed, assumed } = takeover
  const assumedSpent = (pool.assumedSpent ?? 0) + reserved + ahead + allowed
  return { ...endHolding(pool, row, assumed), assumedSpent }
}

function boundAtTermination(
  row: HolderRow,
  terminatedBefore: Milliseconds | undefined,
): TokenCount {
  // If the time of the termination is unknown, the whole holding may have been spent.
  if (terminatedBefore === undefined) return row.granted
  return committedBound(row, terminatedBefore - row.base)
}
