/**
 * Refuses requests at once that exceed the capacity of this instance's network link or processor, holds back
 * requests whose callers may have left, and handles the bodies of refused requests. Without it, an overloaded
 * instance would serve requests so late that their callers have left. Owns the remaining capacity of link and
 * processor, the timer that samples the event loop's delay and the wait of new connections, the count of
 * callers that had left, and the share of refused requests; the rules are in decisions/admitting.
 */

import type { IncomingMessage } from 'node:http'
import { setImmediate } from 'node:timers/promises'
import { NotRunError, ResultCode, sleep } from '@rackwalk/shared'
import type { Bytes, Clock, Milliseconds, RandomSource } from '@rackwalk/shared'
import {
  AbandonedRequests,
  SAMPLE_INTERVAL_MILLISECONDS,
  LinkBandwidthBudget,
  LocalRefusals,
  ProcessorLoadShedder,
  ReturningRequests,
  toRetryAfterSeconds,
} from '@rackwalk/decisions'
import type { ShedRank } from '@rackwalk/decisions'
import { RefusedBodyHandler, declaredBodyBytes } from '../refusedBodyHandler.js'
import type { RefusedBodyCounters } from '../refusedBodyHandler.js'
import type { CallerReply } from './callerReply.js'

/** Counts what the admission sees. */
interface AdmissionCounters extends RefusedBodyCounters {
  /** A request that was refused before came back when its caller was told to. */
  noteReturned(): void
}

/** Dependencies of the admission. */
export interface InstanceAdmissionParts {
  readonly clock: Clock
  readonly random: RandomSource
  /**
   * How long new connections wait to be accepted. A call now and then opens a connection to this
   * instance's own listener, which costs about as much as a refused connection.
   */
  readonly acceptMilliseconds: () => Milliseconds
  /** Capacity of this instance's link. */
  readonly linkBytesPerSecond: number
  readonly admissionCounters: AdmissionCounters
}

/** Shares of this instance's processor and link capacity that are used or refused; each is in [0, 1]. */
export interface AdmissionState {
  /** Share of requests that are refused at present because the processor is saturated. */
  readonly refusedPart: number
  /** Share of recently read requests whose callers had already left. */
  readonly abandonedShare: number
  /** Used share of the link's budget for bodies. */
  readonly linkShare: number
}

/**
 * With fewer requests in progress than this, an instance has no queue of connections to accept. The wait
 * of new connections is then taken as 0 and not sampled, since sampling may open a connection.
 */
const MINIMUM_SAMPLED_REQUESTS = 8

/**
 * From this delay of the event loop on, a request is sent only after the events that are pending on its
 * connection: its caller may have left while the request waited to be read.
 */
const LATE_LOOP_MILLISECONDS: Milliseconds = 20

/** Admits requests within the capacity of link and processor. */
export class InstanceAdmission {
  /** Sends refusals and reads the bodies of refused requests within the link's capacity. */
  readonly refusedBodies: RefusedBodyHandler
  private readonly link: LinkBandwidthBudget
  private readonly processor = new ProcessorLoadShedder()
  private readonly abandoned = new AbandonedRequests()
  private readonly refusals = new LocalRefusals()
  private readonly returning = new ReturningRequests()
  private isSampling = false
  /** Whether the newest sample showed that ready events wait for long. */
  private isLoopLate = false

  constructor(
    private readonly parts: InstanceAdmissionParts,
    /** Requests in progress. */
    private readonly running: () => number,
  ) {
    const { clock, linkBytesPerSecond, admissionCounters } = parts
    this.link = new LinkBandwidthBudget(linkBytesPerSecond)
    this.refusedBodies = new RefusedBodyHandler({
      clock,
      link: this.link,
      counters: admissionCounters,
    })
  }

  /**
   * Throws if the request exceeds the capacity. Called before any of its body is read. `returnKey` is the same
   * whenever a caller sends the same request; undefined for a request that can't be told from others.
   */
  admit(request: IncomingMessage, ownRank: ShedRank, returnKey: string | undefined): void {
    this.scheduleSample()
    const rank = { ...ownRank, isReturning: this.takeReturning(returnKey) }
    if (!this.processor.admits(rank, this.parts.random.next())) {
      const wait = this.processor.recoveryMilliseconds
      throw new NotRunError(ResultCode.ProcessorFull, undefined, toRetryAfterSeconds(wait))
    }
    this.takeFromLink(request)
  }

