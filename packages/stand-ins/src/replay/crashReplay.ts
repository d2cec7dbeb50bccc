/**
 * Replays, on virtual time, a request that crashes each endpoint that starts to run it, together with harmless
 * requests. The outcome is the number of crashed endpoints and the fate of the harmless requests under a given policy.
 * The replay models the endpoints; the product's policy is the real one.
 */

import { RequestQuarantine, rendezvousChoice } from '@rackwalk/decisions'
import type { CrashMark, QuarantineVerdict } from '@rackwalk/decisions'
import { SeededRandom, VirtualClock, asId, randomBelow } from '@rackwalk/shared'
import type { EndpointStart, Milliseconds, RequestFingerprint } from '@rackwalk/shared'

/** Decides whether requests that were running when endpoints crashed are sent, isolated or refused. */
export interface CrashPolicy {
  verdict(fingerprint: RequestFingerprint): QuarantineVerdict
  noteCrash(mark: CrashMark): void
  noteAnswered(fingerprint: RequestFingerprint): void
}

/** Remembers no crashes, so that each attempt counts as a new request. The baseline. */
export class UnlimitedRetries implements CrashPolicy {
  verdict(): QuarantineVerdict {
    return 'send'
  }

  noteCrash(): void {}

  noteAnswered(): void {}
}

/** Refuses a request after the given number of crashes. Before that, the request is sent normally or isolated. */
export class CrashCountLimit implements CrashPolicy {
  private readonly crashes = new Map<RequestFingerprint, Set<EndpointStart>>()

  constructor(
    private readonly refusedFrom: number,
    private readonly verdictBefore: QuarantineVerdict,
  ) {}

  verdict(fingerprint: RequestFingerprint): QuarantineVerdict {
    const count = this.crashes.get(fingerprint)?.size ?? 0
    if (count >= this.refusedFrom) return 'refuse'
    return count > 0 ? this.verdictBefore : 'send'
  }

  noteCrash({ fingerprint, start }: CrashMark): void {
    const starts = this.crashes.get(fingerprint) ?? new Set()
    starts.add(start)
    this.crashes.set(fingerprint, starts)
  }

  noteAnswered(fingerprint: RequestFingerprint): void {
    this.crashes.delete(fingerprint)
  }
}

/** The product's policy: isolates a suspect request and refuses it after a crash in isolation. */
export class IsolationQuarantine implements CrashPolicy {
  private readonly quarantine = new RequestQuarantine()

  verdict(fingerprint: RequestFingerprint): QuarantineVerdict {
    return this.quarantine.verdict(fingerprint)
  }

  noteCrash(mark: CrashMark): void {
    this.quarantine.noteMark(mark)
  }

  noteAnswered(fingerprint: RequestFingerprint): void {
    const starts = this.quarantine.unclearedMarksOf(fingerprint).map(({ start }) => start)
    this.quarantine.clear(fingerprint, starts)
  }
}

/** The crash-inducing ("marked") request and the power failures of a replay. */
export interface CrashLoad {
  /** Time between two attempts of the marked request; undefined for a load without such a request. */
  readonly markedMilliseconds?: Milliseconds
  /** Number of endpoints that lose power at the same time, every two seconds; 0 for none. */
  readonly powerFailures: number
  readonly seed: number
}

/** Crashes caused by the marked request, and the fate of the other requests. */
export interface CrashOutcome {
  /** Number of crashes that the marked request caused. */
  readonly endsUnderMarked: number
  readonly others: number
  readonly served: number
  /** Requests that were interrupted by a crash. */
  readonly brokenOff: number
  readonly refused: number
}

const ENDPOINTS = 8
const RUN_MILLISECONDS = 20_000
const OTHERS_INTERVAL_MILLISECONDS = 20
/** One in this many of the other requests is the same one, as many callers request a popular page. */
const POPULAR_ONE_IN = 5
/** Time until the first event of an answer, and from there until its end. */
const FIRST_EVENT = { least: 60, spread: 340 }
const ANSWER_MILLISECONDS = 1_200
const CRASH_MILLISECONDS = 100
const RESTART_MILLISECONDS = 3_000
const POWER_FAILURE_INTERVAL_MILLISECONDS = 2_000
/** Time from a crash until all instances know of it: a probe of the address and a gossip datagram. */
const GOSSIP_MILLISECONDS = 25
const MARKED = asId<RequestFingerprint>('marked')

interface RunningRequest {
  readonly fingerprint: RequestFingerprint
  readonly wasIsolated: boolean
  isAnswered: boolean
}

