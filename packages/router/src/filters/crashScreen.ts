/**
 * Refuses crash-inducing requests. A request that is known to crash endpoints is refused before the
 * request takes a key, a queue place or tokens.
 */

import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { CrashGuard } from '../crashes/crashGuard.js'
import { requestVerdict } from '../crashes/requestVerdict.js'
import type { Filter, ParsedRequest } from './stages.js'

/** Refuses requests that are known to crash endpoints. */
export class CrashScreenFilter implements Filter<ParsedRequest, ParsedRequest> {
  constructor(private readonly crashes: CrashGuard) {}

  async apply(request: ParsedRequest): Promise<ParsedRequest> {
    if (requestVerdict(this.crashes, request) !== 'refuse') return request
    throw new NotRunError(ResultCode.EndsEndpoints)
  }
}
