/**
 * Simulates on virtual time several OpenAI-style instances that are sent a chat which crashes engines behind
 * their fronts: the real dispatch, choice and guard, with probes, gossip and blocked event loops as a test
 * specifies them.
 */

import { judgeWithdrawal } from '@rackwalk/decisions'
import type { CrashGossip, ProbeResult, KnownTermination } from '@rackwalk/decisions'
import { SeededRandom, VirtualClock, asId, endpointOf } from '@rackwalk/shared'
import type { Clock, EndpointId, Milliseconds, RequestFingerprint, Timer } from '@rackwalk/shared'
import { CrashGuard, DispatchFilter, EndpointRouter, EndpointTable } from '@rackwalk/router'

/** What answers at the address of an engine that has crashed; `none` refuses connections. */
export type Front = 'closes' | 'silent' | 'answers 500' | 'answers 503' | 'none'

/** A time during which one instance's event loop is blocked, or its probes are inconclusive. */
interface Window {
  readonly instance: number
  readonly from: Milliseconds
  readonly until: Milliseconds
}

/** Conditions of a simulation. */
export interface Scenario {
  readonly front: Front
  /** Duration of a probe, by instance; with a silent front a probe takes 100 ms more. */
  readonly probeMilliseconds?: readonly Milliseconds[]
  /** Delay of gossip between two instances, by sender. */
  readonly gossipMilliseconds?: readonly Milliseconds[]
  readonly holds?: readonly Window[]
  /** Probes that begin then are inconclusive, as in a process that is too busy to know. */
  readonly inconclusive?: readonly Window[]
  readonly markedMilliseconds?: Milliseconds
  /** Time between two chats of other callers; no such chats if undefined. */
  readonly otherMilliseconds?: Milliseconds
  readonly backMilliseconds?: Milliseconds
  readonly runMilliseconds?: Milliseconds
  readonly seed?: number
}

const INSTANCES = 3
const ENGINES = 8
const MARKED = asId<RequestFingerprint>('marked-fingerprint')
const RUN_MILLISECONDS = 5_000
const CRASH_MILLISECONDS = 3
const INCONCLUSIVE_MILLISECONDS = 500
const REPORT_MILLISECONDS = 100

interface Exchange {
  readonly sentAt: Milliseconds
  fail: (result: object) => void
}

class Engine {
  readonly id: EndpointId
  crashes = 0
  isUp = true
  open = new Set<Exchange>()

  constructor(number: number) {
    this.id = asId<EndpointId>(`engine-${number}`)
  }
}

/**
 * The clock of a process whose event loop is blocked at times: timers that fall due then fire at the end of
 * that time.
 */
class HeldClock implements Clock {
  constructor(
    private readonly clock: VirtualClock,
    private readonly holds: readonly Window[],
  ) {}

  monotonic(): Milliseconds {
    return this.clock.monotonic()
  }

  sinceStart(): Milliseconds {
    return this.clock.monotonic()
  }

  wallTime(): Milliseconds {
    return this.clock.monotonic()
  }

  after(delay: Milliseconds, run: () => void): Timer {
    const due = this.clock.monotonic() + Math.max(0, delay)
    const hold = this.holds.find(({ from, until }) => due >= from && due < until)
    const at = hold?.until ?? due
    return this.clock.after(at - this.clock.monotonic(), run)
  }
}

class Member {
  readonly clock: HeldClock
  readonly guard: CrashGuard
  readonly endpoints: EndpointTable
  readonly router: EndpointRouter
  readonly dispatch: DispatchFilter
  readonly exchanges = new Map<EndpointId, Set<Exchange>>()

  constructor(
    private readonly simulation: MarkedChats,
    readonly number: number,
    random: SeededRandom,
  ) {
    const { catalogue, scenario } = simulation
    this.clock = new HeldClock(
      simulation.clock,
      (scenario.holds ?? []).filter(({ instance }) => instance === number),
    )
    const { clock } = this
    this.endpoints = new EndpointTable(
      catalogue as never,
      clock,
      { allows: () => true, refusalOf: () => undefined },
      () => {},
    )
    this.guard = new CrashGuard({
      clock,
      probe: ({ address }) => simulation.probe(this, address),
      onCrash: crash => {
        const { id } = crash.endpoint
        const marks = crash.unanswered.filter(({ fingerprint }) => fingerprint === MARKED)
        simulation.log(
          this,
          `detected crash of ${id}, ${marks.map(m => (m.wasIsolated ? 'isolated' : 'sent')).join()}`,
        )
      },
      onUnreachable: start => this.endpoints.noteUnreachable(endpointOf(start)),
      onKnownTermination: (start, termination) =>
        this.applyTermination(endpointOf(start), termination),
      broadcast: gossip => simulation.broadcast(this, gossip),
      onVerdict: (fingerprint, isRefused) => {
        if (fingerprint === MARKED)
          simulation.log(this, isRefused ? 'refused' : 'no longer refused')
      },
    })
    this.router = new EndpointRouter({
      catalogue: catalogue as never,
      endpoints: this.endpoints,
      random,
      instances: () => INSTANCES,
      crashes: this.guard,
      onDecision: () => {},
    })
    this.dispatch = new DispatchFilter({
      catalogue: catalogue as never,
      endpoints: this.endpoints,
      router: this.router,
      client: {
        attempt: (call: { endpointId: EndpointId; headers: object }) => this.attempt(call),
      } as never,
      crashes: this.guard,
      advices: { of: () => undefined, note: () => {} } as never,
      longestRestMilliseconds: 0,
      clock,
      random,
      firstByteMilliseconds: 30_000,
      onRetry: () => {},
      onConnectFailed: () => {},
      isCutOff: () => false,
    })
  }

