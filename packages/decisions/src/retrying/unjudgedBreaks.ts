/**
 * What is done with a request while it is looked whether it ended an endpoint?
 *
 * Load pattern: a request that ends what begins to run it comes again every quarter of a second. The looks at an address
 * that goes on taking connections take as long on a busy machine, and so long the request passes for any other: each try
 * costs an endpoint until the first look is done.
 *
 * | breaks that are looked at              | verdict | goes to                                     |
 * | -------------------------------------- | ------- | ------------------------------------------- |
 * | none                                   | send    | the best endpoint                           |
 * | sent as any other                      | isolate | the endpoint that its hash names            |
 * | one sent as suspected                  | wait    | none for now; the caller may come back soon |
 *
 * An endpoint at which it is looked gets nothing while there is another one: what is sent to the front of a dead one is lost. A
 * suspected request waits for its own endpoint instead, since another one would be lost to it.
 *
 * Limits: a break is no proof, so it counts only until the look has told, and no longer than looks take. Whoever is told of
 * one by another instance forgets it by itself.
 */

import { endpointOf } from '@rackwalk/shared'
import type { EndpointId, EndpointStart, Milliseconds, RequestFingerprint } from '@rackwalk/shared'
import { SCOPE_CHARACTERS } from './crashSuspicion.js'
import type { CrashMark } from './crashSuspicion.js'

/** A break counts for no longer: two looks take a quarter of it where processors are free. */
const LOOK_MILLISECONDS: Milliseconds = 1_000
/** Breaks that are remembered at a time, so that an endpoint that breaks everything off can't fill the memory. */
const REMEMBERED_BREAKS = 1_024

/** What is done with a request while breaks are looked at. */
export type UnjudgedVerdict = 'send' | 'isolate' | 'wait'

interface UnjudgedBreak extends CrashMark {
  readonly until: Milliseconds
}

/** Requests that were broken off by endpoints at which it is looked now. Times are monotonic. */
export class UnjudgedBreaks {
  /** The oldest first. */
  private breaks: UnjudgedBreak[] = []

  /** A request was broken off, and it is looked whether its endpoint has ended. */
  note(mark: CrashMark, now: Milliseconds): void {
    this.forgetOld(now)
    if (this.breaks.length >= REMEMBERED_BREAKS) this.breaks.shift()
    this.breaks.push({ ...mark, until: now + LOOK_MILLISECONDS })
  }

  /** It is known whether a start of an endpoint has ended. */
  forget(start: EndpointStart): void {
    this.breaks = this.breaks.filter(broken => broken.start !== start)
  }

  /** Whether a request that is known so far may be one of them; its body is not looked at otherwise. */
  mayConcern(scope: string, now: Milliseconds): boolean {
    this.forgetOld(now)
    return this.breaks.some(({ fingerprint }) => fingerprint.slice(0, SCOPE_CHARACTERS) === scope)
  }

  /** Whether it is looked at an endpoint. */
  concerns(endpoint: EndpointId, now: Milliseconds): boolean {
    this.forgetOld(now)
    return this.breaks.some(({ start }) => endpointOf(start) === endpoint)
  }

  verdict(fingerprint: RequestFingerprint, now: Milliseconds): UnjudgedVerdict {
    this.forgetOld(now)
    const own = this.breaks.filter(broken => broken.fingerprint === fingerprint)
    if (own.length === 0) return 'send'
    return own.some(({ wasIsolated }) => wasIsolated) ? 'wait' : 'isolate'
  }

  private forgetOld(now: Milliseconds): void {
    if (this.breaks.length === 0) return
    const fresh = this.breaks.findIndex(({ until }) => until > now)
    if (fresh === 0) return
    this.breaks = fresh < 0 ? [] : this.breaks.slice(fresh)
  }
}
