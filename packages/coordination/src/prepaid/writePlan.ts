/**
 * Plans the next write of one holder (an instance that holds tokens of a budget). A pure function
 * of its inputs: decides which waiting requests the write covers, how many tokens move between pool
 * and holding, whether the write ends the holding of an earlier incarnation (an earlier run of the
 * instance's process), and how much may be spent before the following write.
 *
 * Without these rules, tokens would stay with instances that have no demand while requests wait at
 * others, and what an earlier incarnation left unspent would never return to the pool. Nor could
 * a crashed instance's unrecorded spending be bounded, so the budget could be overspent.
 */

import {
  DISCONNECTED_AFTER_MILLISECONDS,
  disconnectedAllowance,
  rebalanceTolerance,
  secondsToExhaustion,
  strictWindowMilliseconds,
  precommittedTokens,
} from '@rackwalk/decisions'
import type { BudgetView, HoldingPolicy } from '@rackwalk/decisions'
import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import { freeInPool } from './prepaidRows.js'
import type { HolderRow, PoolRow } from './prepaidRows.js'
import { endTerminatedHolding, takeoverOf } from './takeover.js'
import type { Takeover } from './takeover.js'

/** Inputs of a write plan. */
export interface WriteInputs {
  readonly pool: PoolRow | undefined
  /** The row under this instance's key; at the first write, that of an earlier incarnation. */
  readonly previous: HolderRow | undefined
  readonly instance: string
  readonly incarnation: string
  readonly limit: TokenCount
  readonly configurationVersion: number
  /** Tokens that the row to be replaced grants to this incarnation. */
  readonly granted: TokenCount
  /** Tokens that this incarnation has handed out or reserved. */
  readonly committed: TokenCount
  /** Part of `committed` that requests and loans in progress reserve. */
  readonly reserved: TokenCount
  readonly sequence: number
  /** Tokens of the waiting requests, in order of arrival. */
  readonly requests: readonly TokenCount[]
  /** A time that the store's clock has reached. */
  readonly storeTime: Milliseconds
  /** A store time by which the earlier incarnation had terminated. */
  readonly terminatedBefore: Milliseconds | undefined
  readonly policy: HoldingPolicy
  /** Maximum time between two writes while tokens are being spent. */
  readonly recordMilliseconds: Milliseconds
  /** Tokens per second that this instance commits. */
  readonly spendingPerSecond: number
  readonly budgetView: BudgetView
  /**
   * Sum over the other holders of the largest request that waits there uncovered, each at its whole
   * size (`HolderRow.wanted`), whatever the holder still has.
   */
  readonly othersWant: TokenCount
}

/** The next write, and the requests that it covers. */
export interface WritePlan {
  readonly pool: PoolRow
  readonly holder: HolderRow
  /** Tokens that `holder.committed` counts before any request asked for them. */
  readonly ahead: TokenCount
  readonly changesPool: boolean
  /**
   * Whether the plan is valid only for the known pool: it changes the pool, leaves a waiting
   * request uncovered, or leaves the holding below its target. If a write that finds too few tokens
   * were not conditional on the pool's version, a refilled pool would go unnoticed.
   */
  readonly dependsOnPool: boolean
  /** Set if the write ends an earlier incarnation's holding. */
  readonly takeover: Takeover | undefined
  /** Positions in `requests` that the write covers. */
  readonly admitted: readonly number[]
}

/** Factor on the strict demand that sets `strictRate`; 1 allows the demand itself. */
const STRICT_DEMAND_FACTOR = 1
/**
 * A holding that lasts at least this long at the demand of its own callers allows the full rate of
 * this demand in the strict window.
 */
const LONG_HOLDING_SECONDS = 10
/**
 * A holding that lasts this long or less allows only the rate of the previous spending. Between the
 * two limits the rate is interpolated.
 */
const SHORT_HOLDING_SECONDS = 2

/** Returns the next write, and the requests that it covers. */
export function planWrite(inputs: WriteInputs): WritePlan {
  const { takeover, admission, pool, granted, changesPool } = planPool(inputs)
  const committed = inputs.committed + admission.tokens
  const ahead = precommittedTokens(granted - committed, inputs.budgetView)
  return {
    pool,
    holder: {
      ...holderRow(inputs, granted, committed, admission.missing),
      committed: committed + ahead,
      reserved: inputs.reserved + admission.tokens,
      ahead,
    },
    ahead,
    changesPool,
    dependsOnPool:
      changesPool || admission.missing > 0 || isBelowTarget(inputs, pool, granted - committed),
    takeover,
    admitted: admission.positions,
  }
}

/**
 * Whether the next write creates the pool row, takes tokens from the pool, gives some back, sets
 * the pool's limit or ends an earlier incarnation's holding; computes only the pool part of the
 * plan.
 */
export function wouldChangePool(inputs: WriteInputs): boolean {
  return planPool(inputs).changesPool
}

function planPool(inputs: WriteInputs) {
  const takeover = takeoverOf(inputs.previous, inputs)
  const before = poolBefore(inputs, takeover)
  const unspent = inputs.granted - inputs.committed
  const admission = admit(inputs.requests, Math.max(0, unspent) + Math.max(0, freeInPool(before)))
  const change = holdingChange(inputs, before, unspent - admission.tokens)
  const pool = { ...before, allocated: before.allocated + change }
  const changesPool = inputs.pool === undefined || !isSamePool(pool, inputs.pool)
  return { takeover, admission, pool, granted: inputs.granted + change, changesPool }
}

/**
 * Returns the pool as the plan starts from: with the newest limit, and with an earlier
 * incarnation's holding ended.
 */