interface ReplayedEndpoint {
  readonly id: string
  start: EndpointStart
  isUp: boolean
  running: Set<RunningRequest>
}

/** Replays one load under one policy. */
export async function replayCrashes(policy: CrashPolicy, load: CrashLoad): Promise<CrashOutcome> {
  const replay = new CrashReplay(policy, load)
  return replay.run()
}

class CrashReplay {
  private readonly clock = new VirtualClock()
  private readonly random: SeededRandom
  private readonly endpoints: readonly ReplayedEndpoint[]
  private readonly outcome = { endsUnderMarked: 0, others: 0, served: 0, brokenOff: 0, refused: 0 }

  constructor(
    private readonly policy: CrashPolicy,
    private readonly load: CrashLoad,
  ) {
    this.random = new SeededRandom(load.seed)
    this.endpoints = Array.from({ length: ENDPOINTS }, (_, index) => {
      const id = `endpoint-${index}`
      return { id, start: asId<EndpointStart>(id), isUp: true, running: new Set() }
    })
  }

  async run(): Promise<CrashOutcome> {
    const { markedMilliseconds, powerFailures } = this.load
    this.every(OTHERS_INTERVAL_MILLISECONDS, () => this.sendOther())
    if (markedMilliseconds !== undefined) this.every(markedMilliseconds, () => this.sendMarked())
    if (powerFailures > 0)
      this.every(POWER_FAILURE_INTERVAL_MILLISECONDS, () => this.losePower(powerFailures))
    await this.clock.advance(RUN_MILLISECONDS)
    return this.outcome
  }

  private every(interval: Milliseconds, run: () => void): void {
    this.clock.after(interval, () => {
      run()
      this.every(interval, run)
    })
  }

  private sendMarked(): void {
    const sent = this.send(MARKED)
    if (sent === undefined) return
    const { endpoint, request } = sent
    this.clock.after(CRASH_MILLISECONDS, () => {
      if (!endpoint.running.has(request)) return
      this.outcome.endsUnderMarked += 1
      this.crash(endpoint)
    })
  }

  private sendOther(): void {
    this.outcome.others += 1
    const isPopular = this.random.next() < 1 / POPULAR_ONE_IN
    const name = isPopular ? 'popular' : `other ${this.outcome.others}`
    const sent = this.send(asId(name))
    if (sent === undefined) {
      this.outcome.refused += 1
      return
    }
    const { endpoint, request } = sent
    const first = FIRST_EVENT.least + FIRST_EVENT.spread * this.random.next()
    this.clock.after(first, () => {
      if (!endpoint.running.has(request)) return
      request.isAnswered = true
      this.policy.noteAnswered(request.fingerprint)
    })
    this.clock.after(first + ANSWER_MILLISECONDS, () => {
      if (endpoint.running.delete(request)) this.outcome.served += 1
    })
  }

  private send(fingerprint: RequestFingerprint) {
    const up = this.endpoints.filter(({ isUp }) => isUp)
    const verdict = this.policy.verdict(fingerprint)
    if (verdict === 'refuse' || up.length === 0) return undefined
    const ids = up.map(({ id }) => id)
    const hashed = rendezvousChoice(fingerprint, ids)
    const isolated = up.find(({ id }) => id === hashed)
    const endpoint = verdict === 'isolate' ? isolated : up[randomBelow(this.random, up.length)]
    if (endpoint === undefined) return undefined
    const request = { fingerprint, wasIsolated: verdict === 'isolate', isAnswered: false }
    endpoint.running.add(request)
    return { endpoint, request }
  }

  private losePower(count: number): void {
    for (const endpoint of this.endpoints.filter(({ isUp }) => isUp).slice(0, count)) {
      this.crash(endpoint)
    }
  }

  private crash(endpoint: ReplayedEndpoint): void {
    const lost = [...endpoint.running]
    const { start } = endpoint
    endpoint.isUp = false
    endpoint.running = new Set()
    this.outcome.brokenOff += lost.filter(({ fingerprint }) => fingerprint !== MARKED).length
    this.clock.after(GOSSIP_MILLISECONDS, () => {
      for (const { fingerprint, wasIsolated, isAnswered } of lost) {
        if (!isAnswered) this.policy.noteCrash({ fingerprint, start, wasIsolated })
      }
    })
    this.clock.after(RESTART_MILLISECONDS, () => {
      endpoint.isUp = true
      endpoint.start = asId(`${endpoint.id}@${this.clock.monotonic()}`)
    })
  }
}
