/**
 * Replays, on virtual time, a fleet of which some instances lose their links to all endpoints. Each instance
 * runs the product's own link monitor, gossip about lost links, choice of active instances and choice of the
 * instance that takes a relayed request. Links to callers and peers have a rate, connections to endpoints are
 * pooled. The outcome counts first tries at the instances that lost their links and at the others.
 */

import { ActiveFleet, CutOffInstances, FleetRelayPeers } from '@rackwalk/daemon'
import { DemandMeter } from '@rackwalk/coordination'
import type { MemberRow } from '@rackwalk/coordination'
import { relayStep, silenceMilliseconds, wasNeverSent } from '@rackwalk/decisions'
import type { AttemptOutcome, RelayOutcome } from '@rackwalk/decisions'
import { LinkMonitor } from '@rackwalk/router'
import { SeededRandom, VirtualClock, randomBelow, sleep } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import type { LostBy, LostLinksOutcome, LostLinksScenario, TryCount } from './lostLinksScenario.js'
import { ReplayedEndpoint, ReplayedResource } from './replayedLinks.js'

const FAILURE_DOMAINS = 4
const ENDPOINTS = 42
const SERVICE = 'models'
const REGION = 'region'
const REQUESTS_PER_SECOND_AND_INSTANCE = 4.7
const BODY_BYTES = 9_000
/** Two instances of each failure domain are strong; the others have a small link. */
const STRONG = { capacity: 200, cores: 1.35, linkMegabits: 140 }
const WEAK = { capacity: 10, cores: 0.324, linkMegabits: 10 }
const REQUESTS_PER_CORE_MILLISECOND = 0.3
const BYTES_PER_MEGABIT_MILLISECOND = 125
const STRONG_IN_DOMAIN = 2
const ACTIVE_BOUNDS = { minimumInDomain: 2, headroom: 2 }
const DEFAULT_STAYING_SHARE = 0.2
const ADDRESS_MILLISECONDS: Milliseconds = 5_000
const ROW_MILLISECONDS: Milliseconds = 1_000
const GOSSIP_DELAY_MILLISECONDS: Milliseconds = 1
const GOSSIP_LOSS = 0.01
const GOSSIP_BYTES = 80
const GOSSIP_BYTES_PER_SECOND = 5_000
const SHORTEST_GOSSIP_MILLISECONDS: Milliseconds = 1_000
const MAXIMUM_ATTEMPTS = 3
const CONNECT_MILLISECONDS: Milliseconds = 150
const STATE_MILLISECONDS: Milliseconds = 500
const ANSWER_MILLISECONDS: Milliseconds = 60
const HOP_MILLISECONDS: Milliseconds = 1
const DEADLINES: readonly Milliseconds[] = [600, 4_000]
const WARM_UP_MILLISECONDS: Milliseconds = 6_000
/** Time by which all instances have to know of the loss. */
const CONTACT_MILLISECONDS: Milliseconds = 4_000
const JUDGED_MILLISECONDS: Milliseconds = 6_000

/** How one instance answered a request. */
type Answer = 'served' | 'refused' | 'failed'

interface SentRequest {
  readonly deadlineAt: Milliseconds
}

interface ReplayedInstance {
  readonly index: number
  readonly name: string
  readonly failureDomain: string
  readonly requestRate: DemandMeter
  readonly processor: ReplayedResource
  readonly inbound: ReplayedResource
  readonly outbound: ReplayedResource
  readonly endpoints: readonly ReplayedEndpoint[]
  readonly fleet: ActiveFleet
  readonly relayPeers: FleetRelayPeers
  readonly cutOff: CutOffInstances
  readonly monitor: LinkMonitor<ReplayedEndpoint>
  row: MemberRow
  hasLostLinks: boolean
  relaysTaken: number
}

interface Caller {
  readonly stayingWith: ReplayedInstance | undefined
  addresses: readonly string[]
}

/** Replays the scenario once. The same seed gives the same outcome. */
export function replayLostLinks(scenario: LostLinksScenario): Promise<LostLinksOutcome> {
  return new LostLinksReplay(scenario).run()
}