function poolBefore(inputs: WriteInputs, takeover: Takeover | undefined): PoolRow {
  const { pool, previous, limit, configurationVersion } = inputs
  const known = pool ?? { limit, configurationVersion, settled: 0, allocated: 0 }
  const isNewer = configurationVersion > known.configurationVersion && limit !== known.limit
  const limited = isNewer ? { ...known, limit, configurationVersion } : known
  if (previous === undefined || takeover === undefined) return limited
  return endTerminatedHolding(limited, previous, takeover)
}

/**
 * Admits the requests that the available tokens cover, in order of arrival; a request that is too
 * large does not block smaller ones behind it. `missing` is the size of the largest request that is
 * not admitted.
 */
function admit(requests: readonly TokenCount[], available: TokenCount) {
  const positions: number[] = []
  let tokens = 0
  let missing = 0
  for (const [position, request] of requests.entries()) {
    if (tokens + request <= available) {
      positions.push(position)
      tokens += request
    } else missing = Math.max(missing, request)
  }
  return { positions, tokens, missing }
}

/**
 * Returns the tokens to take from the pool, negative if tokens are given back. `remaining` is what
 * is left of the holding after the admitted requests, negative if they exceed the holding. The pool
 * first covers what they lack, and `unspent` is what the holding then has. To reach its target the
 * holding takes only tokens of the pool beyond `poolMinimum`.
 */
function holdingChange(inputs: WriteInputs, pool: PoolRow, remaining: TokenCount): TokenCount {
  const { policy, budgetView } = inputs
  const free = freeInPool(pool)
  const tolerance = rebalanceTolerance(budgetView)
  const needed = Math.max(0, -remaining)
  const target = Math.max(0, policy.target({ ...budgetView, free }))
  const poolMinimum =
    inputs.othersWant > 0
      ? Math.max(inputs.othersWant, policy.poolFloor(budgetView))
      : policy.poolFloor(budgetView)
  const unspent = remaining + needed
  if (free < 0) return -Math.min(unspent, -free)
  if (unspent < target * (1 - tolerance)) {
    return needed + Math.max(0, Math.min(target - unspent, free - needed - poolMinimum))
  }
  const isShortElsewhere = free < poolMinimum / 2 || inputs.othersWant > free
  const excess = unspent - target * (isShortElsewhere ? 1 : 1 + tolerance)
  const tolerated = target > 0 ? Math.max(1, target * tolerance) : 0
  if (excess > tolerated) return needed - Math.floor(unspent - target)
  if (inputs.othersWant > free) return needed - tokensToRelease(inputs, unspent, free)
  return needed
}

/**
 * Whether the holding is below its target by more than the tolerance even after the planned change:
 * the pool has too few tokens above its floor.
 */
function isBelowTarget(
  { policy, budgetView }: WriteInputs,
  pool: PoolRow,
  unspent: TokenCount,
): boolean {
  const tolerance = rebalanceTolerance(budgetView)
  const target = policy.target({ ...budgetView, free: freeInPool(pool), ownUnspent: unspent })
  return unspent < target * (1 - tolerance)
}

/**
 * Returns the tokens to give back because requests that wait at other instances exceed the free
 * tokens of the pool: twice an equal part of what the pool lacks for them, but at most half of the
 * unspent tokens.
 */
function tokensToRelease(inputs: WriteInputs, unspent: TokenCount, free: TokenCount): TokenCount {
  const holders = inputs.budgetView.others.length
  const missing = inputs.othersWant - free
  const part = Math.ceil((2 * missing) / Math.max(1, holders))
  return Math.floor(Math.min(unspent / 2, part))
}

function holderRow(
  inputs: WriteInputs,
  granted: TokenCount,
  committed: TokenCount,
  wanted: TokenCount,
): HolderRow {
  const { ownDemandPerSecond } = inputs.budgetView
  const unspent = Math.max(0, granted - committed)
  const strictRate = Math.ceil(STRICT_DEMAND_FACTOR * strictDemand(inputs, unspent))
  const strictMilliseconds = strictWindowMilliseconds(
    secondsToExhaustion(inputs.budgetView),
    inputs.recordMilliseconds,
  )
  const strictTokens = (strictRate * strictMilliseconds) / 1000
  return {
    incarnation: inputs.incarnation,
    sequence: inputs.sequence,
    granted,
    committed,
    base: inputs.storeTime,
    strictRate,
    strictMilliseconds,
    cutAfterMilliseconds: DISCONNECTED_AFTER_MILLISECONDS,
    ...disconnectedAllowance(inputs.budgetView, unspent, strictTokens),
    demandPerSecond: Math.round(ownDemandPerSecond),
    wanted,
  }
}

/**
 * Returns the tokens per second that callers are expected to take before the next write. Refused
 * callers spend nothing, so the rate of all requests counts while the holding lasts. Towards the
 * end of the holding, only the rate of spending counts, since a crash loses all that the row
 * allows.
 */
function strictDemand({ spendingPerSecond, budgetView }: WriteInputs, unspent: TokenCount): number {
  const refused = Math.max(0, budgetView.ownDemandPerSecond - spendingPerSecond)
  const seconds = unspent / Math.max(1, budgetView.ownDemandPerSecond)
  const position =
    (seconds - SHORT_HOLDING_SECONDS) / (LONG_HOLDING_SECONDS - SHORT_HOLDING_SECONDS)
  return spendingPerSecond + refused * Math.max(0, Math.min(1, position))
}

function isSamePool(left: PoolRow, right: PoolRow): boolean {
  return (
    left.limit === right.limit &&
    left.settled === right.settled &&
    left.allocated === right.allocated
  )
}
