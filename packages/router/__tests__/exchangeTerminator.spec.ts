import { describe, expect, it } from 'vitest'
import { PROBE_TIMEOUT_MILLISECONDS, LONG_PROBE_TIMEOUT_MILLISECONDS } from '@rackwalk/decisions'
import type { StateProbeResult } from '@rackwalk/decisions'
import { UNKNOWN_SOFTWARE_VERSION, VirtualClock, endpointStart } from '@rackwalk/shared'
import { EndpointDirectory } from '@rackwalk/router'
import type { EndpointRecord, EndpointState } from '@rackwalk/router'

/** Exchanges that are open at an endpoint that has terminated, or may have, on virtual time. */

const REPEATABLE = { isRetryable: true, isReplyStarted: false }
const RESUMABLE = { isRetryable: true, isReplyStarted: true }
const ONCE = { isRetryable: false, isReplyStarted: false }
const BEGUN_ONCE = { isRetryable: false, isReplyStarted: true }
const KINDS = { again: REPEATABLE, resume: RESUMABLE, once: ONCE, stream: BEGUN_ONCE }
const ALL = Object.keys(KINDS)
const LATE = 10_000

function recordOf(bornAt = 1, isLeaving = false): EndpointRecord {
  return {
    id: 'endpoint-1',
    start: endpointStart('endpoint-1', bornAt),
    service: 'models',
    address: '127.0.0.1:1',
    failureDomain: 'domain-a',
    softwareVersion: UNKNOWN_SOFTWARE_VERSION,
    slots: 8,
    isLeaving,
    coldMilliseconds: 0,
  }
}

/** The result of each probe, and the time after which it arrives. */
interface ProbeAnswer {
  readonly result: StateProbeResult
  readonly after: number
}

/** A clock whose timers fire late while the event loop is blocked. */
class HeldClock extends VirtualClock {
  heldUntil = 0

  override after(delay: number, run: () => void) {
    return super.after(Math.max(delay, this.heldUntil - this.monotonic()), run)
  }
}

/** A clock whose timers fire late while the event loop is blocked for a part of each period. */
class InterruptedClock extends VirtualClock {
  constructor(
    private readonly period: number,
    private readonly blocked: number,
  ) {
    super()
  }

  override after(delay: number, run: () => void) {
    const phase = (this.monotonic() + delay) % this.period
    return super.after(delay + Math.max(0, this.blocked - phase), run)
  }
}

class Setup<C extends VirtualClock = HeldClock> {
  readonly ended: string[] = []
  readonly suspected: string[] = []
  probes = 0
  answer: ProbeAnswer = { result: 'held', after: Infinity }
  readonly directory: EndpointDirectory
  readonly endpoint: EndpointState

  constructor(readonly clock: C) {
    this.directory = new EndpointDirectory({
      clock,
      instances: () => 1,
      maximumConnections: () => 8,
      coldMilliseconds: () => 0,
      onChange: () => {},
      ask: () => this.ask(),
    })
    this.directory.set(recordOf())
    const [endpoint] = this.directory.available('models')
    if (endpoint === undefined) throw new Error('not listed')
    this.endpoint = endpoint
  }

  send(name: string, kind: { isRetryable: boolean; isReplyStarted: boolean }): void {
    const sentAt = this.clock.monotonic()
    const open = { ...kind, sentAt, lastReceivedAt: sentAt, isPaused: false }
    const close = this.endpoint.exchanges.add({
      open,
      statePath: '/report',
      suspect: () => this.suspected.push(name),
      end: () => {
        this.ended.push(name)
        close()
      },
    })
  }

  sendAll(): void {
    for (const [name, kind] of Object.entries(KINDS)) this.send(name, kind)
  }

