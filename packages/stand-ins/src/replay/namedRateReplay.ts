/**
 * Replays a fleet before endpoints of which one names a rate, on virtual time: how many requests the whole fleet sends it,
 * at whatever size, and what becomes of the rest. Owns the endpoints' answers and the news between instances; what each
 * instance knows and keeps to is the product's own.
 */

import type { AdviceGossip, EndpointAdvice, RecordedInstance } from '@rackwalk/decisions'
import { EndpointAdviceStore, EndpointDirectory, SendAdmission } from '@rackwalk/router'
import type { EndpointRecord, EndpointState } from '@rackwalk/router'
import {
  UNKNOWN_SOFTWARE_VERSION,
  SeededRandom,
  VirtualClock,
  asId,
  randomBelow,
} from '@rackwalk/shared'
import type { Clock, EndpointStart, Milliseconds } from '@rackwalk/shared'

/** What an instance does about a rate that an endpoint named. */
export interface RatePolicy {
  allows(endpoint: EndpointState): boolean
}

/** What a policy rests on. */
export interface RatePolicyParts {
  readonly clock: Clock
  readonly instance: string
  readonly recorded: readonly RecordedInstance[]
  readonly advices: EndpointAdviceStore
  /** Instances to which callers come, as far as this one hears of them. */
  readonly users: number
}

/** Nobody reads it: what was done before. */
export class UnheededRate implements RatePolicy {
  allows(): boolean {
    return true
  }
}

/** Each of so many instances keeps to its part of it by itself. */
export class DividedRate implements RatePolicy {
  constructor(
    private readonly advices: EndpointAdviceStore,
    private readonly parts: number,
  ) {}

  allows(endpoint: EndpointState): boolean {
    const rate = this.advices.of(endpoint.start)?.requestsPerSecond
    if (rate === undefined) return true
    const licence = { requests: 1, windowMilliseconds: (1_000 * this.parts) / rate }
    return endpoint.waitFor(licence) === 0
  }
}

/** What the product does. */
export function licensedRate({ recorded, instance, ...parts }: RatePolicyParts): RatePolicy {
  return new SendAdmission({
    ...parts,
    instance: () => instance,
    recordedInstances: () => recorded,
    boundsOf: () => undefined,
  })
}

/** What is played. */
export interface NamedRateLoad {
  readonly instances: number
  /** Those of them to which callers come. */
  readonly users: number
  /** The rate that the first endpoint names, requests a second. */
  readonly rate: number
  /** Requests a second of all callers. */
  readonly requestsPerSecond: number
  readonly seed: number
  /** No instance hears another. */
  readonly isDeaf?: boolean
  /** What the product does, where absent. */
  readonly policy?: (parts: RatePolicyParts) => RatePolicy
}

/** What became of it. */
export interface NamedRateOutcome {
  /** The most requests that reached the endpoint in four seconds, from instances told half a second before. */
  readonly mostInWindow: number
  /** Requests that reached it while it named the rate, a second. */
  readonly takenPerSecond: number
  /** Share of all requests that found an endpoint. */
  readonly servedShare: number
}

const ENDPOINTS = 8
const NAMING_FROM: Milliseconds = 2_000
const RUN_MILLISECONDS: Milliseconds = 26_000
const WINDOW_MILLISECONDS: Milliseconds = 4_000
const TOLD_MILLISECONDS: Milliseconds = 500
const HEAD_MILLISECONDS = { least: 30, spread: 300 }
const NEWS_MILLISECONDS: Milliseconds = 25
const SERVICE = 'models'
const SAYS_NOTHING: EndpointAdvice = {
  rate: 'none',
  isLeaving: false,
  restMilliseconds: undefined,
  faults: [],
}

interface ReplayedInstance {
  readonly id: string
  readonly directory: EndpointDirectory
  readonly advices: EndpointAdviceStore
  readonly policy: RatePolicy
  /** Time at which an answer first named the rate here. */
  toldAt: Milliseconds
}

/** Plays one load. */
export async function replayNamedRate(load: NamedRateLoad): Promise<NamedRateOutcome> {
  return new NamedRateReplay(load).run()
}

class NamedRateReplay {
  private readonly clock = new VirtualClock()
  private readonly random: SeededRandom
  private readonly fleet: readonly ReplayedInstance[]
  /** Times at which the endpoint was sent something by an instance that counts as told. */
  private readonly counted: Milliseconds[] = []
  private taken = 0
  private sent = 0
  private refused = 0

