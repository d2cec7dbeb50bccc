/**
 * Callers of one team before one instance whose processor is weak. The instance's event loop takes one new
 * connection in each turn, after everything that is ready on those it has; a connection that waits to be taken is
 * seen by nobody, and its caller leaves after a while and comes again. Owns the loop, the callers and what came of
 * their requests; the rules under test are the product's own.
 */

import {
  AbandonedRequests,
  SAMPLE_INTERVAL_MILLISECONDS,
  ListenerPause,
  LocalRefusals,
  ProcessorLoadShedder,
  listenerOpenMilliseconds,
} from '@rackwalk/decisions'
import type { PeerOverload, ProcessorSample, ShedRank } from '@rackwalk/decisions'
import { ResultCode, SeededRandom } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import TinyQueue from 'tinyqueue'

/** Which signs the instance sees, and what it does with those that have left. */
export interface WeakProcessorPolicy {
  readonly seesDelay: boolean
  /** Whether it makes connections to itself and sees how long they wait. */
  readonly seesAcceptWait: boolean
  readonly seesAbandoned: boolean
  /** Whether it waits for the word that a caller has left before it sends a request on. */
  readonly confirmsCallers: boolean
  /** Whether it closes its listener for moments while it is overloaded. */
  readonly pausesListener: boolean
  /** Others that take callers; those that are not overloaded serve whoever turns to them. */
  readonly others: PeerOverload
}

/** Requests a second that callers make for the first time: at first so many, and later so many. */
export interface WeakProcessorLoad {
  readonly burst: number
  readonly burstMilliseconds: Milliseconds
  readonly usual: number
  /** Whether a caller whose connection does not come up goes elsewhere; one that stays gives its request up. */
  readonly callersMove: boolean
}

/** What came of the requests in the part of the run that counts. */
export interface WeakProcessorOutcome {
  /** Requests that callers made for the first time, wherever they went. */
  asked: number
  tries: number
  served: number
  /** By other instances, to which callers turned as their connections did not come up. */
  servedElsewhere: number
  /** Told at once that they are not taken. */
  refused: number
  /** Got nothing for as long as they waited. */
  left: number
  /** Sent to an endpoint after their callers had left. */
  sentInVain: number
}

/** Work of 0.324 of a core, as time that it takes: to take a connection, to refuse a request, */
const ACCEPT_MILLISECONDS: Milliseconds = 0.8
const REFUSAL_MILLISECONDS: Milliseconds = 1.5
/** to read a request, choose and send it on, and to pass its answer. */
const REQUEST_MILLISECONDS: Milliseconds = 8
const ANSWER_MILLISECONDS: Milliseconds = 4
const ENGINE_MILLISECONDS: Milliseconds = 100
/** Callers give up when nothing has come for this long, and try once more. */
const PATIENCE_MILLISECONDS: Milliseconds = 2_000
const TRIES = 2
const RUN_MILLISECONDS: Milliseconds = 24_000
/** What comes before this does not count. */
const COUNTED_FROM_MILLISECONDS: Milliseconds = 12_000
const RANK: ShedRank = { priority: 1, answerTokens: 50 }
/** Callers of the team, each of whom remembers for so long that this instance has failed it. */
const CALLERS = 60
const REMEMBERED_MILLISECONDS: Milliseconds = 3_000

/** A connection that the process makes to itself, and the time between two. */
const PROBE = Symbol('probe')
const PROBE_MILLISECONDS: Milliseconds = 200

/** One try of a caller. */
interface CallerTry {
  readonly caller: number
  readonly number: number
  hasLeft: boolean
  isOver: boolean
}

interface Scheduled {
  readonly due: Milliseconds
  readonly run: () => void
}