  private ask() {
    this.probes += 1
    const { result, after } = this.answer
    const isUnsettled = result === 'held' || result === 'no-connection'
    const probe = {
      result: isUnsettled ? result : ('held' as StateProbeResult),
      written: result === 'no-connection' ? new Promise<void>(() => {}) : Promise.resolve(),
      answered: new Promise<void>(resolve => {
        if (after === Infinity) return
        this.clock.after(after, () => {
          probe.result = result
          resolve()
        })
      }),
      readAll: () => Promise.resolve(),
      cancel: () => {},
    }
    return probe
  }
}

/** One exchange of each kind, sent at 0; returns at 1,000. */
async function setUpWithAll(): Promise<Setup>
async function setUpWithAll<C extends VirtualClock>(clock: C): Promise<Setup<C>>
async function setUpWithAll(clock: VirtualClock = new HeldClock()): Promise<Setup<VirtualClock>> {
  const setup = new Setup(clock)
  setup.sendAll()
  await setup.clock.advance(1_000)
  return setup
}

describe('exchanges at a start whose engine is reported as unresponsive', () => {
  it('end in two steps while the state probe is not answered', async () => {
    const setup = await setUpWithAll()
    setup.directory.noteUnresponsive(recordOf().start)
    await setup.clock.advance(PROBE_TIMEOUT_MILLISECONDS - 1)
    expect(setup.ended).toEqual([])
    await setup.clock.advance(1)
    expect(setup.ended).toEqual(['again', 'resume'])
    await setup.clock.advance(LONG_PROBE_TIMEOUT_MILLISECONDS - PROBE_TIMEOUT_MILLISECONDS)
    expect(setup.ended).toEqual(['again', 'resume', 'once'])
    await setup.clock.advance(LATE)
    expect(setup.ended).toEqual(['again', 'resume', 'once'])
  })

  // A slow engine reports its state later than short probes wait.
  it('stay open if they may run only once and the endpoint reports its state slowly', async () => {
    const setup = await setUpWithAll()
    setup.answer = { result: 'lives', after: LONG_PROBE_TIMEOUT_MILLISECONDS - 1 }
    setup.directory.noteUnresponsive(recordOf().start)
    await setup.clock.advance(LATE)
    expect(setup.ended).toEqual(['again', 'resume'])
  })

  it.each<ProbeAnswer>([
    { result: 'lives', after: 0 },
    { result: 'lives', after: PROBE_TIMEOUT_MILLISECONDS - 1 },
    { result: 'turned-away', after: 1 },
    { result: 'nobody-listens', after: 1 },
    { result: 'no-connection', after: Infinity },
  ])('stay open if the probe results in $result after $after ms', async answer => {
    const setup = await setUpWithAll()
    setup.answer = answer
    setup.directory.noteUnresponsive(recordOf().start)
    await setup.clock.advance(LATE)
    expect(setup.ended).toEqual([])
  })

  // Gossip may arrive after the engine is back and after a new request was sent to it.
  it('stay open if sent after the probe, until the next report', async () => {
    const setup = await setUpWithAll()
    setup.directory.noteUnresponsive(recordOf().start)
    await setup.clock.advance(1)
    setup.send('later', REPEATABLE)
    await setup.clock.advance(LATE)
    expect(setup.ended).not.toContain('later')
    setup.directory.noteUnresponsive(recordOf().start)
    await setup.clock.advance(LATE)
    expect(setup.ended).toContain('later')
  })

  it('stay open if the endpoint sends data to other exchanges meanwhile', async () => {
    const setup = await setUpWithAll()
    setup.directory.noteUnresponsive(recordOf().start)
    await setup.clock.advance(1)
    setup.endpoint.noteHeard()
    await setup.clock.advance(LATE)
    expect(setup.ended).toEqual([])
    expect(setup.endpoint.isUnreachable).toBe(false)
  })

  it('stay open if the report is about another start', async () => {
    const setup = await setUpWithAll()
    setup.directory.noteUnresponsive(recordOf(2).start)
    await setup.clock.advance(LATE)
    expect([setup.ended, setup.probes]).toEqual([[], 0])
  })

  it('cause one probe at a time, and none if no exchange could be ended', async () => {
    const setup = await setUpWithAll()
    setup.directory.noteUnresponsive(recordOf().start)
    setup.directory.noteUnresponsive(recordOf().start)
    await setup.clock.advance(LATE)
    setup.directory.noteUnresponsive(recordOf().start)
    await setup.clock.advance(LATE)
    expect(setup.probes).toBe(1)
  })

  // A request sent to the front after the crash did not crash the engine.
  it('are suspected only if sent before the first reset', async () => {
    const setup = await setUpWithAll()
    const now = setup.clock.monotonic()
    setup.endpoint.exchanges.noteReset({ now, heardAt: setup.endpoint.heardAt })
    await setup.clock.advance(50)
    setup.send('to the front', REPEATABLE)
    setup.endpoint.exchanges.noteReset({ now: now + 50, heardAt: setup.endpoint.heardAt })
    setup.directory.noteUnresponsive(recordOf().start)
    await setup.clock.advance(LATE)
    expect(setup.suspected).toEqual(ALL)
    expect(setup.ended).toContain('to the front')
  })
})

