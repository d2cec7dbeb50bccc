/**
 * Has this request ended endpoints? One that is known to is refused before a key, a place or tokens are taken for it.
 */

import type { CrashGuard } from '../crashes/crashGuard.js'
import { crashRefusal } from '../crashes/crashRefusal.js'
import type { Filter, ParsedRequest } from './stages.js'

/** Refuses requests that end endpoints. */
export class ScreenFilter implements Filter<ParsedRequest, ParsedRequest> {
  constructor(private readonly crashes: CrashGuard) {}

  async apply(request: ParsedRequest): Promise<ParsedRequest> {
    const { crashFingerprint } = request
    if (crashFingerprint === undefined) return request
    const refusal = crashRefusal(this.crashes.verdict(crashFingerprint))
    if (refusal !== undefined) throw refusal
    return request
  }
}