/** Plays one instance under a load. */
export class WeakProcessorReplay {
  private now: Milliseconds = 0
  private readonly scheduled = new TinyQueue<Scheduled>([], (left, right) => left.due - right.due)
  /** Connections that the loop has not taken yet. */
  private readonly backlog: (CallerTry | typeof PROBE)[] = []
  private readonly probe = { isWaiting: false, madeAt: -PROBE_MILLISECONDS, waited: 0 }
  /** What is ready on the connections that it has. */
  private ready: (() => void)[] = []
  private readonly processor = new ProcessorLoadShedder()
  private readonly abandoned = new AbandonedRequests()
  private lookDue: Milliseconds = SAMPLE_INTERVAL_MILLISECONDS
  private readonly random: SeededRandom
  /** Apart, so that requests come at the same times whether or not it matters who sends them. */
  private readonly callers: SeededRandom
  private readonly pause = new ListenerPause()
  private readonly refusals = new LocalRefusals()
  private isListening = true
  /** Time until which a caller goes elsewhere. */
  private readonly awayUntil: Milliseconds[] = new Array<Milliseconds>(CALLERS).fill(0)
  private readonly outcome: WeakProcessorOutcome = {
    asked: 0,
    tries: 0,
    served: 0,
    servedElsewhere: 0,
    refused: 0,
    left: 0,
    sentInVain: 0,
  }

  constructor(
    private readonly policy: WeakProcessorPolicy,
    private readonly load: WeakProcessorLoad,
    seed: number,
  ) {
    this.random = new SeededRandom(seed)
    this.callers = new SeededRandom(seed)
  }

  /** Plays the load to its end. */
  run(): WeakProcessorOutcome {
    this.scheduleNext(0)
    if (this.policy.pausesListener) this.scheduleWindow()
    while (this.now < RUN_MILLISECONDS) this.turn()
    return this.outcome
  }

  /** One turn of the loop: its timer, what is ready, one new connection. */
  private turn(): void {
    this.arrive()
    if (this.now >= this.lookDue) this.look()
    const ready = this.ready
    this.ready = []
    for (const run of ready) run()
    const taken = this.backlog.shift()
    if (taken === PROBE) this.takeProbe()
    else if (taken !== undefined) this.accept(taken)
    if (ready.length === 0 && taken === undefined) this.idle()
  }

  private arrive(): void {
    for (let next = this.scheduled.peek(); next !== undefined; next = this.scheduled.peek()) {
      if (next.due > this.now) return
      this.scheduled.pop()
      next.run()
    }
  }

  private idle(): void {
    const next = Math.min(this.scheduled.peek()?.due ?? RUN_MILLISECONDS, this.lookDue)
    this.now = Math.max(this.now, next)
  }

  private work(milliseconds: Milliseconds): void {
    this.now += milliseconds
  }

  private look(): void {
    const { seesDelay, seesAcceptWait, seesAbandoned } = this.policy
    const look: ProcessorSample = {
      delayMilliseconds: seesDelay ? this.now - this.lookDue : 0,
      acceptMilliseconds: seesAcceptWait ? this.lookAtProbe() : 0,
      abandonedShare: seesAbandoned ? this.abandoned.share(this.now) : 0,
    }
    this.processor.noteSample(look)
    this.lookDue = this.now + SAMPLE_INTERVAL_MILLISECONDS
  }

  /** How long the last probe waited, or the one that still waits has; makes the next one where it is due. */
  private lookAtProbe(): Milliseconds {
    const { probe } = this
    const age = this.now - probe.madeAt
    if (probe.isWaiting) return age
    if (age >= PROBE_MILLISECONDS) {
      if (!this.isListening) probe.waited = 0
      else this.makeProbe()
    }
    return probe.waited
  }

  private makeProbe(): void {
    this.probe.isWaiting = true
    this.probe.madeAt = this.now
    this.backlog.push(PROBE)
  }

  private takeProbe(): void {
    this.work(ACCEPT_MILLISECONDS)
    this.endProbe(this.now - this.probe.madeAt)
  }

  private endProbe(waited: Milliseconds): void {
    this.probe.isWaiting = false
    this.probe.waited = waited
  }

  /** Callers come whether or not the loop has time for them. */
  private scheduleNext(from: Milliseconds): void {
    const { burst, usual, burstMilliseconds } = this.load
    const rate = from < burstMilliseconds ? burst : usual
    const due = from - Math.log(1 - this.random.next()) * (1000 / rate)
    const run = () => {
      this.count('asked')
      this.connect(Math.floor(this.callers.next() * CALLERS), 1)
      this.scheduleNext(due)
    }
    this.scheduled.push({ due, run })
  }