describe("exchanges at a start that answers while this instance's event loop is blocked", () => {
  it.each([250, 400, 700])('stay open if the answer is read after %i ms', async held => {
    const setup = await setUpWithAll()
    setup.answer = { result: 'lives', after: held + 1 }
    setup.clock.heldUntil = setup.clock.monotonic() + held
    setup.directory.noteUnresponsive(recordOf().start)
    await setup.clock.advance(LATE)
    expect(setup.ended).toEqual([])
  })

  it('stay open if the event loop is blocked in every turn', async () => {
    const setup = await setUpWithAll()
    const after = setup.clock.after.bind(setup.clock)
    setup.clock.after = (delay, run) => after(delay + PROBE_TIMEOUT_MILLISECONDS, run)
    setup.directory.noteUnresponsive(recordOf().start)
    await setup.clock.advance(LATE)
    expect(setup.ended).toEqual([])
  })

  // The fault: each block of the event loop started the wait again, so that the probe was never conclusive.
  it.each([
    [130, 70],
    [110, 60],
    [90, 40],
  ])('end if in each %i ms it is blocked for %i ms only', async (period, blocked) => {
    const setup = await setUpWithAll(new InterruptedClock(period, blocked))
    setup.directory.noteUnresponsive(recordOf().start)
    await setup.clock.advance(LONG_PROBE_TIMEOUT_MILLISECONDS * 3)
    expect(setup.ended).toEqual(['again', 'resume', 'once'])
  })

  it.each([
    [130, 70],
    [110, 60],
    [90, 40],
  ])(
    'stay open if in each %i ms it is blocked for %i ms, and the answer comes in time',
    async (period, blocked) => {
      const setup = await setUpWithAll(new InterruptedClock(period, blocked))
      setup.answer = { result: 'lives', after: PROBE_TIMEOUT_MILLISECONDS }
      setup.directory.noteUnresponsive(recordOf().start)
      await setup.clock.advance(LATE)
      expect(setup.ended).toEqual([])
    },
  )

  // What was sent to a machine that was suspended arrives some time after the suspension.
  it('stay open if it is blocked for longer than the wait, and the answer is read within a wait after that', async () => {
    const blocked = PROBE_TIMEOUT_MILLISECONDS + 100
    const setup = await setUpWithAll(new InterruptedClock(1_200, blocked))
    const almost = PROBE_TIMEOUT_MILLISECONDS - 10
    setup.answer = { result: 'lives', after: PROBE_TIMEOUT_MILLISECONDS + blocked + almost }
    setup.directory.noteUnresponsive(recordOf().start)
    await setup.clock.advance(LATE)
    expect(setup.ended).toEqual([])
  })

  it('end if the probe is still unanswered once the event loop is free', async () => {
    const setup = await setUpWithAll()
    setup.clock.heldUntil = setup.clock.monotonic() + PROBE_TIMEOUT_MILLISECONDS * 2
    setup.directory.noteUnresponsive(recordOf().start)
    await setup.clock.advance(LATE)
    expect(setup.ended).toEqual(['again', 'resume', 'once'])
  })
})

