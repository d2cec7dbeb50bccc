import { describe, expect, it } from 'vitest'
import { PROBE_TIMEOUT_MILLISECONDS, LONG_PROBE_TIMEOUT_MILLISECONDS } from '@rackwalk/decisions'
import type { StateProbeResult } from '@rackwalk/decisions'
import { UNKNOWN_SOFTWARE_VERSION, VirtualClock, endpointStart } from '@rackwalk/shared'
import { EndpointDirectory } from '@rackwalk/router'
import type { EndpointRecord, EndpointState } from '@rackwalk/router'

/** What is open at an endpoint that is over, or may be, on virtual time. */

const GOES_ON = { isRetryable: true, isReplyStarted: false }
const RESUMES = { isRetryable: true, isReplyStarted: true }
const ONCE = { isRetryable: false, isReplyStarted: false }
const BEGUN = { isRetryable: false, isReplyStarted: true }
const KINDS = { again: GOES_ON, resume: RESUMES, once: ONCE, stream: BEGUN }
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

/** Each question comes to what the endpoint does then, after so long. */
interface Answer {
  readonly sign: StateProbeResult
  readonly after: number
}

/** Its timers fire late while the loop is held. */
class HeldClock extends VirtualClock {
  heldUntil = 0

  override after(delay: number, run: () => void) {
    return super.after(Math.max(delay, this.heldUntil - this.monotonic()), run)
  }
}

class Place {
  readonly clock = new HeldClock()
  readonly ended: string[] = []
  readonly suspected: string[] = []
  questions = 0
  answer: Answer = { sign: 'held', after: Infinity }
  readonly directory = new EndpointDirectory({
    clock: this.clock,
    instances: () => 1,
    maximumConnections: () => 8,
    coldMilliseconds: () => 0,
    onChange: () => {},
    ask: () => this.ask(),
  })
  readonly endpoint: EndpointState

  constructor() {
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
    this.questions += 1
    const { sign, after } = this.answer
    const isUnsettled = sign === 'held' || sign === 'no-connection'
    const question = {
      result: isUnsettled ? sign : ('held' as StateProbeResult),
      written: sign === 'no-connection' ? new Promise<void>(() => {}) : Promise.resolve(),
      answered: new Promise<void>(resolve => {
        if (after === Infinity) return
        this.clock.after(after, () => {
          question.result = sign
          resolve()
        })
      }),
      readAll: () => Promise.resolve(),
      cancel: () => {},
    }
    return question
  }
}

/** Sent at 0, told at 1,000. */
async function placeWithAll(): Promise<Place> {
  const place = new Place()
  place.sendAll()
  await place.clock.advance(1_000)
  return place
}

describe('what is open at a start whose engine is told to be away', () => {
  it('ends in two steps, as the question for its state is held', async () => {
    const place = await placeWithAll()
    place.directory.noteUnresponsive(recordOf().start)
    await place.clock.advance(PROBE_TIMEOUT_MILLISECONDS - 1)
    expect(place.ended).toEqual([])
    await place.clock.advance(1)
    expect(place.ended).toEqual(['again', 'resume'])
    await place.clock.advance(LONG_PROBE_TIMEOUT_MILLISECONDS - PROBE_TIMEOUT_MILLISECONDS)
    expect(place.ended).toEqual(['again', 'resume', 'once'])
    await place.clock.advance(LATE)
    expect(place.ended).toEqual(['again', 'resume', 'once'])
  })

  // A slow engine tells its state later than short looks wait.
  it('stays if it may run once where the endpoint tells its state slowly', async () => {
    const place = await placeWithAll()
    place.answer = { sign: 'lives', after: LONG_PROBE_TIMEOUT_MILLISECONDS - 1 }
    place.directory.noteUnresponsive(recordOf().start)
    await place.clock.advance(LATE)
    expect(place.ended).toEqual(['again', 'resume'])
  })

  it.each<Answer>([
    { sign: 'lives', after: 0 },
    { sign: 'lives', after: PROBE_TIMEOUT_MILLISECONDS - 1 },
    { sign: 'turned-away', after: 1 },
    { sign: 'nobody-listens', after: 1 },
    { sign: 'no-connection', after: Infinity },
  ])('stays where the question comes to $sign after $after ms', async answer => {
    const place = await placeWithAll()
    place.answer = answer
    place.directory.noteUnresponsive(recordOf().start)
    await place.clock.advance(LATE)
    expect(place.ended).toEqual([])
  })

  // News may come after the engine is back, and after a new request was sent to it.
  it('stays where it was sent after the question, until the next news', async () => {
    const place = await placeWithAll()
    place.directory.noteUnresponsive(recordOf().start)
    await place.clock.advance(1)
    place.send('later', GOES_ON)
    await place.clock.advance(LATE)
    expect(place.ended).not.toContain('later')
    place.directory.noteUnresponsive(recordOf().start)
    await place.clock.advance(LATE)
    expect(place.ended).toContain('later')
  })

  it('stays where the endpoint goes on for others meanwhile', async () => {
    const place = await placeWithAll()
    place.directory.noteUnresponsive(recordOf().start)
    await place.clock.advance(1)
    place.endpoint.noteHeard()
    await place.clock.advance(LATE)
    expect(place.ended).toEqual([])
    expect(place.endpoint.isUnreachable).toBe(false)
  })

  it('stays where news speaks of another start', async () => {
    const place = await placeWithAll()
    place.directory.noteUnresponsive(recordOf(2).start)
    await place.clock.advance(LATE)
    expect([place.ended, place.questions]).toEqual([[], 0])
  })

  it('is asked about once at a time, and not at all where nothing could be ended', async () => {
    const place = await placeWithAll()
    place.directory.noteUnresponsive(recordOf().start)
    place.directory.noteUnresponsive(recordOf().start)
    await place.clock.advance(LATE)
    place.directory.noteUnresponsive(recordOf().start)
    await place.clock.advance(LATE)
    expect(place.questions).toBe(1)
  })

  // What was sent to the front after the end did not end the engine.
  it('is suspected only where it was sent before the first break', async () => {
    const place = await placeWithAll()
    const now = place.clock.monotonic()
    place.endpoint.exchanges.noteReset({ now, heardAt: place.endpoint.heardAt })
    await place.clock.advance(50)
    place.send('to the front', GOES_ON)
    place.endpoint.exchanges.noteReset({ now: now + 50, heardAt: place.endpoint.heardAt })
    place.directory.noteUnresponsive(recordOf().start)
    await place.clock.advance(LATE)
    expect(place.suspected).toEqual(ALL)
    expect(place.ended).toContain('to the front')
  })
})

