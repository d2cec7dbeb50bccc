/** Reserves the maximum cost of a request in its budget before anything is sent. */

import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { TokenCount } from '@rackwalk/shared'
import type { BudgetLedger } from '@rackwalk/coordination'
import type { AdmittedRequest, Call, Filter, ReservedRequest } from './stages.js'

/** Reserves the maximum cost of the request, before anything is sent. */
export class ReserveFilter implements Filter<AdmittedRequest, ReservedRequest> {
  constructor(private readonly ledger: BudgetLedger) {}

  async apply(request: AdmittedRequest): Promise<ReservedRequest> {
    const tokens = costBound(request.call)
    const result = await this.ledger.reserve(request.budgetId, tokens)
    request.record.allocation = result.view
    request.record.reservedTokens = tokens
    if (result.kind === 'refused') throw new NotRunError(result.code)
    const { reservation } = result
    if (this.ledger.teamOf(request.budgetId) !== request.team.teamId) {
      this.ledger.release(reservation)
      throw new NotRunError(ResultCode.NoBudget, request.budgetId)
    }
    // Settling closes the reservation. A request that ends in any other way releases it here.
    request.scope.onEnd(() => this.ledger.release(reservation))
    return { ...request, reservation }
  }
}

/**
 * Returns the maximum cost in tokens. Plain services cost no tokens, but their calls are counted in
 * the same ledger.
 */
function costBound(call: Call): TokenCount {
  if (call.kind === 'service') return 0
  return call.chat.promptTokenBound + call.chat.outputTokenLimit
}
