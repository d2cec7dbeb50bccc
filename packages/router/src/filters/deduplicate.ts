/**
 * Detects whether another attempt with the same idempotency key is running, and how many tokens
 * were billed for earlier attempts. Asks the key's registrar, the instance that keeps track of the
 * key.
 */

import { DispatchedError, NotRunError, ResultCode } from '@rackwalk/shared'
import type { IdempotencyKey, IncarnationId, TokenCount } from '@rackwalk/shared'
import type { KeyRegistrarClient, KeyRegistration } from '@rackwalk/coordination'
import type { DeduplicatedRequest, Filter, ParsedRequest } from './stages.js'

/**
 * Keeps a caller's retry from running concurrently with the first attempt. For repeatable requests
 * the registrar's answer is a hint that saves work; for other requests, the durable claim that is
 * made later decides.
 */
export class DeduplicateFilter implements Filter<ParsedRequest, DeduplicatedRequest> {
  constructor(
    private readonly keys: KeyRegistrarClient,
    private readonly incarnation: IncarnationId,
  ) {}

  async apply(request: ParsedRequest): Promise<DeduplicatedRequest> {
    const { callerKey, requestId, team, fingerprint, repeatable } = request
    if (callerKey === undefined) return { ...request, creditedTokens: 0 }
    const registration = await this.keys.register({
      teamId: team.teamId,
      key: callerKey,
      incarnation: this.incarnation,
      requestId,
      fingerprint,
      repeatable,
    })
    const creditedTokens = creditOrRefuse(registration, repeatable)
    this.reportEnd(request, callerKey)
    return { ...request, creditedTokens }
  }

  private reportEnd(request: ParsedRequest, key: IdempotencyKey): void {
    const { requestId, team, record } = request
    request.scope.onEnd(() => {
      const complete = record.code === ResultCode.Ok
      const billedTokens = record.billedTokens ?? 0
      void this.keys.end({ teamId: team.teamId, key, requestId, complete, billedTokens })
    })
  }
}

/** Returns the tokens already billed for the key. Throws if the request must not proceed. */
function creditOrRefuse(registration: KeyRegistration, repeatable: boolean): TokenCount {
  switch (registration.state) {
    case 'first':
      return 0
    case 'running':
      throw new DispatchedError(ResultCode.KeyInUse, `request ${registration.requestId}`)
    case 'mismatch':
      throw new NotRunError(ResultCode.MalformedRequest, 'Idempotency-Key of another request')
    case 'ended':
      if (registration.complete && !repeatable) {
        throw new DispatchedError(ResultCode.AlreadyRan, `request ${registration.requestId}`)
      }
      return registration.creditedTokens
  }
}
