/** Records the requests of a run as callers and endpoints observe them, for the checkers. */

import type { BudgetId, IdempotencyKey, RequestId, ResultCode, TokenCount } from '@rackwalk/shared'

/** One request of a run as its caller and its endpoint observed it. */
export interface RequestHistory {
  readonly requestId: RequestId
  readonly budgetId: BudgetId
  readonly key: IdempotencyKey
  readonly repeatable: boolean
  /** Whether an endpoint ran the request. */
  executed: boolean
  /** Tokens billed for a completely delivered answer; undefined as long as the end is not delivered. */
  deliveredTokens: TokenCount | undefined
  /** The code of a refusal that says that the request was not run. */
  refusedWith: ResultCode | undefined
}

/** The requests of one run in order of their arrival. */
export class History {
  readonly requests: RequestHistory[] = []

  begin(request: Omit<RequestHistory, 'executed' | 'deliveredTokens' | 'refusedWith'>) {
    const entry: RequestHistory = {
      ...request,
      executed: false,
      deliveredTokens: undefined,
      refusedWith: undefined,
    }
    this.requests.push(entry)
    return entry
  }

  /** Returns the tokens of the completely delivered answers; each idempotency key counts once. */
  deliveredTokens(budgetId: BudgetId): TokenCount {
    const byKey = new Map<IdempotencyKey, TokenCount>()
    for (const request of this.requests) {
      if (request.budgetId !== budgetId || request.deliveredTokens === undefined) continue
      const known = byKey.get(request.key) ?? 0
      byKey.set(request.key, Math.max(known, request.deliveredTokens))
    }
    return [...byKey.values()].reduce((sum, tokens) => sum + tokens, 0)
  }
}
