/**
 * Writes the bill of a request to the journal and waits for a limited time until the bill would
 * survive a crash of this instance. A request that was sent but got no answer costs nothing and is
 * recorded in the journal all the same.
 */

import { RackwalkError } from '@rackwalk/shared'
import type { DispatchedCode, Clock, Milliseconds } from '@rackwalk/shared'
import type { BudgetLedger, Claims, JournalTicket, SettleEntry } from '@rackwalk/coordination'
import type { ReportedUsage } from '../engine/usage.js'
import type { ClaimedRequest, Filter, DeliveredRequest, SettledRequest } from './stages.js'

/** Dependencies of settling. */
export interface SettleParts {
  readonly ledger: BudgetLedger
  readonly claims: Claims
  readonly clock: Clock
  /** Maximum time for which the end of an answer waits for its bill. */
  readonly billTimeoutMilliseconds: Milliseconds
}

/** How a request ended, for its bill. */
type Ending = Pick<DeliveredRequest, 'code' | 'usage' | 'billedTokens'>

const NO_USAGE: ReportedUsage = { promptTokens: 0, generatedTokens: 0 }

/** Writes the bill and waits until it would survive a crash of this instance. */
export class SettleFilter implements Filter<DeliveredRequest, SettledRequest> {
  constructor(private readonly parts: SettleParts) {}

  async apply(request: DeliveredRequest): Promise<SettledRequest> {
    const { record } = request
    record.promptTokens = request.usage.promptTokens
    record.generatedTokens = request.usage.generatedTokens
    record.billedTokens = request.billedTokens
    try {
      const durability = await this.withTimeout(this.journal(request, request))
      record.billDurability = durability
      return { ...request, isBillDurable: durability !== 'timeout' }
    } catch (thrown) {
      if (!(thrown instanceof RackwalkError)) throw thrown
      record.billDurability = 'sealed'
      return { ...request, isBillDurable: false }
    }
  }

  /** Records the end of a request that was sent but got no answer. Such a request costs nothing. */
  noteFailure(request: ClaimedRequest, code: DispatchedCode): void {
    const ending = { code, usage: NO_USAGE, billedTokens: 0 }
    try {
      this.journal(request, ending)
    } catch (thrown) {
      // A sealed journal accepts no entries. The caller gets the error of the failed request all
      // the same.
      if (!(thrown instanceof RackwalkError)) throw thrown
    }
  }

  private journal(request: ClaimedRequest, ending: Ending): JournalTicket {
    const { reservation, claim } = request
    const entry = this.entryOf(request, ending)
    if (claim === undefined) return this.parts.ledger.settle(reservation, entry)
    const completion = this.parts.claims.completion(claim, ending.code)
    const ticket = this.parts.ledger.settle(reservation, entry, completion)
    this.parts.claims.noteDone(claim)
    return ticket
  }

  private entryOf(request: ClaimedRequest, ending: Ending): SettleEntry {
    return {
      kind: 'settle',
      budgetId: request.budgetId,
      teamId: request.team.teamId,
      billKey: request.billKey,
      requestId: request.requestId,
      modelId: request.call.kind === 'chat' ? request.call.chat.modelId : undefined,
      promptTokens: ending.usage.promptTokens,
      generatedTokens: ending.usage.generatedTokens,
      billedTokens: ending.billedTokens,
      creditedTokens: request.creditedTokens,
      code: ending.code,
      endedAt: this.parts.clock.wallTime(),
    }
  }

  private withTimeout(ticket: JournalTicket): Promise<'durable' | 'held' | 'timeout'> {
    return new Promise((resolve, reject) => {
      const wait = this.parts.billTimeoutMilliseconds
      const timer = this.parts.clock.after(wait, () => resolve('timeout'))
      ticket.durableOrHeld.then(resolve, reject).finally(() => timer.cancel())
    })
  }
}