describe('exchanges at a start that has certainly terminated', () => {
  it('end at once when the row shows a new start', async () => {
    const setup = await setUpWithAll()
    setup.directory.set(recordOf(2))
    expect([setup.ended, setup.probes]).toEqual([ALL, 0])
  })

  it('end at once when another endpoint answers at the address', async () => {
    const setup = await setUpWithAll()
    setup.directory.noteEnded(recordOf())
    expect([setup.ended, setup.probes]).toEqual([ALL, 0])
  })

  it('do not include those at the next start', async () => {
    const setup = await setUpWithAll()
    setup.directory.set(recordOf(2))
    setup.directory.noteEnded(recordOf(1))
    const [next] = setup.directory.available('models')
    expect(next?.start).toBe(recordOf(2).start)
  })
})

describe('exchanges at a start that interrupted an answer', () => {
  it('continue elsewhere after one unanswered probe, and end for good after two', async () => {
    const setup = await setUpWithAll()
    setup.directory.noteInterrupted(setup.endpoint)
    await setup.clock.advance(LONG_PROBE_TIMEOUT_MILLISECONDS)
    expect(setup.ended).toEqual(['again', 'resume'])
    await setup.clock.advance(LONG_PROBE_TIMEOUT_MILLISECONDS)
    expect(setup.ended).toEqual(['again', 'resume', 'once'])
    expect(setup.suspected).toEqual([])
  })

  it.each<ProbeAnswer>([
    { result: 'lives', after: 1 },
    { result: 'turned-away', after: 1 },
    { result: 'nobody-listens', after: 1 },
    { result: 'no-connection', after: Infinity },
  ])('stay open if the probe results in $result', async answer => {
    const setup = await setUpWithAll()
    setup.answer = answer
    setup.directory.noteInterrupted(setup.endpoint)
    await setup.clock.advance(LATE)
    expect(setup.ended).toEqual([])
  })
})

describe('exchanges at a start whose row was removed', () => {
  it('stay open if the endpoint keeps serving and reports its state', async () => {
    const setup = await setUpWithAll()
    setup.answer = { result: 'lives', after: 1 }
    setup.directory.remove('endpoint-1')
    await setup.clock.advance(LATE)
    expect([setup.ended, setup.probes]).toEqual([[], 1])
  })

  it('stay open if the endpoint closes its listener and keeps serving', async () => {
    const setup = await setUpWithAll()
    setup.answer = { result: 'nobody-listens', after: 1 }
    setup.directory.remove('endpoint-1')
    await setup.clock.advance(LATE)
    expect(setup.ended).toEqual([])
  })

  // A failure domain without power resets no connection.
  it('continue elsewhere after two failed connections, and stay open if they may run only once', async () => {
    const setup = await setUpWithAll()
    setup.answer = { result: 'no-connection', after: Infinity }
    setup.directory.remove('endpoint-1')
    await setup.clock.advance(LONG_PROBE_TIMEOUT_MILLISECONDS)
    expect(setup.ended).toEqual([])
    await setup.clock.advance(LONG_PROBE_TIMEOUT_MILLISECONDS)
    expect(setup.ended).toEqual(['again', 'resume'])
    await setup.clock.advance(LATE)
    expect(setup.ended).toEqual(['again', 'resume'])
  })

  it('cause no probe if the endpoint announced that it leaves', async () => {
    const setup = await setUpWithAll()
    setup.directory.set(recordOf(1, true))
    setup.directory.remove('endpoint-1')
    await setup.clock.advance(LATE)
    expect([setup.ended, setup.probes]).toEqual([[], 0])
  })
})
