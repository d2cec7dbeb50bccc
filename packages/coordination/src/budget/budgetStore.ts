/**
 * Reads budget rows and applies exchanges to them, each exactly once although answers may be lost.
 * Keeps no state; relies on conditional writes of the table.
 */

import { RackwalkError, ResultCode, asId } from '@rackwalk/shared'
import type { BudgetId, RandomSource, TransactionId } from '@rackwalk/shared'
import type { RowWrite, TableService } from '@rackwalk/stores'
import type { Counters } from '../counters.js'
import { decodeRowValue } from '../rowCodecs.js'
import { budgetKey, holdingKey, sealingKey } from '../tableKeys.js'
import type { BudgetRow, ExchangeRequest } from './budgetRow.js'
import { applyExchange, budgetRowCodec, freeTokens, wasApplied, wasReclaimed } from './budgetRow.js'

/**
 * `lost`: no answer, the exchange may still take effect; `unsent`: it cannot take effect;
 * `needless`: it would have changed nothing, so it was not written.
 */
export type ExchangeOutcome =
  | { readonly kind: 'applied'; readonly row: BudgetRow }
  | { readonly kind: 'needless'; readonly row: BudgetRow }
  | { readonly kind: 'lost' }
  | { readonly kind: 'unsent' }
  | { readonly kind: 'gone' }
  | { readonly kind: 'sealed' }

/**
 * Maximum number of attempts against concurrent writers of the same row before the caller has to
 * retry later.
 */
const MAXIMUM_CONFLICTS = 8

/** Reads budget rows and applies exchanges to them. */
export class BudgetStore {
  constructor(
    private readonly table: TableService,
    private readonly random: RandomSource,
    private readonly counters: Counters,
  ) {}

  async read(budgetId: BudgetId): Promise<BudgetRow | undefined> {
    const row = await this.table.get(budgetKey(budgetId))
    return row && decodeRowValue(budgetRowCodec, row)
  }

  /**
   * Applies an exchange exactly once. Each attempt is conditional on the version it read, and the
   * holder's exchange number in the row shows whether an earlier attempt whose answer was lost took
   * effect.
   */
  async exchange(
    budgetId: BudgetId,
    request: ExchangeRequest,
    mayHaveBeenSent: boolean,
  ): Promise<ExchangeOutcome> {
    let ambiguous = mayHaveBeenSent
    try {
      for (let attempt = 0; attempt < MAXIMUM_CONFLICTS; attempt += 1) {
        const outcome = await this.attempt(budgetId, request, ambiguous)
        if (outcome !== undefined) return outcome
        this.counters.increment('budget_exchange_conflicts')
      }
    } catch (thrown) {
      if (!(thrown instanceof RackwalkError)) throw thrown
      if (thrown.code === ResultCode.PlatformAmbiguous) ambiguous = true
    }
    return { kind: ambiguous ? 'lost' : 'unsent' }
  }

  /** Returns undefined if another writer changed the row first. */
  private async attempt(
    budgetId: BudgetId,
    request: ExchangeRequest,
    mayHaveBeenSent: boolean,
  ): Promise<ExchangeOutcome | undefined> {
    const stored = await this.readForWrite(budgetId)
    if (stored === undefined) return { kind: 'gone' }
    const row = decodeRowValue(budgetRowCodec, stored)
    if (wasReclaimed(row, request)) return { kind: 'sealed' }
    if (wasApplied(row, request)) return { kind: 'applied', row }
    if (!mayHaveBeenSent && isNoOpExchange(row, request)) return { kind: 'needless', row }
    const applied = applyExchange(row, request).row
    const writes = this.writesOf(budgetId, stored.version, applied, request)
    const result = await this.table.transact(this.newId(), writes)
    if (result.committed) return { kind: 'applied', row: applied }
    return result.conflicts.includes(2) ? { kind: 'sealed' } : undefined
  }

  /** Reads the row. A read changes nothing, so a read without an answer is a definite failure. */
  private async readForWrite(budgetId: BudgetId) {
    try {
      return await this.table.get(budgetKey(budgetId))
    } catch (thrown) {
      if (!(thrown instanceof RackwalkError)) throw thrown
      throw new RackwalkError(ResultCode.PlatformUnavailable, 'budget row', thrown)
    }
  }

  private writesOf(
    budgetId: BudgetId,
    version: number,
    row: BudgetRow,
    request: ExchangeRequest,
  ): readonly RowWrite[] {
    const put: RowWrite = {
      kind: 'put',
      key: budgetKey(budgetId),
      condition: { kind: 'version', version },
      value: budgetRowCodec.toJson(row),
    }
    return request.exchange === 1 ? [put, ...firstHoldingWrites(budgetId, request)] : [put]
  }

  private newId(): TransactionId {
    return asId<TransactionId>(this.random.uniqueId())
  }
}

/**
 * Whether an exchange would change nothing. An exhausted budget is requested often, and writes are
 * limited, so only changes are written.
 */
function isNoOpExchange(row: BudgetRow, request: ExchangeRequest): boolean {
  const isFirst = request.exchange === 1
  const changesNothing = request.spent === 0 && request.transfers.length === 0
  const isGrantEmpty = request.wanted === 0 || freeTokens(row) === 0
  return !isFirst && changesNothing && request.returned === 0 && isGrantEmpty
}

/**
 * Writes that accompany a holder's first exchange: a marker by which a reclaimer finds the holding,
 * and a check that the incarnation is not being sealed. A marker written later would be missed by
 * the reclaimer.
 */
function firstHoldingWrites(budgetId: BudgetId, request: ExchangeRequest): readonly RowWrite[] {
  return [
    {
      kind: 'put',
      key: holdingKey(request.incarnation, budgetId),
      condition: { kind: 'absent' },
      value: {},
    },
    { kind: 'check', key: sealingKey(request.incarnation), condition: { kind: 'absent' } },
  ]
}
