/**
 * The promises that exploration holds each run to. Each reads what callers, endpoints and the table saw,
 * never what a node believes.
 */

import type { BudgetId, IncarnationId } from '@rackwalk/shared'
import { allocatedTokens, foldBills, readJournal, tableKeys } from '@rackwalk/coordination'
import type { BudgetRow, SettleEntry } from '@rackwalk/coordination'
import type { MemoryTable } from '../platform/memoryTable.js'
import type { History } from './history.js'

/** A promise of the brief that a run broke. */
export class PromiseBroken extends Error {
  constructor(
    readonly promise: string,
    detail: string,
  ) {
    super(`${promise}: ${detail}`)
  }
}

/** A run as the checkers look at it. */
export interface CheckedRun {
  readonly table: MemoryTable
  readonly history: History
  readonly budgets: readonly BudgetId[]
  /** Greatest limit that each budget ever had. */
  readonly greatestLimits: ReadonlyMap<BudgetId, number>
  readonly nodes: readonly { readonly incarnation: IncarnationId }[]
  /** Errors that the code under test threw where it must not. */
  readonly faults: readonly unknown[]
}

/** What must hold at every point of a run. */
export async function checkAlways(run: CheckedRun): Promise<void> {
  for (const budgetId of run.budgets) {
    checkSpend(run, budgetId)
    await checkRow(run, budgetId)
  }
  checkExecutions(run)
  checkRefusals(run)
  if (run.faults.length > 0) throw run.faults[0]
}

/** What must hold once everything was healed and has come to rest. */
export async function checkAtEnd(run: CheckedRun): Promise<void> {
  await checkAlways(run)
  const bills = await readBills(run)
  checkBilledOnce(run, bills)
  for (const budgetId of run.budgets) await checkBooks(run, budgetId, bills)
}

/** A team's spend never exceeds its prepaid budget. */
function checkSpend(run: CheckedRun, budgetId: BudgetId): void {
  const spent = run.history.deliveredTokens(budgetId)
  const limit = run.greatestLimits.get(budgetId) ?? 0
  if (spent > limit) throw new PromiseBroken('overspend', `${budgetId} ${spent} > ${limit}`)
}

/** The row itself never promises more than there is. */
async function checkRow(run: CheckedRun, budgetId: BudgetId): Promise<void> {
  const row = await readRow(run, budgetId)
  const promised = row.settled + allocatedTokens(row)
  const limit = run.greatestLimits.get(budgetId) ?? 0
  if (promised > limit) {
    throw new PromiseBroken('row', `${budgetId} promises ${promised} of ${limit}`)
  }
}

/** A request marked as not repeatable runs at most once. */
function checkExecutions(run: CheckedRun): void {
  const executed = new Set<string>()
  for (const request of run.history.requests) {
    if (request.repeatable || !request.executed) continue
    if (executed.has(request.key)) throw new PromiseBroken('at most once', request.key)
    executed.add(request.key)
  }
}

/** A request that was refused as not run was truly not run. */
function checkRefusals(run: CheckedRun): void {
  const liar = run.history.requests.find(
    request => request.refusedWith !== undefined && request.executed,
  )
  if (liar !== undefined) throw new PromiseBroken('not run', liar.requestId)
}

/** Each request whose answer was delivered is billed, and billed once. */
function checkBilledOnce(run: CheckedRun, bills: readonly SettleEntry[]): void {
  const billed = new Map(bills.map(bill => [bill.billKey, bill]))
  for (const request of run.history.requests) {
    if (request.deliveredTokens === undefined) continue
    const tokens = billed.get(request.key)?.billedTokens
    if (tokens !== request.deliveredTokens) {
      const detail = `${request.requestId} got ${request.deliveredTokens}, billed ${tokens}`
      throw new PromiseBroken('billed once', detail)
    }
  }
}

/** When all is given back, what is settled is what was billed, and nothing is stranded. */
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
    throw new PromiseBroken('books', `${budgetId} settled ${row.settled}, billed ${billed}`)
  }
  const left = allocatedTokens(row)
  if (left !== 0) throw new PromiseBroken('stranded', `${budgetId} ${JSON.stringify(row.holders)}`)
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
