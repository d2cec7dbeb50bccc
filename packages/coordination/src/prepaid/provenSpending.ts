/**
 * The part of a budget that no event can make available again, from the rows of the budget. Tokens that requests in
 * progress reserve, and those that idle or terminated holders have not spent, are not part of it. It only grows, so
 * rows that are old prove less, and never too much.
 */

import type { TokenCount } from '@rackwalk/shared'
import type { HolderRow, PoolRow } from './prepaidRows.js'

/** Returns the tokens that were handed out, or count as handed out, according to these rows. */
export function provenSpending(
  pool: PoolRow | undefined,
  holders: readonly HolderRow[],
): TokenCount {
  if (pool === undefined) return 0
  const granted = holders.reduce((sum, holder) => sum + holder.granted, 0)
  // A holder that the pool no longer counts has ended, and `settled` contains what it spent.
  if (granted > pool.allocated) return pool.settled
  return holders.reduce((sum, holder) => sum + handedOut(holder), pool.settled)
}

/**
 * Returns the tokens that callers of a holder got when its row was written; 0 for rows of earlier software versions,
 * which do not tell which committed tokens are only reserved.
 */
export function handedOut({ committed, reserved, ahead }: HolderRow): TokenCount {
  if (reserved === undefined || ahead === undefined) return 0
  return Math.max(0, committed - reserved - ahead)
}

/**
 * Returns the limit by the newest configuration that this instance, whose limit is `limit`, or the writer of the pool row
 * knew; 0 if neither knows one.
 */
export function newestLimit(
  pool: PoolRow | undefined,
  limit: TokenCount | undefined,
  configurationVersion: number,
): TokenCount {
  const isInPool = pool !== undefined && pool.configurationVersion > configurationVersion
  return isInPool ? pool.limit : (limit ?? 0)
}
