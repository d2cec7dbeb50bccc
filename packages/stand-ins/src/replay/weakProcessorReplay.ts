/**
 * Replays the callers of one team that use one instance with a weak processor. The instance's event loop accepts one
 * new connection in each turn, after it has processed all ready events of its open connections. A connection that waits
 * in the accept queue is invisible to the process; its caller gives up after a timeout and tries again. The replay
 * models the event loop, the callers and the outcomes of their requests; the rules under test are the product's own.
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

/** The overload signals that the instance uses, and its measures against abandoned requests. */
export interface WeakProcessorPolicy {
  readonly seesDelay: boolean
  /** Whether the instance connects to itself and measures how long such a probe waits to be accepted. */
  readonly seesAcceptWait: boolean
  readonly seesAbandoned: boolean
  /** Whether the instance waits for a possible disconnect of the caller before it forwards a request. */
  readonly confirmsCallers: boolean
  /** Whether the instance closes its listener for short times while it is overloaded. */
  readonly pausesListener: boolean
  /** Other instances that accept callers. Those that are not overloaded serve all callers that move to them. */
  readonly others: PeerOverload
}

/** First attempts of callers per second: the rate of an initial burst and the rate after it. */
export interface WeakProcessorLoad {
  readonly burst: number
  readonly burstMilliseconds: Milliseconds
  readonly usual: number
  /** Whether a caller whose connection is refused moves to another instance. Otherwise it drops its request. */
  readonly callersMove: boolean
}

/** Numbers of requests by outcome, in the part of the run that counts. */
export interface WeakProcessorOutcome {
  /** First attempts of all requests, at this instance or another. */
  asked: number
  tries: number
  served: number
  /** Served by other instances, because connections to this one were refused. */
  servedElsewhere: number
  /** Refused immediately with an answer. */
  refused: number
  /** Attempts that callers gave up after a timeout without an answer. */
  left: number
  /** Forwarded to an endpoint after their callers had disconnected. */
  sentInVain: number
}

/** Times that 0.324 of a core takes to accept a connection and to refuse a request. */
const ACCEPT_MILLISECONDS: Milliseconds = 0.8
const REFUSAL_MILLISECONDS: Milliseconds = 1.5
/** Times that 0.324 of a core takes to read, route and forward a request and to deliver its answer. */
const REQUEST_MILLISECONDS: Milliseconds = 8
const ANSWER_MILLISECONDS: Milliseconds = 4
const ENGINE_MILLISECONDS: Milliseconds = 100
/** Time without an answer after which callers give up an attempt and try once more. */
const CALLER_TIMEOUT_MILLISECONDS: Milliseconds = 2_000
const MAXIMUM_ATTEMPTS = 2
const RUN_MILLISECONDS: Milliseconds = 24_000
/** Events before this time are not counted in the outcome. */
const COUNTED_FROM_MILLISECONDS: Milliseconds = 12_000
const RANK: ShedRank = { priority: 1, answerTokens: 50 }
/** Number of callers of the team. Each avoids this instance for some time after a refused connection. */
const CALLERS = 60
const AVOIDANCE_MILLISECONDS: Milliseconds = 3_000

/** Marks a connection that the process makes to itself, and the time between two of them. */
const PROBE = Symbol('probe')
const PROBE_INTERVAL_MILLISECONDS: Milliseconds = 200

/** One attempt of a caller to send a request. */
interface CallerAttempt {
  readonly caller: number
  readonly number: number
  hasLeft: boolean
  isOver: boolean
}

interface Scheduled {
  readonly due: Milliseconds
  readonly run: () => void
}