describe('what is open at a start that answers while the loop of this instance is held', () => {
  it.each([250, 400, 700])('stays where the answer is read after %i ms', async held => {
    const place = await placeWithAll()
    place.answer = { sign: 'lives', after: held + 1 }
    place.clock.heldUntil = place.clock.monotonic() + held
    place.directory.noteUnresponsive(recordOf().start)
    await place.clock.advance(LATE)
    expect(place.ended).toEqual([])
  })

  it('stays where the loop is held in every turn', async () => {
    const place = await placeWithAll()
    const after = place.clock.after.bind(place.clock)
    place.clock.after = (delay, run) => after(delay + PROBE_TIMEOUT_MILLISECONDS, run)
    place.directory.noteUnresponsive(recordOf().start)
    await place.clock.advance(LATE)
    expect(place.ended).toEqual([])
  })

  it('ends where the question is held on once the loop is free', async () => {
    const place = await placeWithAll()
    place.clock.heldUntil = place.clock.monotonic() + PROBE_TIMEOUT_MILLISECONDS * 2
    place.directory.noteUnresponsive(recordOf().start)
    await place.clock.advance(LATE)
    expect(place.ended).toEqual(['again', 'resume', 'once'])
  })
})

describe('what is open at a start that is over for certain', () => {
  it('ends at once when its row tells of a new start', async () => {
    const place = await placeWithAll()
    place.directory.set(recordOf(2))
    expect([place.ended, place.questions]).toEqual([ALL, 0])
  })

  it('ends at once when another server answers at its address', async () => {
    const place = await placeWithAll()
    place.directory.noteEnded(recordOf())
    expect([place.ended, place.questions]).toEqual([ALL, 0])
  })

  it('leaves what is open at the start that follows', async () => {
    const place = await placeWithAll()
    place.directory.set(recordOf(2))
    place.directory.noteEnded(recordOf(1))
    const [next] = place.directory.available('models')
    expect(next?.start).toBe(recordOf(2).start)
  })
})

describe('what is open at a start that broke off an answer which had begun', () => {
  it('goes on elsewhere after one question that is held, and ends for good after two', async () => {
    const place = await placeWithAll()
    place.directory.noteInterrupted(place.endpoint)
    await place.clock.advance(LONG_PROBE_TIMEOUT_MILLISECONDS)
    expect(place.ended).toEqual(['again', 'resume'])
    await place.clock.advance(LONG_PROBE_TIMEOUT_MILLISECONDS)
    expect(place.ended).toEqual(['again', 'resume', 'once'])
    expect(place.suspected).toEqual([])
  })

  it.each<Answer>([
    { sign: 'lives', after: 1 },
    { sign: 'turned-away', after: 1 },
    { sign: 'nobody-listens', after: 1 },
    { sign: 'no-connection', after: Infinity },
  ])('stays where the question comes to $sign', async answer => {
    const place = await placeWithAll()
    place.answer = answer
    place.directory.noteInterrupted(place.endpoint)
    await place.clock.advance(LATE)
    expect(place.ended).toEqual([])
  })
})

describe('what is open at a start whose row is gone', () => {
  it('stays where the endpoint serves on and tells its state', async () => {
    const place = await placeWithAll()
    place.answer = { sign: 'lives', after: 1 }
    place.directory.remove('endpoint-1')
    await place.clock.advance(LATE)
    expect([place.ended, place.questions]).toEqual([[], 1])
  })

  it('stays where it closes its listener and serves on', async () => {
    const place = await placeWithAll()
    place.answer = { sign: 'nobody-listens', after: 1 }
    place.directory.remove('endpoint-1')
    await place.clock.advance(LATE)
    expect(place.ended).toEqual([])
  })

  // A failure domain without power resets nothing.
  it('goes on elsewhere where no connection comes up twice, and stays if it may run once', async () => {
    const place = await placeWithAll()
    place.answer = { sign: 'no-connection', after: Infinity }
    place.directory.remove('endpoint-1')
    await place.clock.advance(LONG_PROBE_TIMEOUT_MILLISECONDS)
    expect(place.ended).toEqual([])
    await place.clock.advance(LONG_PROBE_TIMEOUT_MILLISECONDS)
    expect(place.ended).toEqual(['again', 'resume'])
    await place.clock.advance(LATE)
    expect(place.ended).toEqual(['again', 'resume'])
  })

  it('is not asked about where the endpoint said that it leaves', async () => {
    const place = await placeWithAll()
    place.directory.set(recordOf(1, true))
    place.directory.remove('endpoint-1')
    await place.clock.advance(LATE)
    expect([place.ended, place.questions]).toEqual([[], 0])
  })
})
