/**
 * Is a request suspected while it is looked whether it ended an endpoint?
 *
 * Load pattern: a request that ends what begins to run it comes again every quarter of a second. The looks at an address
 * that goes on taking connections take as long on a busy machine, and so long the request would pass for any other: each
 * try would cost one more endpoint. So it goes to the one endpoint that its hash names from the break on, at all
 * instances; tries that follow find that one ended, and cost no other.
 *
 * Limits: a break is no proof, so nothing is refused for it, and it counts only until the look has told, and no longer than
 * looks take: who looks says so again for as long as it does. Whoever is told of one by another instance forgets it by itself.
 */

import type { EndpointStart, Milliseconds, RequestFingerprint } from '@rackwalk/shared'
import { SCOPE_CHARACTERS } from './crashSuspicion.js'
import type { CrashMark } from './crashSuspicion.js'

/** A break counts for no longer: two looks take a quarter of it where processors are free. */
const LOOK_MILLISECONDS: Milliseconds = 1_000
/** Breaks that are remembered at a time, so that an endpoint that breaks everything off can't fill the memory. */
const REMEMBERED_BREAKS = 1_024

interface UnjudgedBreak {
  readonly fingerprint: RequestFingerprint
  readonly start: EndpointStart
  readonly until: Milliseconds
}

/** Requests that were broken off by endpoints at which it is looked now. Times are monotonic. */
export class UnjudgedBreaks {
  /** The oldest first. */
  private breaks: UnjudgedBreak[] = []

  /** A request was broken off, and it is looked whether its endpoint has ended. */
  note({ fingerprint, start }: CrashMark, now: Milliseconds): void {
    this.forgetOld(now)
    if (this.breaks.length >= REMEMBERED_BREAKS) this.breaks.shift()
    this.breaks.push({ fingerprint, start, until: now + LOOK_MILLISECONDS })
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

  /** Whether a request is one of them. */
  has(fingerprint: RequestFingerprint, now: Milliseconds): boolean {
    this.forgetOld(now)
    return this.breaks.some(broken => broken.fingerprint === fingerprint)
  }

  private forgetOld(now: Milliseconds): void {
    if (this.breaks.length === 0) return
    const fresh = this.breaks.findIndex(({ until }) => until > now)
    if (fresh === 0) return
    this.breaks = fresh < 0 ? [] : this.breaks.slice(fresh)
  }
}