class LostLinksReplay {
  private readonly clock = new VirtualClock()
  private readonly random: SeededRandom
  /** Draws which instances a directory answer names, so that the other draws do not depend on them. */
  private readonly answerRandom: SeededRandom
  private readonly instances: readonly ReplayedInstance[]
  private readonly byName: ReadonlyMap<string, ReplayedInstance>
  private readonly callers: readonly Caller[]
  private readonly atCut: TryCount = { sent: 0, served: 0 }
  private readonly atOthers: TryCount = { sent: 0, served: 0 }
  private isJudged = false

  constructor(private readonly scenario: LostLinksScenario) {
    this.random = new SeededRandom(scenario.seed)
    this.answerRandom = new SeededRandom(scenario.seed + 1)
    this.instances = Array.from({ length: scenario.instances }, (_, index) => this.create(index))
    this.byName = new Map(this.instances.map(instance => [instance.name, instance]))
    this.callers = this.instances.map(() => this.createCaller())
  }

  async run(): Promise<LostLinksOutcome> {
    this.repeat(ROW_MILLISECONDS, () => this.writeRows())
    for (const caller of this.callers) this.keepAddresses(caller)
    const perSecond = REQUESTS_PER_SECOND_AND_INSTANCE * this.instances.length
    this.repeat(1_000 / perSecond, () => void this.sendRequest())
    await this.clock.advance(WARM_UP_MILLISECONDS)
    this.loseLinks()
    await this.clock.advance(CONTACT_MILLISECONDS)
    this.isJudged = true
    await this.clock.advance(JUDGED_MILLISECONDS)
    this.isJudged = false
    await this.clock.advance(Math.max(...DEADLINES))
    return { atCut: this.atCut, atOthers: this.atOthers, busiestShare: this.busiestShare }
  }

  private get busiestShare(): number {
    const taken = this.instances.map(({ relaysTaken }) => relaysTaken)
    const all = taken.reduce((sum, count) => sum + count, 0)
    return all === 0 ? 0 : Math.max(...taken) / all
  }

  private loseLinks(): void {
    for (const instance of this.instances) {
      instance.hasLostLinks = this.loses(instance)
      if (!instance.hasLostLinks || this.scenario.fault !== 'reset') continue
      for (const endpoint of instance.endpoints) endpoint.dropIdle()
    }
  }

  private loses({ index, failureDomain, name }: ReplayedInstance): boolean {
    const isInFirstDomain = failureDomain === this.instances[0]?.failureDomain
    const { length } = this.instances
    const isLost: Readonly<Record<LostBy, boolean>> = {
      'a quarter': (index * 7) % 4 === Math.floor(index / FAILURE_DOMAINS) % 4,
      'a failure domain': isInFirstDomain,
      'all but one of a failure domain': isInFirstDomain && index < this.lastWeakIndex,
      'the active instances': this.activeNames.has(name),
      'all but a failure domain': !isInFirstDomain,
      'nine in ten': index < 0.9 * length,
      'all but one': index !== length - 1,
    }
    return isLost[this.scenario.lostBy]
  }

  /** Index of the last instance of the first one's failure domain. */
  private get lastWeakIndex(): number {
    const last = this.instances.length - 1
    return last - (last % FAILURE_DOMAINS)
  }

  private get activeNames(): ReadonlySet<string> {
    const active = this.instances.filter(({ fleet }) => fleet.isSelfActive)
    return new Set(active.map(({ name }) => name))
  }

  private repeat(interval: Milliseconds, act: () => void): void {
    this.clock.after(interval, () => {
      act()
      this.repeat(interval, act)
    })
  }

  private writeRows(): void {
    for (const instance of this.instances) {
      const requestsPerSecond = instance.requestRate.perSecond
      instance.row = { ...instance.row, requestsPerSecond, heartbeat: instance.row.heartbeat + 1 }
    }
  }

