/**
 * The guarantees that are checked in every explored run. The checkers read only what callers, endpoints
 * and the table observed, never the state that a node keeps in memory.
 */

import type { BudgetId, IncarnationId } from '@rackwalk/shared'
import { allocatedTokens, foldBills, readJournal, tableKeys } from '@rackwalk/coordination'
import type { BudgetRow, SettleEntry } from '@rackwalk/coordination'
import type { MemoryTable } from '../platform/memoryTable.js'
import type { History } from './history.js'

/** A run violated one of the checked guarantees. */
export class GuaranteeViolation extends Error {
  constructor(
    readonly guarantee: string,
    detail: string,
  ) {
    super(`${guarantee}: ${detail}`)
  }
}

/** The parts of a run that the checkers read. */
export interface CheckedRun {
  readonly table: MemoryTable
  readonly history: History
  readonly budgets: readonly BudgetId[]
  /** The highest limit that each budget has had in the run. */
  readonly highestLimits: ReadonlyMap<BudgetId, number>
  readonly nodes: readonly { readonly incarnation: IncarnationId }[]
  /** Errors that the code under test must not throw but did. */
  readonly unexpectedErrors: readonly unknown[]
}

/** Checks the guarantees that must hold at every point of a run. */
export async function checkAlways(run: CheckedRun): Promise<void> {
  for (const budgetId of run.budgets) {
    checkSpend(run, budgetId)
    await checkRow(run, budgetId)
  }
  checkExecutions(run)
  checkRefusals(run)
  if (run.unexpectedErrors.length > 0) throw run.unexpectedErrors[0]
}

/** Checks the guarantees that must hold after all faults are healed and all pending work is done. */
export async function checkAtEnd(run: CheckedRun): Promise<void> {
  await checkAlways(run)
  const bills = await readBills(run)
  checkBilledOnce(run, bills)
  for (const budgetId of run.budgets) await checkBooks(run, budgetId, bills)
}

/** Checks that a team's spend doesn't exceed its prepaid budget. */
function checkSpend(run: CheckedRun, budgetId: BudgetId): void {
  const spent = run.history.deliveredTokens(budgetId)
  const limit = run.highestLimits.get(budgetId) ?? 0
  if (spent > limit) throw new GuaranteeViolation('overspend', `${budgetId} ${spent} > ${limit}`)
}

/** Checks that the settled and allocated tokens of a budget's row don't exceed its limit. */
async function checkRow(run: CheckedRun, budgetId: BudgetId): Promise<void> {
  const row = await readRow(run, budgetId)
  const promised = row.settled + allocatedTokens(row)
  const limit = run.highestLimits.get(budgetId) ?? 0
  if (promised > limit) {
    throw new GuaranteeViolation('row', `${budgetId} promises ${promised} of ${limit}`)
  }
}

/** Checks that a request that is marked as not repeatable runs at most once. */
function checkExecutions(run: CheckedRun): void {
  const executed = new Set<string>()
  for (const request of run.history.requests) {
    if (request.repeatable || !request.executed) continue
    if (executed.has(request.key)) throw new GuaranteeViolation('at most once', request.key)
    executed.add(request.key)
  }
}

/** Checks that a request that was refused as "not run" did not run. */
function checkRefusals(run: CheckedRun): void {
  const executedRefusal = run.history.requests.find(
    request => request.refusedWith !== undefined && request.executed,
  )
  if (executedRefusal !== undefined)
    throw new GuaranteeViolation('not run', executedRefusal.requestId)
}

/** Checks that each request whose answer was delivered is billed exactly once. */
function checkBilledOnce(run: CheckedRun, bills: readonly SettleEntry[]): void {
  const billed = new Map(bills.map(bill => [bill.billKey, bill]))
  for (const request of run.history.requests) {
    if (request.deliveredTokens === undefined) continue
    const tokens = billed.get(request.key)?.billedTokens
    if (tokens !== request.deliveredTokens) {
      const detail = `${request.requestId} got ${request.deliveredTokens}, billed ${tokens}`
      throw new GuaranteeViolation('billed once', detail)
    }
  }
}

/** Checks that, after all allocations are returned, settled equals billed and no tokens stay allocated. */
async function checkBooks(
  run: CheckedRun,
  budgetId: BudgetId,
  bills: readonly SettleEntry[],
): Promise<void> {
  const row = await readRow(run, budgetId)
  const billed = bills
    .filter(bill => bill.budgetId === budgetId)
    .reduce((sum, bill) => sum + bill.billedTokens, 0)
  if (row.settled !== billed) {
    throw new GuaranteeViolation('books', `${budgetId} settled ${row.settled}, billed ${billed}`)
  }
  const left = allocatedTokens(row)
  if (left !== 0)
    throw new GuaranteeViolation('stranded', `${budgetId} ${JSON.stringify(row.holders)}`)
}

async function readBills(run: CheckedRun): Promise<readonly SettleEntry[]> {
  const journals = await Promise.all(
    run.nodes.map(async node => (await readJournal(run.table, node.incarnation)).slots),
  )
  return foldBills(journals).bills
}

async function readRow(run: CheckedRun, budgetId: BudgetId): Promise<BudgetRow> {
  const stored = await run.table.get(tableKeys.budgetKey(budgetId))
  return stored?.value as unknown as BudgetRow
}
