/**
 * Has this request ended endpoints? One that is known to is refused before a key, a place or tokens are taken for it.
 */

import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { CrashGuard } from '../crashes/crashGuard.js'
import { requestVerdict } from '../crashes/requestVerdict.js'
import type { Filter, ParsedRequest } from './stages.js'

/** Refuses requests that end endpoints. */
export class CrashScreenFilter implements Filter<ParsedRequest, ParsedRequest> {
  constructor(private readonly crashes: CrashGuard) {}

  async apply(request: ParsedRequest): Promise<ParsedRequest> {
    if (requestVerdict(this.crashes, request) !== 'refuse') return request
    throw new NotRunError(ResultCode.EndsEndpoints)
  }
}
