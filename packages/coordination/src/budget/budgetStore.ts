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
 * `lost`: no attempt was confirmed, and the exchange may still take effect. `unsent`: the exchange
 * cannot take effect. `needless`: the exchange would have changed nothing, so it was not written.
 * `gone`: the budget has no row. `sealed`: the incarnation was sealed or is being sealed.
 */
export type ExchangeOutcome =
  | { readonly kind: 'applied'; readonly row: BudgetRow }
  | { readonly kind: 'needless'; readonly row: BudgetRow }
  | { readonly kind: 'lost' }
  | { readonly kind: 'unsent' }
  | { readonly kind: 'gone' }
  | { readonly kind: 'sealed' }

/** Maximum number of attempts against concurrent writers of the same row in one exchange. */
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
   * Applies an exchange exactly once. Each attempt is conditional on the row version that it read,
   * and the holder's exchange number in the row shows whether an earlier attempt whose answer was
   * lost took effect. `mayHaveBeenSent` says that such an attempt exists.
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
 * Whether an exchange would change nothing in the row. Tokens of an exhausted budget are requested
 * often, and the platform limits writes, so only changes are written. A holder's first exchange
 * always is one.
 */
function isNoOpExchange(row: BudgetRow, request: ExchangeRequest): boolean {
  const isFirst = request.exchange === 1
  const changesNothing = request.spent === 0 && request.transfers.length === 0
  const isGrantEmpty = request.wanted === 0 || freeTokens(row) === 0
  return !isFirst && changesNothing && request.returned === 0 && isGrantEmpty
}

/**
 * Writes that accompany a holder's first exchange: a marker by which a reclaimer finds the holding,
 * and a check that the incarnation is not being sealed. Without the check, the marker could be
 * written after the reclaimer has read the markers, and the tokens would be lost.
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
