/**
 * What does the next write of one holder say? A pure function of what is known: which requests it admits,
 * how the holding changes, and how much may be spent before the write after it.
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

/** What the plan rests on. */
export interface WriteInputs {
  readonly pool: PoolRow | undefined
  /** The row under this instance's key; another incarnation's at the first write. */
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
  /** Requests that wait, first come first. */
  readonly requests: readonly TokenCount[]
  /** A time that the store's clock has reached. */
  readonly storeTime: Milliseconds
  /** A time of the store at which an earlier incarnation was dead. */
  readonly diedBefore: Milliseconds | undefined
  readonly policy: HoldingPolicy
  /** Longest time between two writes while tokens are spent. */
  readonly recordMilliseconds: Milliseconds
  /** Tokens a second that this instance commits. */
  readonly spendingPerSecond: number
  readonly budgetView: BudgetView
  readonly othersWant: TokenCount
}

/** The next write, and the requests that it covers. */
export interface WritePlan {
  readonly pool: PoolRow
  readonly holder: HolderRow
  /** Tokens that `holder.committed` counts before anybody asked for them. */
  readonly ahead: TokenCount
  readonly changesPool: boolean
  /**
   * Whether the plan is right only for the pool that it knows: it changes the pool, or finds too
   * little there. A write that rests on no version of the pool never learns that it has filled.
   */
  readonly dependsOnPool: boolean
  /** Set where the write ends an earlier incarnation's holding. */
  readonly takeover: Takeover | undefined
  /** Positions in `requests` that the write covers. */
  readonly admitted: readonly number[]
}

/** Times the present spending that the first time allows: the demand once. */
const STRICT_DEMAND_FACTOR = 1
/**
 * A holding that lasts this long at its own demand lets callers take what they ask for in the first time, and
 * one that lasts `SHORT_HOLDING_SECONDS` only what they took before.
 */
const LONG_HOLDING_SECONDS = 10
const SHORT_HOLDING_SECONDS = 2

/** The next write, and the requests that it covers. */
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

/** Whether the next write takes from the pool, gives back or sets its limit: a part of the whole plan. */
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

/** The pool with the newest limit, and with an earlier incarnation's holding ended. */
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

/** Tokens to take from the pool, or to give back where negative. */
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

/** Whether the holding stays below its target, since the pool has no more. */
function isBelowTarget(
  { policy, budgetView }: WriteInputs,
  pool: PoolRow,
  unspent: TokenCount,
): boolean {
  const tolerance = rebalanceTolerance(budgetView)
  const target = policy.target({ ...budgetView, free: freeInPool(pool), ownUnspent: unspent })
  return unspent < target * (1 - tolerance)
}

/** Another instance lacks tokens for a request at hand: half of what is unspent may go. */
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
 * Tokens a second that callers will take before the next write. Refused callers spend nothing, so while the
 * holding lasts what they ask for counts; towards its end what is spent, since a death loses the bound.
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
