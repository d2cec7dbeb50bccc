/**
 * Replays a request that ends each endpoint that begins to run it, beside innocent ones, on virtual time: how many
 * endpoints are lost, and what the others pay, by what is done about it. Owns the endpoints' lives; the rule that the
 * product follows is the real one.
 */

import { RequestQuarantine, rendezvousChoice } from '@rackwalk/decisions'
import type { CrashMark, QuarantineVerdict } from '@rackwalk/decisions'
import { SeededRandom, VirtualClock, asId, randomBelow } from '@rackwalk/shared'
import type { EndpointStart, Milliseconds, RequestFingerprint } from '@rackwalk/shared'

/** What is done about requests under which endpoints ended. */
export interface CrashPolicy {
  verdict(fingerprint: RequestFingerprint): QuarantineVerdict
  noteEnd(mark: CrashMark): void
  noteAnswered(fingerprint: RequestFingerprint): void
}

/** Each try is a new request: what was done before. */
export class NoMemory implements CrashPolicy {
  verdict(): QuarantineVerdict {
    return 'send'
  }

  noteEnd(): void {}

  noteAnswered(): void {}
}

/** After so many ends a request is refused; until then it is sent as any other, or isolated. */
export class CountedEnds implements CrashPolicy {
  private readonly ends = new Map<RequestFingerprint, Set<EndpointStart>>()

  constructor(
    private readonly refusedFrom: number,
    private readonly verdictBefore: QuarantineVerdict,
  ) {}

  verdict(fingerprint: RequestFingerprint): QuarantineVerdict {
    const count = this.ends.get(fingerprint)?.size ?? 0
    if (count >= this.refusedFrom) return 'refuse'
    return count > 0 ? this.verdictBefore : 'send'
  }

  noteEnd({ fingerprint, start }: CrashMark): void {
    const ends = this.ends.get(fingerprint) ?? new Set()
    ends.add(start)
    this.ends.set(fingerprint, ends)
  }

  noteAnswered(fingerprint: RequestFingerprint): void {
    this.ends.delete(fingerprint)
  }
}

/** What the product does. */
export class IsolatedTry implements CrashPolicy {
  private readonly suspicions = new RequestQuarantine()

  verdict(fingerprint: RequestFingerprint): QuarantineVerdict {
    return this.suspicions.verdict(fingerprint)
  }

  noteEnd(mark: CrashMark): void {
    this.suspicions.noteMark(mark)
  }

  noteAnswered(fingerprint: RequestFingerprint): void {
    const starts = this.suspicions.openMarksOf(fingerprint).map(({ start }) => start)
    this.suspicions.clear(fingerprint, starts)
  }
}

/** What comes, and what fails beside the marked request. */
export interface CrashLoad {
  /** Time between two tries of the marked request; undefined where there is none. */
  readonly markedMilliseconds?: Milliseconds
  /** Endpoints that lose power at once, every two seconds; 0 for none. */
  readonly powerless: number
  readonly seed: number
}

/** What became of it. */
export interface CrashOutcome {
  readonly endsUnderMarked: number
  readonly others: number
  readonly served: number
  readonly brokenOff: number
  readonly refused: number
}

const ENDPOINTS = 8
const RUN_MILLISECONDS = 20_000
const OTHERS_MILLISECONDS = 20
/** So many of the others are the same few requests, as pages that many read. */
const POPULAR = 5
/** Time to the first event, and for the whole answer. */
const FIRST_EVENT = { least: 60, spread: 340 }
const ANSWER_MILLISECONDS = 1_200
const CRASH_MILLISECONDS = 100
const BACK_MILLISECONDS = 3_000
const POWER_MILLISECONDS = 2_000
/** From an end to the knowledge of all instances: a look at the address and a datagram. */
const NEWS_MILLISECONDS = 25
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

/** Plays one load under one policy. */
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
    const { markedMilliseconds, powerless } = this.load
    this.every(OTHERS_MILLISECONDS, () => this.sendOther())
    if (markedMilliseconds !== undefined) this.every(markedMilliseconds, () => this.sendMarked())
    if (powerless > 0) this.every(POWER_MILLISECONDS, () => this.losePower(powerless))
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
      this.end(endpoint)
    })
  }

  private sendOther(): void {
    this.outcome.others += 1
    const isPopular = this.random.next() < 1 / POPULAR
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
      this.end(endpoint)
    }
  }

  private end(endpoint: ReplayedEndpoint): void {
    const lost = [...endpoint.running]
    const { start } = endpoint
    endpoint.isUp = false
    endpoint.running = new Set()
    this.outcome.brokenOff += lost.filter(({ fingerprint }) => fingerprint !== MARKED).length
    this.clock.after(NEWS_MILLISECONDS, () => {
      for (const { fingerprint, wasIsolated, isAnswered } of lost) {
        if (!isAnswered) this.policy.noteEnd({ fingerprint, start, wasIsolated })
      }
    })
    this.clock.after(BACK_MILLISECONDS, () => {
      endpoint.isUp = true
      endpoint.start = asId(`${endpoint.id}@${this.clock.monotonic()}`)
    })
  }
}
