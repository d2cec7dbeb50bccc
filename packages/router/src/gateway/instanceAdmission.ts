/**
 * Refuses at once what this instance itself cannot carry: its link, or its processor; holds back what nobody may wait
 * for any more; and sees to the bodies of refused requests. Owns what both still bear, the timer that tells how long
 * ready work waits, and the count of callers that had left; the rules are in decisions/admitting.
 */

import type { IncomingMessage } from 'node:http'
import { NotRunError, ResultCode, sleep } from '@rackwalk/shared'
import type { Bytes, Clock, Milliseconds, RandomSource } from '@rackwalk/shared'
import {
  AbandonedRequests,
  SAMPLE_INTERVAL_MILLISECONDS,
  LinkBandwidthBudget,
  LocalRefusals,
  ProcessorLoadShedder,
  toRetryAfterSeconds,
} from '@rackwalk/decisions'
import type { ShedRank } from '@rackwalk/decisions'
import { RefusedBodyHandler, declaredBodyBytes } from '../refusedBodyHandler.js'
import type { RefusedBodyCounters } from '../refusedBodyHandler.js'
import type { CallerReply } from './callerReply.js'

/** What the admission works with. */
export interface InstanceAdmissionParts {
  readonly clock: Clock
  readonly random: RandomSource
  /** How long new connections wait to be taken; asking costs a connection now and then. */
  readonly acceptMilliseconds: () => Milliseconds
  /** What the own link carries. */
  readonly linkBytesPerSecond: number
  readonly refusedBodyCounters: RefusedBodyCounters
}

/** How much of what the instance bears is in use; each in [0, 1]. */
export interface AdmissionState {
  /** Part of the requests that is refused since the processor is full. */
  readonly refusedPart: number
  /** Part of the requests read lately whose callers had left before. */
  readonly abandonedShare: number
  /** Part of the link's budget for bodies that is spent. */
  readonly linkShare: number
}

/** An instance with fewer requests in progress has no queue before it: it costs nothing there. */
const PROBED_REQUESTS = 8

/** Takes requests as long as link and processor bear them. */
export class InstanceAdmission {
  /** Sends refusals within what the link bears. */
  readonly refusedBodies: RefusedBodyHandler
  private readonly link: LinkBandwidthBudget
  private readonly processor = new ProcessorLoadShedder()
  private readonly abandoned = new AbandonedRequests()
  private readonly refusals = new LocalRefusals()
  private isWatching = false

  constructor(
    private readonly parts: InstanceAdmissionParts,
    /** Requests in progress. */
    private readonly running: () => number,
  ) {
    const { clock, linkBytesPerSecond, refusedBodyCounters } = parts
    this.link = new LinkBandwidthBudget(linkBytesPerSecond)
    this.refusedBodies = new RefusedBodyHandler({
      clock,
      link: this.link,
      counters: refusedBodyCounters,
    })
  }

  /** Throws where the request cannot be carried; nothing of its body has been read then. */
  admit(request: IncomingMessage, rank: ShedRank): void {
    this.watchDelay()
    if (!this.processor.admits(rank, this.parts.random.next())) {
      const wait = this.processor.recoveryMilliseconds
      throw new NotRunError(ResultCode.ProcessorFull, undefined, toRetryAfterSeconds(wait))
    }
    this.takeFromLink(request)
  }

  get state(): AdmissionState {
    const now = this.parts.clock.monotonic()
    return {
      refusedPart: this.processor.shedShare,
      abandonedShare: this.abandoned.share(now),
      linkShare: this.link.usedShare(now),
    }
  }

  /** A request has ended. */
  noteEnd(code: ResultCode): void {
    this.refusals.noteEnd(code, this.parts.clock.monotonic())
  }

  /** The share of requests that ended lately and were turned away for reasons of this instance, in [0, 1]. */
  get refusedShare(): number {
    return this.refusals.share(this.parts.clock.monotonic())
  }

  /** So much of a body has been read, to its end or until its reading was given up. */
  noteBody(request: IncomingMessage, bytes: Bytes): void {
    if (declaredBodyBytes(request) !== undefined) return
    this.link.noteBodyRead(bytes, this.parts.clock.monotonic())
  }

  /**
   * A request has been read. Waits where callers of others had left before theirs were, and throws where this one
   * has: nobody waits for it any more.
   */
  async confirmCaller(reply: CallerReply): Promise<void> {
    const { clock } = this.parts
    const readAt = clock.monotonic()
    this.abandoned.noteRead(readAt)
    reply.onLeave(() => {
      const now = clock.monotonic()
      this.abandoned.noteLeft(now - readAt, now)
    })
    const wait = this.abandoned.confirmationMilliseconds(readAt)
    if (wait > 0) await sleep(clock, wait)
    if (reply.isCallerGone) throw new NotRunError(ResultCode.CallerLeftUnsent)
  }

  private takeFromLink(request: IncomingMessage): void {
    const now = this.parts.clock.monotonic()
    const wait = this.link.take(declaredBodyBytes(request), now)
    if (wait === 0) return
    throw new NotRunError(ResultCode.LinkFull, undefined, toRetryAfterSeconds(wait))
  }

  /** Looks at the delay while there is work; an idle instance wakes for nothing. */
  private watchDelay(): void {
    if (this.isWatching) return
    this.isWatching = true
    const { clock } = this.parts
    const dueAt = clock.monotonic() + SAMPLE_INTERVAL_MILLISECONDS
    clock.after(SAMPLE_INTERVAL_MILLISECONDS, () => {
      this.isWatching = false
      const now = clock.monotonic()
      this.processor.noteSample({
        delayMilliseconds: Math.max(0, now - dueAt),
        acceptMilliseconds: this.running() < PROBED_REQUESTS ? 0 : this.parts.acceptMilliseconds(),
        abandonedShare: this.abandoned.share(now),
      })
      if (this.running() > 0 || this.processor.shedShare > 0) this.watchDelay()
    })
  }
}