/** Replays one instance under a load. */
export class WeakProcessorReplay {
  private now: Milliseconds = 0
  private readonly scheduled = new TinyQueue<Scheduled>([], (left, right) => left.due - right.due)
  /** Connections that the event loop has not yet accepted. */
  private readonly backlog: (CallerAttempt | typeof PROBE)[] = []
  private readonly probe = { isWaiting: false, madeAt: -PROBE_INTERVAL_MILLISECONDS, waited: 0 }
  /** Handlers of the ready events of accepted connections. */
  private ready: (() => void)[] = []
  private readonly processor = new ProcessorLoadShedder()
  private readonly abandoned = new AbandonedRequests()
  private sampleDue: Milliseconds = SAMPLE_INTERVAL_MILLISECONDS
  private readonly random: SeededRandom
  /** A separate generator, so that arrival times don't depend on the draws of callers and listener pauses. */
  private readonly callerRandom: SeededRandom
  private readonly pause = new ListenerPause()
  private readonly refusals = new LocalRefusals()
  private isListening = true
  /** For each caller, the time until which it uses other instances. */
  private readonly avoidsUntil: Milliseconds[] = new Array<Milliseconds>(CALLERS).fill(0)
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
    this.callerRandom = new SeededRandom(seed)
  }

  /** Runs the load to its end and returns its outcome. */
  run(): WeakProcessorOutcome {
    this.scheduleNext(0)
    if (this.policy.pausesListener) this.scheduleListenerPause()
    while (this.now < RUN_MILLISECONDS) this.runTurn()
    return this.outcome
  }

  /** Runs one turn of the event loop: timers, then ready events, then one new connection. */
  private runTurn(): void {
    this.runDueEvents()
    if (this.now >= this.sampleDue) this.takeSample()
    const ready = this.ready
    this.ready = []
    for (const run of ready) run()
    const taken = this.backlog.shift()
    if (taken === PROBE) this.takeProbe()
    else if (taken !== undefined) this.accept(taken)
    if (ready.length === 0 && taken === undefined) this.idle()
  }

  private runDueEvents(): void {
    for (let next = this.scheduled.peek(); next !== undefined; next = this.scheduled.peek()) {
      if (next.due > this.now) return
      this.scheduled.pop()
      next.run()
    }
  }

  private idle(): void {
    const next = Math.min(this.scheduled.peek()?.due ?? RUN_MILLISECONDS, this.sampleDue)
    this.now = Math.max(this.now, next)
  }

  private spend(milliseconds: Milliseconds): void {
    this.now += milliseconds
  }

  private takeSample(): void {
    const { seesDelay, seesAcceptWait, seesAbandoned } = this.policy
    const sample: ProcessorSample = {
      delayMilliseconds: seesDelay ? this.now - this.sampleDue : 0,
      acceptMilliseconds: seesAcceptWait ? this.probeWaitMilliseconds() : 0,
      abandonedShare: seesAbandoned ? this.abandoned.share(this.now) : 0,
    }
    this.processor.noteSample(sample)
    this.sampleDue = this.now + SAMPLE_INTERVAL_MILLISECONDS
  }

  /**
   * Returns how long the last probe waited, or how long a probe that is not yet accepted has waited. Starts
   * the next probe when it is due.
   */
  private probeWaitMilliseconds(): Milliseconds {
    const { probe } = this
    const age = this.now - probe.madeAt
    if (probe.isWaiting) return age
    if (age >= PROBE_INTERVAL_MILLISECONDS) {
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
    this.spend(ACCEPT_MILLISECONDS)
    this.finishProbe(this.now - this.probe.madeAt)
  }

  private finishProbe(waited: Milliseconds): void {
    this.probe.isWaiting = false
    this.probe.waited = waited
  }

  /** Schedules the next first attempt, independently of the load of the event loop. */
  private scheduleNext(from: Milliseconds): void {
    const { burst, usual, burstMilliseconds } = this.load
    const rate = from < burstMilliseconds ? burst : usual
    const due = from - Math.log(1 - this.random.next()) * (1000 / rate)
    const run = () => {
      this.count('asked')
      this.connect(Math.floor(this.callerRandom.next() * CALLERS), 1)
      this.scheduleNext(due)
    }
    this.scheduled.push({ due, run })
  }

  private connect(caller: number, number: number): void {
    const attempt = { caller, number, hasLeft: false, isOver: false }
    if (this.now < (this.avoidsUntil[caller] ?? 0)) return this.serveElsewhere(attempt)
    this.count('tries')
    if (!this.isListening) return this.rejectConnection(attempt)
    this.after(CALLER_TIMEOUT_MILLISECONDS, () => this.abandonAttempt(attempt))
    this.backlog.push(attempt)
  }

  private abandonAttempt(attempt: CallerAttempt): void {
    if (attempt.isOver) return
    attempt.hasLeft = true
    this.count('left')
    if (attempt.number < MAXIMUM_ATTEMPTS) this.connect(attempt.caller, attempt.number + 1)
  }

  /** Ends an attempt whose connection was refused, or closed before its request was read. */
  private rejectConnection(attempt: CallerAttempt): void {
    attempt.isOver = true
    if (!this.load.callersMove) return
    this.avoidsUntil[attempt.caller] = this.now + AVOIDANCE_MILLISECONDS
    this.serveElsewhere(attempt)
  }

  private serveElsewhere(attempt: CallerAttempt): void {
    attempt.isOver = true
    this.count('servedElsewhere')
  }

  private scheduleListenerPause(): void {
    this.after(listenerOpenMilliseconds(this.callerRandom.next()), () => this.closeListener())
  }

  /** Closes the listener for a time, which also closes all connections that wait to be accepted. */
  private closeListener(): void {
    const { pause, now } = this
    pause.noteRefusedShare(this.refusals.share(now), now)
    const milliseconds = pause.pauseMilliseconds(this.policy.others, now, this.callerRandom.next())
    if (milliseconds === 0) return this.scheduleListenerPause()
    this.isListening = false
    for (const waiting of this.backlog.splice(0)) {
      if (waiting === PROBE) this.finishProbe(0)
      else if (!waiting.hasLeft) this.rejectConnection(waiting)
    }
    this.after(milliseconds, () => {
      this.isListening = true
      this.scheduleListenerPause()
    })
  }

  private accept(attempt: CallerAttempt): void {
    this.spend(ACCEPT_MILLISECONDS)
    this.ready.push(() => this.read(attempt))
  }

  private read(attempt: CallerAttempt): void {
    if (!this.processor.admits(RANK, this.random.next())) return this.refuse(attempt)
    const readAt = this.now
    this.abandoned.noteRead(readAt)
    // If the caller has disconnected, the event loop reads the end of the connection in its next turn.
    if (attempt.hasLeft) this.ready.push(() => this.abandoned.noteLeft(this.now - readAt, this.now))
    const isHeld = this.policy.confirmsCallers && this.abandoned.isShareElevated(readAt)
    if (isHeld)
      this.after(this.abandoned.leaveNoticeMilliseconds(readAt), () => this.confirm(attempt))
    else this.forward(attempt)
  }

  private confirm(attempt: CallerAttempt): void {
    if (!attempt.hasLeft) return this.forward(attempt)
    this.spend(REFUSAL_MILLISECONDS)
    this.refusals.noteEnd(ResultCode.CallerLeftUnsent, RANK.priority, this.now)
  }

  private forward(attempt: CallerAttempt): void {
    this.spend(REQUEST_MILLISECONDS)
    if (attempt.hasLeft) this.count('sentInVain')
    this.after(ENGINE_MILLISECONDS, () => this.ready.push(() => this.answer(attempt)))
  }

  private answer(attempt: CallerAttempt): void {
    if (attempt.hasLeft) return
    this.spend(ANSWER_MILLISECONDS)
    this.refusals.noteEnd(ResultCode.Ok, RANK.priority, this.now)
    attempt.isOver = true
    this.count('served')
  }

  private refuse(attempt: CallerAttempt): void {
    this.spend(REFUSAL_MILLISECONDS)
    this.refusals.noteEnd(ResultCode.ProcessorFull, RANK.priority, this.now)
    if (attempt.hasLeft) return
    attempt.isOver = true
    this.count('refused')
    const wait = this.processor.recoveryMilliseconds
    if (attempt.number < MAXIMUM_ATTEMPTS)
      this.after(wait, () => this.connect(attempt.caller, attempt.number + 1))
  }

  private after(delay: Milliseconds, run: () => void): void {
    this.scheduled.push({ due: this.now + delay, run })
  }

  private count(kind: keyof WeakProcessorOutcome): void {
    if (this.now >= COUNTED_FROM_MILLISECONDS) this.outcome[kind] += 1
  }
}