  constructor(private readonly load: NamedRateLoad) {
    this.random = new SeededRandom(load.seed)
    const recorded = Array.from({ length: load.instances }, (_, index) => ({
      instance: `instance-${index}`,
      isWorking: index < load.users,
    }))
    this.fleet = recorded.map(({ instance }) => this.createInstance(instance, recorded))
  }

  async run(): Promise<NamedRateOutcome> {
    this.sendNext()
    await this.clock.advance(RUN_MILLISECONDS)
    const seconds = (RUN_MILLISECONDS - NAMING_FROM) / 1_000
    return {
      mostInWindow: this.mostInWindow(),
      takenPerSecond: this.taken / seconds,
      servedShare: this.sent / (this.sent + this.refused),
    }
  }

  private createInstance(id: string, recorded: readonly RecordedInstance[]): ReplayedInstance {
    const { clock } = this
    const directory = new EndpointDirectory({
      clock,
      instances: () => 1,
      maximumConnections: () => 10_000,
      coldMilliseconds: () => 0,
      onChange: () => {},
    })
    for (let index = 0; index < ENDPOINTS; index += 1) directory.set(recordOf(index))
    const advices = new EndpointAdviceStore({
      clock,
      onChange: () => {},
      broadcast: news => this.tell(id, news),
    })
    const { users, isDeaf = false, policy: create = licensedRate } = this.load
    const heard = isDeaf ? 1 : users
    const policy = create({ clock, instance: id, recorded, advices, users: heard })
    return { id, directory, advices, policy, toldAt: Number.POSITIVE_INFINITY }
  }

  /** Requests come at random, as many callers' do. */
  private sendNext(): void {
    const mean = 1_000 / this.load.requestsPerSecond
    this.clock.after(-mean * Math.log(1 - this.random.next()), () => {
      const instance = this.fleet[randomBelow(this.random, this.load.users)]
      if (instance !== undefined) this.serve(instance)
      this.sendNext()
    })
  }

  private serve(instance: ReplayedInstance): void {
    const available = instance.directory.available(SERVICE)
    const open = available.filter(endpoint => instance.policy.allows(endpoint))
    const endpoint = open[randomBelow(this.random, open.length)]
    if (endpoint === undefined) {
      this.refused += 1
      return
    }
    this.sent += 1
    const progress = endpoint.beginRequest(0)
    if (endpoint.record.id === recordOf(0).id) this.noteSent(instance, endpoint.start)
    const head = HEAD_MILLISECONDS.least + HEAD_MILLISECONDS.spread * this.random.next()
    this.clock.after(head, () => {
      progress.end()
      this.takeHead(instance, endpoint)
    })
  }

  private noteSent({ id, toldAt }: ReplayedInstance, start: EndpointStart): void {
    const now = this.clock.monotonic()
    this.reach(id, ({ advices }) => advices.notePeerRequests(start))
    if (now >= NAMING_FROM) this.taken += 1
    if (now >= toldAt + TOLD_MILLISECONDS) this.counted.push(now)
  }

  private takeHead(instance: ReplayedInstance, { record }: EndpointState): void {
    const now = this.clock.monotonic()
    const isNaming = record.id === recordOf(0).id && now >= NAMING_FROM
    if (isNaming) instance.toldAt = Math.min(instance.toldAt, now)
    const advice = isNaming ? { ...SAYS_NOTHING, rate: this.load.rate } : SAYS_NOTHING
    instance.advices.note(record.start, advice, true)
  }

  /** Datagrams reach all others after a moment, or nobody. */
  private tell(from: string, news: AdviceGossip): void {
    this.reach(from, ({ advices }) => advices.observe(news))
  }

  private reach(from: string, hear: (instance: ReplayedInstance) => void): void {
    if (this.load.isDeaf === true) return
    this.clock.after(NEWS_MILLISECONDS, () => {
      for (const instance of this.fleet) if (instance.id !== from) hear(instance)
    })
  }

  private mostInWindow(): number {
    const { counted } = this
    const counts = counted.map(
      from => counted.filter(at => at >= from && at < from + WINDOW_MILLISECONDS).length,
    )
    return Math.max(0, ...counts)
  }
}

function recordOf(index: number): EndpointRecord {
  const id = `endpoint-${index}`
  return {
    id,
    start: asId<EndpointStart>(id),
    service: SERVICE,
    address: `10.0.0.${index}:80`,
    failureDomain: 'domain',
    softwareVersion: UNKNOWN_SOFTWARE_VERSION,
    slots: 64,
    isLeaving: false,
    coldMilliseconds: 0,
  }
}
