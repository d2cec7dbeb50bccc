/**
 * Plans the next write of one holder. A pure function of its inputs: decides which requests the
 * write admits, how the holding changes, and how much may be spent before the following write.
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
import { endDeadHolding, takeoverOf } from './takeover.js'
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
  readonly granted: TokenCount
  readonly committed: TokenCount
  /** Part of `committed` that requests and loans in progress reserve. */
  readonly reserved: TokenCount
  readonly sequence: number
  /** Waiting requests, in order of arrival. */
  readonly requests: readonly TokenCount[]
  /** A time that the store's clock has reached. */
  readonly storeTime: Milliseconds
  /** A store time by which the earlier incarnation had terminated. */
  readonly diedBefore: Milliseconds | undefined
  readonly policy: HoldingPolicy
  /** Maximum time between two writes while tokens are being spent. */
  readonly recordMilliseconds: Milliseconds
  /** Tokens per second that this instance commits. */
  readonly spendingPerSecond: number
  readonly budgetView: BudgetView
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
   * Whether the plan is valid only for the known pool: it changes the pool, or finds too few tokens
   * in it. A write that is not conditional on the pool's version would never detect that the pool
   * was refilled.
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
 * A holding that lasts at least this long at its own demand allows the full requested rate in the
 * strict window; one that lasts `SHORT_HOLDING_SECONDS` or less allows only the rate of previous
 * spending.
 */
const LONG_HOLDING_SECONDS = 10
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
 * Whether the next write takes tokens from the pool, gives some back or sets the pool's limit;
 * computes only the pool part of the plan.
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

/** Returns the pool with the newest limit, and with an earlier incarnation's holding ended. */
function poolBefore(inputs: WriteInputs, takeover: Takeover | undefined): PoolRow {
  const { pool, previous, limit, configurationVersion } = inputs
  const known = pool ?? { limit, configurationVersion, settled: 0, allocated: 0 }
  const isNewer = configurationVersion > known.configurationVersion && limit !== known.limit
  const limited = isNewer ? { ...known, limit, configurationVersion } : known
  if (previous === undefined || takeover === undefined) return limited
  return endDeadHolding(limited, previous, takeover)
}

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

/** Returns the tokens to take from the pool, negative if tokens are given back. */
function holdingChange(inputs: WriteInputs, pool: PoolRow, rest: TokenCount): TokenCount {
  const { policy, budgetView } = inputs
  const free = freeInPool(pool)
  const tolerance = rebalanceTolerance(budgetView)
  const needed = Math.max(0, -rest)
  const target = Math.max(0, policy.target({ ...budgetView, free }))
  const floor =
    inputs.othersWant > 0
      ? Math.max(inputs.othersWant, policy.poolFloor(budgetView))
      : policy.poolFloor(budgetView)
  const after = rest + needed
  if (free < 0) return -Math.min(after, -free)
  if (after < target * (1 - tolerance)) {
    return needed + Math.max(0, Math.min(target - after, free - needed - floor))
  }
  const isShortElsewhere = free < floor / 2 || inputs.othersWant > free
  const excess = after - target * (isShortElsewhere ? 1 : 1 + tolerance)
  const tolerated = target > 0 ? Math.max(1, target * tolerance) : 0
  if (excess > tolerated) return needed - Math.floor(after - target)
  if (inputs.othersWant > free) return needed - tokensToRelease(inputs, after, free)
  return needed
}

/** Whether the holding stays below its target because the pool has no more tokens. */
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
 * Tokens to give back because another instance lacks them for a request in progress; at most half
 * of the unspent ones.
 */
function tokensToRelease(inputs: WriteInputs, after: TokenCount, free: TokenCount): TokenCount {
  const holders = inputs.budgetView.others.length
  const missing = inputs.othersWant - free
  const part = Math.ceil((2 * missing) / Math.max(1, holders))
  return Math.floor(Math.min(after / 2, part))
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
 * Tokens per second that callers are expected to take before the next write. Refused callers spend
 * nothing, so the requested rate counts while the holding lasts. Towards the end of the holding,
 * the spending rate counts, since a crash loses the whole bound.
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