  private connect(caller: number, number: number): void {
    const attempt = { caller, number, hasLeft: false, isOver: false }
    if (this.now < (this.awayUntil[caller] ?? 0)) return this.serveElsewhere(attempt)
    this.count('tries')
    if (!this.isListening) return this.turnAway(attempt)
    this.after(PATIENCE_MILLISECONDS, () => this.giveUp(attempt))
    this.backlog.push(attempt)
  }

  private giveUp(attempt: CallerTry): void {
    if (attempt.isOver) return
    attempt.hasLeft = true
    this.count('left')
    if (attempt.number < TRIES) this.connect(attempt.caller, attempt.number + 1)
  }

  /** A connection that did not come up, or ended before anything was read. */
  private turnAway(attempt: CallerTry): void {
    attempt.isOver = true
    if (!this.load.callersMove) return
    this.awayUntil[attempt.caller] = this.now + REMEMBERED_MILLISECONDS
    this.serveElsewhere(attempt)
  }

  private serveElsewhere(attempt: CallerTry): void {
    attempt.isOver = true
    this.count('servedElsewhere')
  }

  private scheduleWindow(): void {
    this.after(listenerOpenMilliseconds(this.callers.next()), () => this.closeListener())
  }

  /** Whoever waits to be taken is turned away with the listener. */
  private closeListener(): void {
    const { pause, now } = this
    pause.noteRefusedShare(this.refusals.share(now), now)
    const milliseconds = pause.pauseMilliseconds(this.policy.others, now, this.callers.next())
    if (milliseconds === 0) return this.scheduleWindow()
    this.isListening = false
    for (const waiting of this.backlog.splice(0)) {
      if (waiting === PROBE) this.endProbe(0)
      else if (!waiting.hasLeft) this.turnAway(waiting)
    }
    this.after(milliseconds, () => {
      this.isListening = true
      this.scheduleWindow()
    })
  }

  private accept(attempt: CallerTry): void {
    this.work(ACCEPT_MILLISECONDS)
    this.ready.push(() => this.read(attempt))
  }

  private read(attempt: CallerTry): void {
    if (!this.processor.admits(RANK, this.random.next())) return this.refuse(attempt)
    const readAt = this.now
    this.abandoned.noteRead(readAt)
    // The end of the connection, where its caller has left, is read in the next turn.
    if (attempt.hasLeft) this.ready.push(() => this.abandoned.noteLeft(this.now - readAt, this.now))
    const isHeld = this.policy.confirmsCallers && this.abandoned.isElevated(readAt)
    if (isHeld)
      this.after(this.abandoned.confirmationMilliseconds(readAt), () => this.confirm(attempt))
    else this.sendOn(attempt)
  }

  private confirm(attempt: CallerTry): void {
    if (!attempt.hasLeft) return this.sendOn(attempt)
    this.work(REFUSAL_MILLISECONDS)
    this.refusals.noteEnd(ResultCode.CallerLeftUnsent, this.now)
  }

  private sendOn(attempt: CallerTry): void {
    this.work(REQUEST_MILLISECONDS)
    if (attempt.hasLeft) this.count('sentInVain')
    this.after(ENGINE_MILLISECONDS, () => this.ready.push(() => this.answer(attempt)))
  }

  private answer(attempt: CallerTry): void {
    if (attempt.hasLeft) return
    this.work(ANSWER_MILLISECONDS)
    this.refusals.noteEnd(ResultCode.Ok, this.now)
    attempt.isOver = true
    this.count('served')
  }

  private refuse(attempt: CallerTry): void {
    this.work(REFUSAL_MILLISECONDS)
    this.refusals.noteEnd(ResultCode.ProcessorFull, this.now)
    if (attempt.hasLeft) return
    attempt.isOver = true
    this.count('refused')
    const wait = this.processor.recoveryMilliseconds
    if (attempt.number < TRIES)
      this.after(wait, () => this.connect(attempt.caller, attempt.number + 1))
  }

  private after(delay: Milliseconds, run: () => void): void {
    this.scheduled.push({ due: this.now + delay, run })
  }

  private count(kind: keyof WeakProcessorOutcome): void {
    if (this.now >= COUNTED_FROM_MILLISECONDS) this.outcome[kind] += 1
  }
}