  private createCaller(): Caller {
    const stays = this.random.next() < (this.scenario.stayingShare ?? DEFAULT_STAYING_SHARE)
    const stayingWith = stays ? this.anyInstance : undefined
    return { stayingWith, addresses: [] }
  }

  private get anyInstance(): ReplayedInstance | undefined {
    return this.instances[randomBelow(this.random, this.instances.length)]
  }

  private keepAddresses(caller: Caller): void {
    caller.addresses = this.anyInstance?.fleet.addresses(REGION) ?? []
    const delay = ADDRESS_MILLISECONDS * (0.5 + this.random.next() / 2)
    this.clock.after(delay, () => this.keepAddresses(caller))
  }

  private async sendRequest(): Promise<void> {
    const caller = this.callers[randomBelow(this.random, this.callers.length)]
    const instance = caller === undefined ? undefined : this.targetOf(caller)
    if (instance === undefined) return
    const deadline = DEADLINES[randomBelow(this.random, DEADLINES.length)] ?? 0
    const deadlineAt = this.clock.monotonic() + deadline
    const count = instance.hasLostLinks ? this.atCut : this.atOthers
    const { isJudged } = this
    if (isJudged) count.sent += 1
    instance.requestRate.add(1)
    const answer = await this.serve(instance, { deadlineAt }, false)
    const isInTime = this.clock.monotonic() <= deadlineAt
    if (isJudged && answer === 'served' && isInTime) count.served += 1
  }

  private targetOf({ stayingWith, addresses }: Caller): ReplayedInstance | undefined {
    if (stayingWith !== undefined) return stayingWith
    const address = addresses[randomBelow(this.random, addresses.length)]
    return this.byName.get(address?.split(':')[0] ?? '')
  }

  /** Serves a request as the gateway does: by endpoints of its own, else through other instances. */
  private async serve(
    instance: ReplayedInstance,
    request: SentRequest,
    isRelayed: boolean,
  ): Promise<Answer> {
    const { inbound, outbound, processor } = instance
    if (![inbound, outbound, processor].every(({ hasRoom }) => hasRoom)) return 'refused'
    await sleep(this.clock, inbound.take(BODY_BYTES) + processor.take(1))
    if (!isRelayed && instance.monitor.isCutOff(SERVICE)) return this.relay(instance, request)
    const result = await this.attempt(instance, request)
    if (result !== 'unsent') return result
    return isRelayed ? 'refused' : this.relay(instance, request)
  }

  private async attempt(
    instance: ReplayedInstance,
    request: SentRequest,
  ): Promise<Answer | 'unsent'> {
    const tried = new Set<ReplayedEndpoint>()
    const history: AttemptOutcome[] = []
    while (tried.size < MAXIMUM_ATTEMPTS) {
      const endpoint = this.chooseEndpoint(instance, tried)
      if (endpoint === undefined) break
      tried.add(endpoint)
      const answer = await this.sendTo(endpoint, instance, request)
      if (answer !== undefined) return answer
      instance.monitor.noteConnectFailed(endpoint)
      history.push({ kind: 'connect-failed', reason: 'no connection in time' })
    }
    return wasNeverSent(history, instance.monitor.isCutOff(SERVICE)) ? 'unsent' : 'refused'
  }

  private chooseEndpoint(
    { monitor, endpoints }: ReplayedInstance,
    tried: ReadonlySet<ReplayedEndpoint>,
  ): ReplayedEndpoint | undefined {
    const unreachable = monitor.unreachableEndpoints(SERVICE)
    const open = endpoints.filter(endpoint => !tried.has(endpoint) && !unreachable.has(endpoint))
    return open[randomBelow(this.random, open.length)]
  }

  /** Resolves with the answer; undefined if no connection came up, so that nothing was sent. */
  private async sendTo(
    endpoint: ReplayedEndpoint,
    instance: ReplayedInstance,
    { deadlineAt }: SentRequest,
  ): Promise<Answer | undefined> {
    const isReused = endpoint.takeIdle(this.clock.monotonic())
    if (!isReused && !(await this.connects(instance))) return undefined
    if (this.isUnanswered(instance, isReused)) {
      const remaining = deadlineAt - this.clock.monotonic()
      this.clock.after(silenceMilliseconds(remaining), () => instance.monitor.noteDoubted(SERVICE))
      await sleep(this.clock, remaining)
      return 'failed'
    }
    if (!isReused) endpoint.noteConnected()
    const delay = instance.outbound.take(BODY_BYTES)
    await sleep(this.clock, delay + ANSWER_MILLISECONDS)
    endpoint.putIdle(this.clock.monotonic())
    return 'served'
  }

