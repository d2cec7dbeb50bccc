/**
 * The row of one budget of the OpenAI-style kind: its stored form, and pure functions that apply
 * exchanges, transfers and the reclaiming of a holder. A holder is an incarnation (one run of an
 * instance's process) with tokens of the budget. Folding means including the entries of a holder's
 * journal in the row, each exactly once.
 */

import * as z from 'zod'
import { JsonCodec } from '@rackwalk/stores'
import { idSchema, identityMapping } from '../rowCodecs.js'
import type { BudgetId, IncarnationId, RegionId, TeamId, TokenCount } from '@rackwalk/shared'

/** One incarnation's holding of a budget. */
export interface Holding {
  readonly region: RegionId
  /**
   * Tokens moved out of the budget for this incarnation and not yet settled. Negative while tokens
   * that it borrowed and spent still count as the lender's.
   */
  readonly allocated: TokenCount
  /**
   * Number of the last exchange that took effect; distinguishes a lost answer from a lost write.
   */
  readonly exchange: number
  /** Tokens that this exchange granted. */
  readonly lastGranted: TokenCount
  /**
   * Journal entries up to this index are already included in `settled` or credited to their
   * borrower.
   */
  readonly foldedIndex: number
  /**
   * Set if the incarnation was reclaimed before its lenders had folded all transfers to it, so that
   * `allocated` was negative.
   */
  readonly sealed?: boolean
}

/**
 * The row of one budget. `settled` plus all allocated tokens never exceeds `limit`, except after an
 * operator lowered the limit below that sum; then nothing is granted until the sum fits.
 */
export interface BudgetRow {
  readonly budgetId: BudgetId
  readonly teamId: TeamId
  readonly limit: TokenCount
  /** Tokens spent, as far as they are folded. */
  readonly settled: TokenCount
  readonly holders: Readonly<Record<IncarnationId, Holding>>
  /** The row of a deleted budget is kept, so that its versions never restart. */
  readonly deleted?: boolean
}

/** Tokens transferred to another incarnation, as folded into the row. */
export interface FoldedTransfer {
  readonly borrower: IncarnationId
  readonly tokens: TokenCount
}

/** One holder's update of the row: what it spent, lent and gives back, and what it requests. */
export interface ExchangeRequest {
  readonly incarnation: IncarnationId
  readonly region: RegionId
  /** Increases by one with each exchange of this holder on this budget. */
  readonly exchange: number
  /** Index of the last journal entry that the exchange folds. */
  readonly foldThrough: number
  readonly spent: TokenCount
  readonly transfers: readonly FoldedTransfer[]
  readonly returned: TokenCount
  readonly wanted: TokenCount
}

/** Creates a row without holders. */
export function createBudgetRow(budgetId: BudgetId, teamId: TeamId, limit: TokenCount): BudgetRow {
  return { budgetId, teamId, limit, settled: 0, holders: {} }
}

/** Tokens that all holders have together. */
export function allocatedTokens(row: BudgetRow): TokenCount {
  return Object.values(row.holders).reduce((sum, holding) => sum + holding.allocated, 0)
}

/** Tokens that can still be granted; never negative. */
export function freeTokens(row: BudgetRow): TokenCount {
  if (row.deleted) return 0
  return Math.max(0, row.limit - row.settled - allocatedTokens(row))
}

/**
 * Whether the requesting incarnation was sealed and reclaimed: it made an exchange before but has
 * no holding in the row, or its holding is marked as sealed.
 */
export function wasReclaimed(row: BudgetRow, request: ExchangeRequest): boolean {
  const holding = row.holders[request.incarnation]
  if (holding === undefined) return request.exchange > 1
  return holding.sealed === true
}

/** Whether this exchange has already taken effect. */
export function wasApplied(row: BudgetRow, request: ExchangeRequest): boolean {
  const holding = row.holders[request.incarnation]
  return holding !== undefined && holding.exchange >= request.exchange
}

