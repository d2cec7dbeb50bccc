/**
 * Replays, on virtual time, a fleet in front of endpoints of which one advises a request rate. The outcome is the number
 * of requests that the whole fleet sends to that endpoint, for fleets of any size, and the share of all requests that are
 * served. The replay models the endpoints' answers and the gossip between instances; each instance runs the product's
 * own code for advice and quotas.
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

/** Decides whether an instance may send a request to an endpoint that has advised a rate. */
export interface RatePolicy {
  allows(endpoint: EndpointState): boolean
}

/** The inputs of a policy. */
export interface RatePolicyParts {
  readonly clock: Clock
  readonly instance: string
  readonly recorded: readonly RecordedInstance[]
  readonly advices: EndpointAdviceStore
  /** Number of instances that serve callers, as far as gossip reaches this one. */
  readonly users: number
}

/** Ignores the advised rate. The baseline. */
export class IgnoredRate implements RatePolicy {
  allows(): boolean {
    return true
  }
}

/** Limits each instance to an equal part of the rate, without coordination. */
export class EqualShareRate implements RatePolicy {
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

/** Returns the product's policy: quotas of the rate by the instances' ranks. */
export function rankedQuota({ recorded, instance, ...parts }: RatePolicyParts): RatePolicy {
  return new SendAdmission({
    ...parts,
    instance: () => instance,
    recordedInstances: () => recorded,
    boundsOf: () => undefined,
  })
}

/** The fleet and the load of a replay. */
export interface NamedRateLoad {
  readonly instances: number
  /** Number of those instances that serve callers. */
  readonly users: number
  /** The rate that the first endpoint advises, in requests per second. */
  readonly rate: number
  /** Requests per second of all callers. */
  readonly requestsPerSecond: number
  readonly seed: number
  /** Whether all gossip between instances is lost. */
  readonly isGossipLost?: boolean
  /** Creates the policy of each instance; the product's policy by default. */
  readonly policy?: (parts: RatePolicyParts) => RatePolicy
}

/** The outcome of a replay. */
export interface NamedRateOutcome {
  /**
   * The highest number of requests that reached the endpoint within four seconds, counting only instances
   * that had received the advice at least half a second before.
   */
  readonly mostInWindow: number
  /** Requests per second that reached the endpoint while it advised the rate. */
  readonly takenPerSecond: number
  /** Share of all requests that could be sent to an endpoint. */
  readonly servedShare: number
}

const ENDPOINTS = 8
const ADVICE_FROM_MILLISECONDS: Milliseconds = 2_000
const RUN_MILLISECONDS: Milliseconds = 26_000
const WINDOW_MILLISECONDS: Milliseconds = 4_000
const ADVICE_DELAY_MILLISECONDS: Milliseconds = 500
const HEAD_MILLISECONDS = { least: 30, spread: 300 }
const GOSSIP_MILLISECONDS: Milliseconds = 25
const SERVICE = 'models'
const NO_ADVICE: EndpointAdvice = {
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
  /** Time at which this instance first received an answer with the rate. */
  advisedAt: Milliseconds
}

/** Replays one load. */
export async function replayNamedRate(load: NamedRateLoad): Promise<NamedRateOutcome> {
  return new NamedRateReplay(load).run()
}

class NamedRateReplay {
  private readonly clock = new VirtualClock()
  private readonly random: SeededRandom
  private readonly fleet: readonly ReplayedInstance[]
  /** Times of requests to the endpoint from instances that had received the advice long enough before. */
  private readonly countedTimes: Milliseconds[] = []
  private sentToAdvising = 0
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
    const seconds = (RUN_MILLISECONDS - ADVICE_FROM_MILLISECONDS) / 1_000
    return {
      mostInWindow: this.mostInWindow(),
      takenPerSecond: this.sentToAdvising / seconds,
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
      broadcast: gossip => this.broadcastAdvice(id, gossip),
    })
    const { users, isGossipLost = false, policy: create = rankedQuota } = this.load
    const reachable = isGossipLost ? 1 : users
    const policy = create({ clock, instance: id, recorded, advices, users: reachable })
    return { id, directory, advices, policy, advisedAt: Number.POSITIVE_INFINITY }
  }

  /** Schedules the next request. Intervals are exponential, as for many independent callers. */
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
      this.receiveAdvice(instance, endpoint)
    })
  }

  private noteSent({ id, advisedAt }: ReplayedInstance, start: EndpointStart): void {
    const now = this.clock.monotonic()
    this.deliverGossip(id, ({ advices }) => advices.notePeerRequests(start))
    if (now >= ADVICE_FROM_MILLISECONDS) this.sentToAdvising += 1
    if (now >= advisedAt + ADVICE_DELAY_MILLISECONDS) this.countedTimes.push(now)
  }

  private receiveAdvice(instance: ReplayedInstance, { record }: EndpointState): void {
    const now = this.clock.monotonic()
    const isAdvising = record.id === recordOf(0).id && now >= ADVICE_FROM_MILLISECONDS
    if (isAdvising) instance.advisedAt = Math.min(instance.advisedAt, now)
    const advice = isAdvising ? { ...NO_ADVICE, rate: this.load.rate } : NO_ADVICE
    instance.advices.note(record.start, advice, true)
  }

  /** Delivers advice gossip to all other instances after a short delay, or to none if gossip is lost. */
  private broadcastAdvice(from: string, gossip: AdviceGossip): void {
    this.deliverGossip(from, ({ advices }) => advices.observe(gossip))
  }

  private deliverGossip(from: string, deliver: (instance: ReplayedInstance) => void): void {
    if (this.load.isGossipLost === true) return
    this.clock.after(GOSSIP_MILLISECONDS, () => {
      for (const instance of this.fleet) if (instance.id !== from) deliver(instance)
    })
  }

  private mostInWindow(): number {
    const { countedTimes } = this
    const counts = countedTimes.map(
      from => countedTimes.filter(at => at >= from && at < from + WINDOW_MILLISECONDS).length,
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
