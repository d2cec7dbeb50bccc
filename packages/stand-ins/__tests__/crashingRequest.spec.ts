import { afterEach, describe, expect, it, vi } from 'vitest'
import { GrpcPeerChannel } from '@rackwalk/daemon'
import { ResultCode } from '@rackwalk/shared'
import { ConfiguredFleet, streamChat } from '@rackwalk/stand-ins'
import type { ChatAnswer } from '@rackwalk/stand-ins'

/**
 * A request that ends each engine that begins to run it was sent to engine after engine: chat answers may be made again, so
 * one try of it ended up to four engines, and no instance told the next what it had seen. The callers' own repeats came to
 * other instances and began anew.
 */

const MARK = 'ending'
const INSTANCES = 3
const ENGINES = 6
const MOST_ENDS = 3
const REPEATS = 12
const INTERVAL_MILLISECONDS = 250
const LEAST_SERVED = 0.95

let current: ConfiguredFleet | undefined

async function start(): Promise<ConfiguredFleet> {
  current = await new ConfiguredFleet({ instances: INSTANCES, engines: ENGINES }).start()
  for (const engine of current.engines) engine.crashesOnWord = MARK
  return current
}

function ends(fleet: ConfiguredFleet): number {
  return fleet.engines.reduce((sum, engine) => sum + engine.crashes, 0)
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Sends it again and again, to one instance after the other. */
async function repeat(fleet: ConfiguredFleet, word: string): Promise<readonly ChatAnswer[]> {
  const answers: Promise<ChatAnswer>[] = []
  for (let count = 0; count < REPEATS; count += 1) {
    answers.push(streamChat(fleet.callers(count % INSTANCES), { word, tokens: 8 }))
    await pause(INTERVAL_MILLISECONDS)
  }
  return Promise.all(answers)
}

/** Other requests while it comes: each with a prompt of its own. */
async function others(fleet: ConfiguredFleet): Promise<readonly ChatAnswer[]> {
  const answers: Promise<ChatAnswer>[] = []
  const until = Date.now() + REPEATS * INTERVAL_MILLISECONDS
  while (Date.now() < until) {
    const demand = { word: 'other', tokens: 4, prompt: `prompt ${answers.length}` }
    answers.push(streamChat(fleet.callers(answers.length % INSTANCES), demand))
    await pause(20)
  }
  return Promise.all(answers)
}

afterEach(async () => {
  vi.restoreAllMocks()
  await current?.stop()
  current = undefined
})

describe('a request that ends each engine that begins to run it', () => {
  it('ends three engines at the most, and nearly all other callers are served', async () => {
    const fleet = await start()
    const [marked, served] = await Promise.all([repeat(fleet, MARK), others(fleet)])
    expect(ends(fleet)).toBeGreaterThan(0)
    expect(ends(fleet)).toBeLessThanOrEqual(MOST_ENDS)
    expect(marked.every(({ isWhole }) => !isWhole)).toBe(true)
    const whole = served.filter(({ isWhole }) => isWhole)
    expect(whole.length / served.length).toBeGreaterThanOrEqual(LEAST_SERVED)
  })
})

async function askMarked(fleet: ConfiguredFleet, instance: number): Promise<ChatAnswer> {
  return streamChat(fleet.callers(instance), { word: MARK, tokens: 8 })
}

interface CrashList {
  readonly items: readonly { readonly fingerprint: string; readonly verdict: string }[]
}

async function crashes(fleet: ConfiguredFleet): Promise<CrashList['items']> {
  const { body } = await fleet.fleet.operator().get('/v1/crashes')
  return (body as unknown as CrashList).items
}

describe('a request that is known to end engines', () => {
  it('is refused at once by every instance, also by one that starts after all others died', async () => {
    const fleet = await start()
    await repeat(fleet, MARK)
    const before = ends(fleet)
    const refusal = await askMarked(fleet, 0)
    expect(refusal).toMatchObject({ status: 503, errorCode: ResultCode.EndsEndpoints })
    expect(refusal.totalMilliseconds).toBeLessThan(200)
    for (const member of [...fleet.fleet.members]) await fleet.fleet.kill(member)
    await fleet.fleet.add(INSTANCES)
    await fleet.fleet.publish()
    await fleet.fleet.whenServing()
    await expect
      .poll(async () => (await askMarked(fleet, 0)).errorCode, { timeout: 20_000 })
      .toBe(ResultCode.EndsEndpoints)
    expect(ends(fleet)).toBe(before)
  })

  it('is listed for operators, and sent again once one has cleared it', async () => {
    const fleet = await start()
    await repeat(fleet, MARK)
    const [refused] = await crashes(fleet)
    expect(refused?.verdict).toBe('refuse')
    const before = ends(fleet)
    await fleet.fleet.operator().send('DELETE', `/v1/crashes/${refused?.fingerprint}`)
    await pause(INTERVAL_MILLISECONDS)
    await askMarked(fleet, 1)
    expect(ends(fleet)).toBeGreaterThan(before)
  })
})

describe('a control', () => {
  it('loses more than three where no instance tells another', async () => {
    const fleet = await start()
    const original = GrpcPeerChannel.prototype.call
    const call = vi.spyOn(GrpcPeerChannel.prototype, 'call')
    call.mockImplementation(function (this: GrpcPeerChannel, target, kind, request) {
      if (kind === 'crashNews') return Promise.reject(new Error('not told'))
      return original.call(this, target, kind as 'members', request as never)
    })
    await repeat(fleet, MARK)
    expect(ends(fleet)).toBeGreaterThan(MOST_ENDS)
  })
})
