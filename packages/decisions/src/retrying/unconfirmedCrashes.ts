/**
 * Is a request suspected while it is looked whether it ended an endpoint?
 *
 * Load pattern: a request that ends what begins to run it comes again every quarter of a second. The looks at an address
 * that goes on taking connections take as long on a busy machine, and so long the request would pass for any other: each
 * try would cost one more endpoint. So it goes to the one endpoint that its hash names from the break on, at all
 * instances; tries that follow find that one ended, and cost no other.
 *
 * Who looks and who told of the break may be two instances, and either may know of the end first. A request that was sent
 * as suspected is refused from then on, without waiting for the mark: it would go to the next endpoint of its hash.
 *
 * | known of the break's start            | sent as suspected | sent as any other |
 * | ------------------------------------- | ----------------- | ----------------- |
 * | nothing yet                           | isolate           | isolate           |
 * | it has ended, by own looks or by news | refuse            | isolate           |
 * | it lives                              | forgotten         | forgotten         |
 *
 * The mark of what was sent as any other comes when its own instance has looked, which may be later than the end is known.
 *
 * Limits: a break is no proof, so nothing is refused for it alone. It counts until a look has proved something, and no longer than a
 * second after it was last told of or its end became known: who looks tells it again for as long as it does. A break that
 * is told only after its end is known here is isolated until the mark comes.
 */

import type { EndpointStart, Milliseconds, RequestFingerprint } from '@rackwalk/shared'
import { SCOPE_PREFIX_LENGTH } from './requestQuarantine.js'
import type { CrashMark } from './requestQuarantine.js'
import type { QuarantineVerdict } from './quarantineVerdict.js'

/** A break counts for no longer: two looks take a quarter of it where processors are free. */
const SUSPICION_MILLISECONDS: Milliseconds = 1_000
/** Breaks that are remembered at a time, so that an endpoint that breaks everything off can't fill the memory. */
const REMEMBERED_BREAKS = 1_024

interface UnconfirmedCrash {
  readonly fingerprint: RequestFingerprint
  readonly start: EndpointStart
  readonly wasIsolated: boolean
  readonly hasEnded: boolean
  readonly until: Milliseconds
}

/** Requests that were broken off by endpoints at which it is looked now. Times are monotonic. */
export class UnconfirmedCrashes {
  /** The oldest first. */
  private breaks: UnconfirmedCrash[] = []

  /** A request was broken off, and it is looked whether its endpoint has ended. */
  noteReset({ fingerprint, start, wasIsolated }: CrashMark, now: Milliseconds): void {
    this.forgetOld(now)
    if (this.breaks.length >= REMEMBERED_BREAKS) this.breaks.shift()
    const until = now + SUSPICION_MILLISECONDS
    // Who looks renews its news, and may know of the end later than this instance.
    const hasEnded = this.breaks.some(known => {
      return known.hasEnded && known.start === start && known.fingerprint === fingerprint
    })
    this.breaks.push({ fingerprint, start, wasIsolated, hasEnded, until })
  }

  /** A start of an endpoint is known to have ended; the mark of what it broke off may come later than that. */
  noteTerminated(start: EndpointStart, now: Milliseconds): void {
    this.forgetOld(now)
    const until = now + SUSPICION_MILLISECONDS
    this.breaks = this.breaks.flatMap(broken => {
      if (broken.start !== start || broken.hasEnded) return [broken]
      return broken.wasIsolated ? [{ ...broken, hasEnded: true, until }] : [broken]
    })
  }

  /** A start of an endpoint lives, or nothing is known of it any more. */
  forget(start: EndpointStart): void {
    this.breaks = this.breaks.filter(broken => broken.start !== start)
  }

  /** Whether a request that is known so far may be one of them; its body is not looked at otherwise. */
  hasSuspectsInScope(scope: string, now: Milliseconds): boolean {
    this.forgetOld(now)
    return this.breaks.some(
      ({ fingerprint }) => fingerprint.slice(0, SCOPE_PREFIX_LENGTH) === scope,
    )
  }

  /** An answer or an operator cleared a request of these ends, whose marks were known there. */
  clear(fingerprint: RequestFingerprint, starts: readonly EndpointStart[]): void {
    this.breaks = this.breaks.filter(broken => {
      return broken.fingerprint !== fingerprint || !starts.includes(broken.start)
    })
  }

  /** What to do with a request by its breaks. */
  verdict(fingerprint: RequestFingerprint, now: Milliseconds): QuarantineVerdict {
    this.forgetOld(now)
    const breaks = this.breaks.filter(broken => broken.fingerprint === fingerprint)
    if (breaks.some(({ hasEnded }) => hasEnded)) return 'refuse'
    return breaks.length > 0 ? 'isolate' : 'send'
  }

  /** Whether a request is one of them. */
  has(fingerprint: RequestFingerprint, now: Milliseconds): boolean {
    return this.verdict(fingerprint, now) !== 'send'
  }

  private forgetOld(now: Milliseconds): void {
    if (this.breaks.every(({ until }) => until > now)) return
    this.breaks = this.breaks.filter(({ until }) => until > now)
  }
}
