/**
 * Decides whether a request is isolated or refused while a liveness probe checks whether it crashed an endpoint.
 *
 * Load pattern: a crash-inducing request is sent again every quarter of a second. Probing an address that still accepts
 * connections takes as long as that on a busy machine. Until the probe is done the request would count as harmless, and
 * each retry would cost one more endpoint. So from the reset on, all instances send the request only to the one
 * endpoint that its hash selects. Later attempts find that endpoint terminated and cost no other.
 *
 * Inputs: resets that this instance saw or received by gossip, confirmed terminations, probe results and clearances.
 * All times are monotonic milliseconds.
 *
 * The instance that probes and the instance that reported the reset may differ, and either may learn of the termination
 * first. A request that was sent in isolation is refused as soon as the termination is known, without waiting for its crash
 * mark: otherwise it would go on to the next endpoint of its hash.
 *
 * | known about the start whose reset was reported     | sent in isolation | sent normally |
 * | -------------------------------------------------- | ----------------- | ------------- |
 * | nothing yet                                        | isolate           | isolate       |
 * | terminated, by this instance's probes or by gossip | refuse            | isolate       |
 * | alive                                              | forgotten         | forgotten     |
 *
 * For a request that was sent normally, the mark follows when its own instance has finished its probe. That may be
 * later than the termination is known.
 *
 * Limits: a reset is no proof of a crash, so a reset alone refuses nothing. A reset counts until a probe has proved
 * something, and for at most a second after it was last reported or its termination became known; the probing instance
 * reports the reset again as long as its probe lasts. A reset that is first reported after its termination is known
 * here is isolated until the mark arrives.
 */

import type { EndpointStart, Milliseconds, RequestFingerprint } from '@rackwalk/shared'
import { SCOPE_PREFIX_LENGTH } from './requestQuarantine.js'
import type { CrashMark } from './requestQuarantine.js'
import type { QuarantineVerdict } from './quarantineVerdict.js'

/** Time for which a report of a reset counts. Two probes take a quarter of it when processors are free. */
const SUSPICION_MILLISECONDS: Milliseconds = 1_000
/** Maximum number of resets held at a time, so that an endpoint that resets every request cannot fill the memory. */
const MAXIMUM_RESETS = 1_024

interface UnconfirmedCrash {
  readonly fingerprint: RequestFingerprint
  readonly start: EndpointStart
  readonly wasIsolated: boolean
  /** Whether the start is known to have terminated. Stays false for a request that was sent normally. */
  readonly hasTerminated: boolean
  readonly until: Milliseconds
}

/** Requests that were reset by endpoints which are being probed. Times are monotonic. */
export class UnconfirmedCrashes {
  /** Ordered from the oldest to the newest. */
  private resets: UnconfirmedCrash[] = []

  /** Records that a request was reset and that its endpoint is being probed. */
  noteReset({ fingerprint, start, wasIsolated }: CrashMark, now: Milliseconds): void {
    this.forgetOld(now)
    if (this.resets.length >= MAXIMUM_RESETS) this.resets.shift()
    const until = now + SUSPICION_MILLISECONDS
    // The probing instance renews its report, and may learn of the termination later than this instance.
    const hasTerminated = this.resets.some(known => {
      return known.hasTerminated && known.start === start && known.fingerprint === fingerprint
    })
    this.resets.push({ fingerprint, start, wasIsolated, hasTerminated, until })
  }

  /** Records that an endpoint start is known to have terminated. The marks of the requests it reset may arrive later. */
  noteTerminated(start: EndpointStart, now: Milliseconds): void {
    this.forgetOld(now)
    const until = now + SUSPICION_MILLISECONDS
    this.resets = this.resets.flatMap(reset => {
      if (reset.start !== start || reset.hasTerminated) return [reset]
      return reset.wasIsolated ? [{ ...reset, hasTerminated: true, until }] : [reset]
    })
  }

  /** Forgets the resets of an endpoint start that is alive, or of which nothing is known any more. */
  forget(start: EndpointStart): void {
    this.resets = this.resets.filter(reset => reset.start !== start)
  }

  /** Whether a request with this scope prefix may be one of them. Otherwise the caller need not hash its body. */
  hasSuspectsInScope(scope: string, now: Milliseconds): boolean {
    this.forgetOld(now)
    return this.resets.some(
      ({ fingerprint }) => fingerprint.slice(0, SCOPE_PREFIX_LENGTH) === scope,
    )
  }

  /** Forgets the resets of a request at these starts, after an answer or an operator cleared the marks known of them. */
  clear(fingerprint: RequestFingerprint, starts: readonly EndpointStart[]): void {
    this.resets = this.resets.filter(reset => {
      return reset.fingerprint !== fingerprint || !starts.includes(reset.start)
    })
  }

  /** Returns what to do with a request according to its resets. */
  verdict(fingerprint: RequestFingerprint, now: Milliseconds): QuarantineVerdict {
    this.forgetOld(now)
    const resets = this.resets.filter(reset => reset.fingerprint === fingerprint)
    if (resets.some(({ hasTerminated }) => hasTerminated)) return 'refuse'
    return resets.length > 0 ? 'isolate' : 'send'
  }

  /** Whether a request was reset and its crash is still unconfirmed. */
  has(fingerprint: RequestFingerprint, now: Milliseconds): boolean {
    return this.verdict(fingerprint, now) !== 'send'
  }

  private forgetOld(now: Milliseconds): void {
    if (this.resets.every(({ until }) => until > now)) return
    this.resets = this.resets.filter(({ until }) => until > now)
  }
}