  private attempt({ endpointId, headers }: { endpointId: EndpointId; headers: object }) {
    const isMarked = 'x-marked' in headers
    const engine = this.simulation.engines.find(({ id }) => id === endpointId) as Engine
    return new Promise<object>(resolve => {
      const sentAt = this.clock.monotonic()
      const exchange: Exchange = {
        sentAt,
        fail: result => {
          engine.open.delete(exchange)
          this.exchanges.get(endpointId)?.delete(exchange)
          this.clock.after(1, () => resolve(result))
        },
      }
      const there = this.exchanges.get(endpointId) ?? new Set()
      this.exchanges.set(endpointId, there.add(exchange))
      this.simulation.arrive(this, engine, exchange, isMarked)
    })
  }

  private applyTermination(endpointId: EndpointId, termination: KnownTermination): void {
    const { askedAt } = this.endpoints.lastHeard(endpointId)
    for (const exchange of [...(this.exchanges.get(endpointId) ?? [])]) {
      const { sentAt } = exchange
      const open = {
        sentAt,
        heardAt: undefined,
        isPaused: false,
        isRepeatable: true,
        firstDoubtedAt: undefined,
      }
      const fate = judgeWithdrawal(open, termination, askedAt)
      if (fate === 'none' || fate === 'doubted') continue
      const isAttributed = fate !== 'was-there'
      exchange.fail({
        kind: 'failed',
        reason: 'ended',
        stalled: false,
        end: 'endpoint-ended',
        isAttributed,
      })
    }
  }

  /** Sends a caller's chat; refused ones are sent nowhere. */
  async send(isMarked: boolean, name: string): Promise<boolean> {
    const fingerprint = isMarked ? MARKED : asId<RequestFingerprint>(name)
    const verdict = this.guard.verdict(fingerprint)
    if (isMarked) this.simulation.log(this, `try: ${verdict}`)
    if (verdict === 'refuse') return false
    const request = {
      incoming: {
        caller: { disconnectSignal: new AbortController().signal },
        headers: new Map(isMarked ? [['x-marked', '1']] : []),
      },
      call: {
        kind: 'chat',
        chat: { modelId: 'model', prompt: Buffer.from(''), promptTokenEstimate: 10, body: {} },
      },
      requestId: name,
      priority: 0,
      scope: { commit: () => {}, onEnd: () => {} },
      record: { routing: [] },
      target: 'model',
      repeatable: true,
      deadline: this.clock.sinceStart() + 60_000,
      crashFingerprint: fingerprint,
      noteDispatched: () => {},
    }
    try {
      const { endpointId } = this.router.choose(request as never)
      const { answer } = await this.dispatch.apply({ ...request, endpointId } as never)
      return answer.status === 200
    } catch {
      return false
    }
  }
}

/** One run of a scenario. */
export class MarkedChats {
  readonly clock = new VirtualClock()
  readonly engines = Array.from({ length: ENGINES }, (_, number) => new Engine(number))
  readonly lines: string[] = []
  readonly catalogue: object
  private readonly members: readonly Member[]
  private others = 0
  private served = 0

  constructor(readonly scenario: Scenario) {
    const endpoints = this.engines.map(({ id }) => ({
      endpointId: id,
      spec: {
        kind: 'model',
        models: ['model'],
        address: `http://${id}:1`,
        maximumInFlight: 64,
        prefillTokensPerSecond: 50_000,
      },
    }))
    this.catalogue = {
      endpoints,
      findEndpoint: (wanted: string) => endpoints.find(({ endpointId }) => endpointId === wanted),
      isEvacuated: () => false,
      policyFor: () => ({ retryShare: 0.1, policy: 'expected-first-token' }),
    }
    const random = new SeededRandom(scenario.seed ?? 1)
    this.members = Array.from(
      { length: INSTANCES },
      (_, number) => new Member(this, number, random),
    )
  }

  log(member: Member | undefined, text: string): void {
    this.lines.push(
      `${this.clock.monotonic()} ${member === undefined ? '' : 'ABC'[member.number]} ${text}`,
    )
  }