/** Applies an exchange; `granted` is the wanted tokens, as far as the row has free ones. */
export function applyExchange(
  row: BudgetRow,
  request: ExchangeRequest,
): { readonly row: BudgetRow; readonly granted: TokenCount } {
  const folded = foldTransfers(foldSpending(row, request), request.transfers)
  const granted = Math.min(request.wanted, freeTokens(folded))
  const holding = folded.holders[request.incarnation]
  if (holding === undefined)
    throw new Error('folding removed the holding of the exchanging incarnation')
  const updated = { ...holding, allocated: holding.allocated + granted, lastGranted: granted }
  return { row: withHolding(folded, request.incarnation, updated), granted }
}

/**
 * Removes a sealed holder: its tokens are spent, credited to their borrowers, or free again. A
 * holder whose lenders have not folded all transfers yet has a negative remainder, and stays in the
 * row until they do.
 */
export function reclaimHolding(
  row: BudgetRow,
  incarnation: IncarnationId,
  spent: TokenCount,
  transfers: readonly FoldedTransfer[],
): BudgetRow {
  const holding = row.holders[incarnation]
  if (holding === undefined || holding.sealed) return row
  const rest = holding.allocated - spent - sumOf(transfers)
  const settled = { ...row, settled: row.settled + spent }
  const moved = foldTransfers(settled, transfers)
  if (rest >= 0) return withoutHolding(moved, incarnation)
  return withHolding(moved, incarnation, { ...holding, allocated: rest, sealed: true })
}

/**
 * Sets a new limit, and restores a deleted budget. Allocated tokens stay allocated; a lower limit
 * only stops further grants.
 */
export function withLimit(row: BudgetRow, limit: TokenCount): BudgetRow {
  return { ...row, limit, deleted: undefined }
}

function foldSpending(row: BudgetRow, request: ExchangeRequest): BudgetRow {
  const holding = row.holders[request.incarnation] ?? emptyHolding(request.region)
  const leaving = request.spent + sumOf(request.transfers) + request.returned
  const updated: Holding = {
    ...holding,
    allocated: holding.allocated - leaving,
    exchange: request.exchange,
    foldedIndex: request.foldThrough,
  }
  const settled = { ...row, settled: row.settled + request.spent }
  return withHolding(settled, request.incarnation, updated)
}

function foldTransfers(row: BudgetRow, transfers: readonly FoldedTransfer[]): BudgetRow {
  return transfers.reduce((current, transfer) => {
    // Only holders borrow, so a borrower without a holding was reclaimed, and its part is free.
    const holding = current.holders[transfer.borrower]
    if (holding === undefined) return current
    const allocated = holding.allocated + transfer.tokens
    if (holding.sealed && allocated >= 0) return withoutHolding(current, transfer.borrower)
    return withHolding(current, transfer.borrower, { ...holding, allocated })
  }, row)
}

function withoutHolding(row: BudgetRow, incarnation: IncarnationId): BudgetRow {
  const kept = Object.entries(row.holders).filter(([holder]) => holder !== incarnation)
  return { ...row, holders: Object.fromEntries(kept) as BudgetRow['holders'] }
}

function withHolding(row: BudgetRow, incarnation: IncarnationId, holding: Holding): BudgetRow {
  return { ...row, holders: { ...row.holders, [incarnation]: holding } }
}

function emptyHolding(region: RegionId): Holding {
  return {
    region,
    allocated: 0,
    exchange: 0,
    lastGranted: 0,
    foldedIndex: 0,
  }
}

function sumOf(transfers: readonly FoldedTransfer[]): TokenCount {
  return transfers.reduce((sum, transfer) => sum + transfer.tokens, 0)
}

const holdingSchema = z.object({
  region: idSchema<RegionId>(),
  allocated: z.number(),
  exchange: z.number(),
  lastGranted: z.number(),
  foldedIndex: z.number(),
  sealed: z.boolean().optional(),
})

const budgetSchema = z.object({
  budgetId: idSchema<BudgetId>(),
  teamId: idSchema<TeamId>(),
  limit: z.number(),
  settled: z.number(),
  holders: z.record(z.string(), holdingSchema) as z.ZodType<BudgetRow['holders']>,
  deleted: z.boolean().optional(),
})

/** The stored form of a budget's row. */
export const budgetRowCodec = new JsonCodec(identityMapping<BudgetRow>(budgetSchema))
