/** What was seen of the requests of a run from outside, for the checkers. */

import type { BudgetId, IdempotencyKey, RequestId, ResultCode, TokenCount } from '@rackwalk/shared'

/** What was seen from outside of one request in a run. */
export interface RequestHistory {
  readonly requestId: RequestId
  readonly budgetId: BudgetId
  readonly key: IdempotencyKey
  readonly repeatable: boolean
  /** The endpoint worked on it. */
  executed: boolean
  /** The caller got the end of its answer, and was billed so much. */
  deliveredTokens: TokenCount | undefined
  /** The caller was told that it was not run. */
  refusedWith: ResultCode | undefined
}

/** The history of one run, as callers and endpoints see it. */
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

  /** Tokens of the answers that callers have whole, each key once. */
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