  /** Whether nothing that an instance sends on a connection is answered. */
  private isUnanswered({ hasLostLinks }: ReplayedInstance, isReused: boolean): boolean {
    const { fault } = this.scenario
    return hasLostLinks && (fault === 'unanswered' || (fault === 'silent' && isReused))
  }

  private async connects({ hasLostLinks }: ReplayedInstance): Promise<boolean> {
    const { fault } = this.scenario
    if (!hasLostLinks || fault === 'unanswered') return true
    if (fault === 'silent') await sleep(this.clock, CONNECT_MILLISECONDS)
    return false
  }

  /** Whether a check finds the links up: an endpoint has to answer on the connection. */
  private async isLinkUp(instance: ReplayedInstance | undefined): Promise<boolean> {
    if (instance === undefined || !(await this.connects(instance))) return false
    if (!instance.hasLostLinks) return true
    await sleep(this.clock, STATE_MILLISECONDS)
    return false
  }

  private async relay(instance: ReplayedInstance, request: SentRequest): Promise<Answer> {
    const tried = new Set<string>()
    const outcomes: RelayOutcome[] = []
    for (;;) {
      const peer = instance.relayPeers.choose(SERVICE, tried)
      if (peer === undefined) return 'refused'
      tried.add(peer.instance)
      const answer = await this.relayTo(peer.instance, instance, request)
      outcomes.push(outcomeOf(answer))
      const hasAnother = instance.relayPeers.choose(SERVICE, tried) !== undefined
      if (relayStep(outcomes, ONCE, hasAnother) !== 'ask-another') return answer
    }
  }

  private async relayTo(
    name: string,
    from: ReplayedInstance,
    request: SentRequest,
  ): Promise<Answer> {
    const peer = this.byName.get(name)
    if (peer === undefined) return 'refused'
    peer.relaysTaken += 1
    await sleep(this.clock, from.outbound.take(BODY_BYTES) + HOP_MILLISECONDS)
    return this.serve(peer, request, true)
  }

  private create(index: number): ReplayedInstance {
    const { clock } = this
    const name = `instance-${index}`
    const failureDomain = domainOf(index)
    const { cores, linkMegabits, capacity } = isStrong(index) ? STRONG : WEAK
    const linkRate = linkMegabits * BYTES_PER_MEGABIT_MILLISECOND
    const endpoints = this.createEndpoints()
    const monitor = this.createMonitor(index, endpoints)
    const cutOff = this.createCutOff(name, () => monitor.cutOffServices)
    const fleet = this.createFleet(index, cutOff)
    return {
      index,
      name,
      failureDomain,
      requestRate: new DemandMeter(clock),
      processor: new ReplayedResource(cores * REQUESTS_PER_CORE_MILLISECOND, clock),
      inbound: new ReplayedResource(linkRate, clock),
      outbound: new ReplayedResource(linkRate, clock),
      endpoints,
      fleet,
      relayPeers: this.createRelayPeers(failureDomain, fleet, cutOff),
      cutOff,
      monitor,
      row: rowOf(name, failureDomain, capacity),
      hasLostLinks: false,
      relaysTaken: 0,
    }
  }

  private createEndpoints(): readonly ReplayedEndpoint[] {
    const numbers = Array.from({ length: ENDPOINTS }, (_, number) => number)
    return numbers.map(number => new ReplayedEndpoint(number, domainOf(number), this.clock))
  }