  broadcast(from: Member, gossip: CrashGossip): void {
    const delay = this.scenario.gossipMilliseconds?.[from.number] ?? 2
    for (const member of this.members) {
      if (member !== from) member.clock.after(delay, () => member.guard.applyGossip(gossip))
    }
  }

  probe(member: Member, address: string): Promise<ProbeResult> {
    const now = this.clock.monotonic()
    const engine = this.engines.find(({ id }) => address.startsWith(`${id}:`)) as Engine
    const inconclusive = this.scenario.inconclusive?.some(({ instance, from, until }) => {
      return instance === member.number && now >= from && now < until
    })
    const duration = this.scenario.probeMilliseconds?.[member.number] ?? 4
    return new Promise(resolve => {
      if (inconclusive === true)
        return void member.clock.after(INCONCLUSIVE_MILLISECONDS, () => resolve('no-connection'))
      // The probe request arrives after half of the time.
      this.clock.after(duration / 2, () => {
        const result = engine.isUp ? 'lives' : this.signOfCrash
        const held = !engine.isUp && this.scenario.front === 'silent' ? 100 : 0
        member.clock.after(duration / 2 + held, () => {
          this.log(member, `probe of ${engine.id}: ${result}`)
          resolve(result)
        })
      })
    })
  }

  private get signOfCrash(): ProbeResult {
    return this.scenario.front === 'none' ? 'nobody-listens' : 'does-not-answer'
  }

  arrive(member: Member, engine: Engine, exchange: Exchange, isMarked: boolean): void {
    const { front } = this.scenario
    const broken = { kind: 'failed', reason: 'broken off', stalled: false }
    const reply = (status: number) => ({
      kind: 'answering',
      answer: {
        endpointId: engine.id,
        status,
        headers: {},
        cancel: () => {},
        releaseBuffer: () => {},
      },
    })
    if (isMarked) this.log(member, `sent to ${engine.id}${engine.isUp ? '' : ' (front)'}`)
    if (engine.isUp) {
      engine.open.add(exchange)
      this.clock.after(isMarked ? CRASH_MILLISECONDS : 20, () => {
        if (!engine.open.has(exchange)) return
        if (isMarked) this.crash(engine)
        else exchange.fail(reply(200))
      })
    } else if (front === 'none') exchange.fail({ kind: 'unsent', reason: 'ECONNREFUSED' })
    else if (front === 'closes') exchange.fail(broken)
    else if (front === 'answers 500') exchange.fail(reply(500))
    else if (front === 'answers 503') exchange.fail(reply(503))
  }

  private crash(engine: Engine): void {
    engine.crashes += 1
    this.log(undefined, `END ${this.crashes}: ${engine.id}`)
    engine.isUp = false
    for (const exchange of [...engine.open]) {
      exchange.fail({ kind: 'failed', reason: 'broken off', stalled: false })
    }
    this.clock.after(this.scenario.backMilliseconds ?? 2_000, () => {
      engine.isUp = true
    })
  }

  get crashes(): number {
    return this.engines.reduce((sum, { crashes }) => sum + crashes, 0)
  }

  /**
   * Runs the simulation. Resolves with the number of crashes and the share of other chats that were served.
   */
  async run(): Promise<{ crashes: number; served: number }> {
    const {
      markedMilliseconds = 250,
      otherMilliseconds,
      runMilliseconds = RUN_MILLISECONDS,
    } = this.scenario
    for (let at = 10, count = 0; at < runMilliseconds; at += markedMilliseconds, count += 1) {
      this.sendAt(at, count, true)
    }
    if (otherMilliseconds !== undefined) {
      for (let at = 1, count = 0; at < runMilliseconds; at += otherMilliseconds, count += 1) {
        this.sendAt(at, count, false)
      }
    }
    for (const member of this.members) this.report(member, runMilliseconds)
    await this.clock.advance(runMilliseconds + 1_000)
    for (const { guard } of this.members) guard.stop()
    return { crashes: this.crashes, served: this.served / Math.max(1, this.others) }
  }

  private sendAt(at: Milliseconds, count: number, isMarked: boolean): void {
    const member = this.members[count % INSTANCES] as Member
    member.clock.after(at, () => {
      void member.send(isMarked, `${isMarked ? 'marked' : 'other'}-${count}`).then(isServed => {
        if (isMarked) return
        this.others += 1
        if (isServed) this.served += 1
      })
    })
  }

  private report(member: Member, until: Milliseconds): void {
    const ask = () => {
      const askedAt = this.clock.monotonic()
      for (const engine of this.engines) {
        if (!engine.isUp) continue
        member.clock.after(2, () => {
          const report = {
            running: 0,
            waiting: 0,
            cacheUse: 0,
            leaving: false,
            queuedPromptTokens: 0,
          }
          member.endpoints.noteReport(engine.id, report, askedAt)
        })
      }
      if (askedAt < until) member.clock.after(REPORT_MILLISECONDS, ask)
    }
    member.clock.after(0, ask)
  }
}
