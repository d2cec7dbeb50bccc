/**
 * Decides whether a request that may run only once may be dispatched. The claim, a row in the store
 * under the caller's idempotency key, is made before dispatch and released if the request turns out
 * not to have run. Without the claim, two instances could run the same request.
 */

import { DispatchedError, NotRunError, ResultCode } from '@rackwalk/shared'
import type { ClaimResult, Claims } from '@rackwalk/coordination'
import type { ClaimedRequest, Filter, ReservedRequest } from './stages.js'

/** Claims a request that may run at most once. Only the holder of the claim dispatches it. */
export class ClaimFilter implements Filter<ReservedRequest, ClaimedRequest> {
  constructor(private readonly claims: Claims) {}

  async apply(request: ReservedRequest): Promise<ClaimedRequest> {
    const { callerKey, team, requestId } = request
    // Without a key, two requests cannot be recognised as attempts of the same request, so there
    // are no other attempts to exclude.
    if (request.repeatable || callerKey === undefined) return { ...request, claim: undefined }
    const result = await this.claims.claim(team.teamId, callerKey, requestId)
    const claim = claimOrRefuse(result)
    request.record.claimed = true
    request.scope.onRefused(() => this.claims.release(claim))
    return { ...request, claim }
  }
}

function claimOrRefuse(result: ClaimResult) {
  switch (result.kind) {
    case 'claimed':
      return result.claim
    case 'running':
      throw new DispatchedError(ResultCode.KeyInUse, `request ${result.requestId}`)
    case 'ran':
      throw new DispatchedError(ResultCode.AlreadyRan, `request ${result.requestId}`)
    case 'unknown':
      throw new DispatchedError(ResultCode.OutcomeUnknown, `request ${result.requestId}`)
    case 'unconfirmed':
      throw new NotRunError(ResultCode.ClaimUnconfirmed)
  }
}