  /** A request was refused with a time to come back, and its caller had `remaining` left. */
  noteRefused(returnKey: string, error: NotRunError, remaining: Milliseconds): void {
    const { retryAfterSeconds } = error
    if (retryAfterSeconds === undefined) return
    const wait = retryAfterSeconds * 1000
    this.returning.noteRefused(returnKey, { wait, remaining }, this.parts.clock.monotonic())
  }

  /** Returns whether a request came back as its caller was told, and counts it. */
  private takeReturning(returnKey: string | undefined): boolean {
    if (returnKey === undefined) return false
    const isReturning = this.returning.takeReturning(returnKey, this.parts.clock.monotonic())
    if (isReturning) this.parts.admissionCounters.noteReturned()
    return isReturning
  }

  get state(): AdmissionState {
    const now = this.parts.clock.monotonic()
    return {
      refusedPart: this.processor.shedShare,
      abandonedShare: this.abandoned.share(now),
      linkShare: this.link.usedShare(now),
    }
  }

  /** A request of this priority has ended with this result code. */
  noteEnd(code: ResultCode, priority: number): void {
    this.refusals.noteEnd(code, priority, this.parts.clock.monotonic())
  }

  /**
   * Share of the most urgent of the recently ended requests that were refused because of this instance's own
   * limits, in [0, 1].
   */
  get refusedShare(): number {
    return this.refusals.share(this.parts.clock.monotonic())
  }

  /**
   * Charges the link for a body without a declared size by the bytes that were read, to its end or until
   * reading was given up. A declared size was already charged at admission.
   */
  noteBody(request: IncomingMessage, bytes: Bytes): void {
    if (declaredBodyBytes(request) !== undefined) return
    this.link.noteBodyRead(bytes, this.parts.clock.monotonic())
  }

  /**
   * The request has been read completely. While many callers turn out to have left before their requests were
   * read, waits until this caller's departure would have been noticed. Throws if the caller has left, since
   * nobody waits for the answer.
   */
  async confirmCaller(reply: CallerReply): Promise<void> {
    const { clock } = this.parts
    const readAt = clock.monotonic()
    this.abandoned.noteRead(readAt)
    reply.onLeave(() => {
      const now = clock.monotonic()
      this.abandoned.noteLeft(now - readAt, now)
    })
    const wait = this.abandoned.leaveNoticeMilliseconds(readAt)
    if (wait > 0) await sleep(clock, wait)
    // A timer that is late fires before the sockets are polled, so the wait alone proves nothing.
    if (wait > 0 || this.isLoopLate) await afterPendingEvents()
    if (reply.isCallerGone) throw new NotRunError(ResultCode.CallerLeftUnsent)
  }

  private takeFromLink(request: IncomingMessage): void {
    const now = this.parts.clock.monotonic()
    const wait = this.link.take(declaredBodyBytes(request), now)
    if (wait === 0) return
    throw new NotRunError(ResultCode.LinkFull, undefined, toRetryAfterSeconds(wait))
  }

  /**
   * Takes the next sample after the interval, and further ones while requests are in progress or refused. An
   * idle instance takes none, so that no timer wakes it up.
   */
  private scheduleSample(): void {
    if (this.isSampling) return
    this.isSampling = true
    const { clock } = this.parts
    const dueAt = clock.monotonic() + SAMPLE_INTERVAL_MILLISECONDS
    clock.after(SAMPLE_INTERVAL_MILLISECONDS, () => {
      this.isSampling = false
      const now = clock.monotonic()
      const delayMilliseconds = Math.max(0, now - dueAt)
      this.isLoopLate = delayMilliseconds >= LATE_LOOP_MILLISECONDS
      this.processor.noteSample({
        delayMilliseconds,
        acceptMilliseconds:
          this.running() < MINIMUM_SAMPLED_REQUESTS ? 0 : this.parts.acceptMilliseconds(),
        abandonedShare: this.abandoned.share(now),
      })
      if (this.running() > 0 || this.processor.shedShare > 0) this.scheduleSample()
    })
  }
}

/**
 * Resolves after the event loop has polled its sockets once more, so that a caller that has already left is
 * noticed: the end of a connection is read in the turn after its last data.
 */
async function afterPendingEvents(): Promise<void> {
  await setImmediate()
  await setImmediate()
}