  private createRelayPeers(
    failureDomain: string,
    fleet: ActiveFleet,
    cutOff: CutOffInstances,
  ): FleetRelayPeers {
    return new FleetRelayPeers({
      failureDomain,
      fleet,
      random: this.random,
      isCutOff: (...query) => cutOff.has(...query),
      isOverloaded: () => false,
    })
  }

  private createMonitor(
    index: number,
    endpoints: readonly ReplayedEndpoint[],
  ): LinkMonitor<ReplayedEndpoint> {
    return new LinkMonitor({
      clock: this.clock,
      random: this.random,
      endpointsOf: () => endpoints,
      endpointsOfOthers: () => [],
      onCutOff: () => this.instances[index]?.cutOff.refreshOwn(),
      isLinkUp: () => this.isLinkUp(this.instances[index]),
    })
  }

  private createCutOff(name: string, ownServices: () => readonly string[]): CutOffInstances {
    return new CutOffInstances({
      instance: name,
      clock: this.clock,
      gossipMilliseconds: () => this.gossipMilliseconds,
      ownServices,
      broadcast: services => this.broadcast(name, services),
    })
  }

  private get gossipMilliseconds(): Milliseconds {
    const others = this.scenario.instances - 1
    const interval = (others * GOSSIP_BYTES * 1_000) / GOSSIP_BYTES_PER_SECOND
    return Math.max(SHORTEST_GOSSIP_MILLISECONDS, interval)
  }

  private broadcast(from: string, services: readonly string[]): void {
    for (const other of this.instances) {
      if (other.name === from || this.random.next() < GOSSIP_LOSS) continue
      this.clock.after(GOSSIP_DELAY_MILLISECONDS, () => this.noteCutOff(other, from, services))
    }
  }

  private noteCutOff(
    { cutOff, failureDomain, monitor }: ReplayedInstance,
    from: string,
    services: readonly string[],
  ): void {
    const newServices = cutOff.note(from, services)
    if (this.byName.get(from)?.failureDomain !== failureDomain) return
    for (const service of newServices) monitor.noteDoubted(service)
  }

  private createFleet(index: number, cutOff: CutOffInstances): ActiveFleet {
    return new ActiveFleet({
      isServing: () => true,
      self: () => this.rowAt(index),
      others: () => this.instances.filter(other => other.index !== index).map(({ row }) => row),
      disconnectedOthers: () => [],
      hasRecentHeartbeat: () => true,
      silenceMilliseconds: () => SHORTEST_GOSSIP_MILLISECONDS,
      hasEndpointLoad: () => false,
      isCutOff: ({ instance }) => cutOff.hasAny(instance),
      hasOwnEndpointLoad: () => false,
      clock: this.clock,
      random: this.answerRandom,
      bounds: ACTIVE_BOUNDS,
      onChange: () => {},
    })
  }

  private rowAt(index: number): MemberRow {
    const row = this.instances[index]?.row
    if (row === undefined) throw new Error(`no instance with the index ${index}`)
    return row
  }
}

/** Requests that may run only once: the strictest rule for relays. */
const ONCE = { isIdempotent: false, isStreaming: false, isResumable: false }
const STATUS_UNAVAILABLE = 503

function outcomeOf(answer: Answer): RelayOutcome {
  if (answer === 'served') return { kind: 'answered', status: 200 }
  if (answer === 'refused') return { kind: 'refused', status: STATUS_UNAVAILABLE }
  return { kind: 'failed', reason: 'no answer' }
}

function domainOf(index: number): string {
  return `domain-${index % FAILURE_DOMAINS}`
}

function isStrong(index: number): boolean {
  return index < STRONG_IN_DOMAIN * FAILURE_DOMAINS
}

function rowOf(instance: string, failureDomain: string, capacity: number): MemberRow {
  return {
    instance,
    incarnation: 'first',
    region: REGION,
    failureDomain,
    callerAddress: `${instance}:80`,
    peerAddress: `${instance}:81`,
    loadAddress: `${instance}:82`,
    capacity,
    requestsPerSecond: 0,
    state: 'serving',
    heartbeat: 1,
    renewalMilliseconds: ROW_MILLISECONDS,
    takesRelays: true,
  }
}
