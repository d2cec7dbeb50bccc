/**
 * Decides whether a request is isolated or refused while a liveness probe checks whether it crashed an endpoint.
 *
 * Load pattern: a crash-inducing request is sent again every quarter of a second. Probing an address that still accepts
 * connections takes as long as that on a busy machine. If the request counted as harmless until the probe is done, each
 * retry would cost one more endpoint. So from the reset on, all instances isolate the request: they send it only to the
 * one endpoint that its hash selects. Later attempts find that endpoint terminated and cost no other.
 *
 * Inputs: resets that this instance saw or received by gossip (messages that instances send each other), confirmed
 * terminations, probe results and clearances. All times are monotonic milliseconds.
 *
 * The instance that probes and the instance that reported the reset may differ, and either may learn of the termination
 * first. A request that was sent in isolation is refused as soon as the termination is known, without waiting for its crash
 * mark (the record that an endpoint crashed under the request). Otherwise the request would go on to the next endpoint of
 * its hash.
 *
 * | known about the start (run of an endpoint) that reset the request | sent there in isolation | sent there normally    |
 * | ----------------------------------------------------------------- | ----------------------- | ---------------------- |
 * | nothing yet                                                       | isolate                 | isolate                |
 * | terminated, by this instance's probes or by gossip                | refuse                  | isolate                |
 * | alive                                                             | the reset is forgotten  | the reset is forgotten |
 *
 * For a request that was sent normally, the crash mark follows when its own instance has finished its probe. That may be
 * later than the termination is known.
 *
 * Limits: a reset is no proof of a crash, so a reset alone refuses nothing. A reset counts until the start is known to be
 * alive, and for at most a second after the reset was last reported or, if the request was sent in isolation, after the
 * termination became known. The probing instance reports the reset again as long as its probe lasts. A request whose reset
 * is first reported after the termination is known here is isolated, not refused, until the mark arrives.
 */

import type { EndpointStart, Milliseconds, RequestFingerprint } from '@rackwalk/shared'
import { SCOPE_PREFIX_LENGTH } from './requestQuarantine.js'
import type { CrashMark } from './requestQuarantine.js'
import type { QuarantineVerdict } from './quarantineVerdict.js'

/** Time for which a report of a reset counts. Two probes take a quarter of this time when processors are free. */
const SUSPICION_MILLISECONDS: Milliseconds = 1_000
/** Maximum number of resets held at a time, so that an endpoint that resets every request cannot fill the memory. */
const MAXIMUM_RESETS = 1_024

/** A reset whose cause is not known yet, or whose crash mark has not arrived yet. */
interface UnconfirmedCrash {
  readonly fingerprint: RequestFingerprint
  readonly start: EndpointStart
  /** Whether the request was sent to the start in isolation. */
  readonly wasIsolated: boolean
  /** Whether the start is known to have terminated. Stays false for a request that was sent normally. */
  readonly hasTerminated: boolean
  /** Monotonic time at which the reset no longer counts. */
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
    // The instance that probes repeats its report, and may learn of the termination later than this instance. So a repeated
    // report of the same reset keeps what is known here.
    const hasTerminated = this.resets.some(known => {
      return known.hasTerminated && known.start === start && known.fingerprint === fingerprint
    })
    this.resets.push({ fingerprint, start, wasIsolated, hasTerminated, until })
  }

  /**
   * Records that an endpoint start is known to have terminated, which refuses the isolated requests that it reset. The crash
   * marks of all requests that it reset may arrive later.
   */
  noteTerminated(start: EndpointStart, now: Milliseconds): void {
    this.forgetOld(now)
    const until = now + SUSPICION_MILLISECONDS
    this.resets = this.resets.flatMap(reset => {
      if (reset.start !== start || reset.hasTerminated) return [reset]
      return reset.wasIsolated ? [{ ...reset, hasTerminated: true, until }] : [reset]
    })
  }

  /** Forgets the resets of an endpoint start that is known to be alive. */
  forget(start: EndpointStart): void {
    this.resets = this.resets.filter(reset => reset.start !== start)
  }

  /**
   * Whether a reset request has this scope prefix, the beginning of a fingerprint that depends on path and team only. If
   * none has, the caller need not hash the body of its request.
   */
  hasSuspectsInScope(scope: string, now: Milliseconds): boolean {
    this.forgetOld(now)
    return this.resets.some(
      ({ fingerprint }) => fingerprint.slice(0, SCOPE_PREFIX_LENGTH) === scope,
    )
  }

  /** Forgets the resets of a request at these starts, after an answer or an operator cleared it of the crashes there. */
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

  /** Whether resets of a request count at present, so that it is isolated or refused. */
  has(fingerprint: RequestFingerprint, now: Milliseconds): boolean {
    return this.verdict(fingerprint, now) !== 'send'
  }

  private forgetOld(now: Milliseconds): void {
    if (this.resets.every(({ until }) => until > now)) return
    this.resets = this.resets.filter(({ until }) => until > now)
  }
}
