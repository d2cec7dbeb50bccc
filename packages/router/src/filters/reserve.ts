/** Is the most that the request can cost covered by its budget? Nothing is sent before it is. */

import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { TokenCount } from '@rackwalk/shared'
import type { BudgetLedger } from '@rackwalk/coordination'
import type { AdmittedRequest, Call, Filter, ReservedRequest } from './stages.js'

/** Sets aside the most that the request can cost, before anything is sent. */
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
    // Settling closes the reservation; whatever ends otherwise gives it back here.
    request.scope.onEnd(() => this.ledger.release(reservation))
    return { ...request, reservation }
  }
}

/** Plain services cost no tokens, yet their calls are counted in the same books. */
function costBound(call: Call): TokenCount {
  if (call.kind === 'service') return 0
  return call.chat.promptTokenBound + call.chat.outputTokenLimit
}
