import { afterEach, describe, expect, it, vi } from 'vitest'
import { GrpcPeerChannel } from '@rackwalk/daemon'
import { ResultCode } from '@rackwalk/shared'
import { ConfiguredFleet, streamChat } from '@rackwalk/stand-ins'
import type { ChatAnswer } from '@rackwalk/stand-ins'

/**
 * Guards against a request that crashes one engine after the other. Chats may be retried, so one attempt of a caller crashed
 * up to four engines. Instances didn't gossip about crashes, so each retry of the caller at another instance started anew.
 */

const MARK = 'ending'
const INSTANCES = 3
const ENGINES = 6
const MAXIMUM_CRASHES = 3
const REPEATS = 12
const INTERVAL_MILLISECONDS = 250
const MINIMUM_SERVED = 0.95

let current: ConfiguredFleet | undefined

async function start(): Promise<ConfiguredFleet> {
  current = await new ConfiguredFleet({ instances: INSTANCES, engines: ENGINES }).start()
  for (const engine of current.engines) engine.crashesOnWord = MARK
  return current
}

function countCrashes(fleet: ConfiguredFleet): number {
  return fleet.engines.reduce((sum, engine) => sum + engine.crashes, 0)
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Sends a chat with the word repeatedly, to the instances in turn. */
async function sendRepeatedly(
  fleet: ConfiguredFleet,
  word: string,
): Promise<readonly ChatAnswer[]> {
  const answers: Promise<ChatAnswer>[] = []
  for (let count = 0; count < REPEATS; count += 1) {
    answers.push(streamChat(fleet.callers(count % INSTANCES), { word, tokens: 8 }))
    await pause(INTERVAL_MILLISECONDS)
  }
  return Promise.all(answers)
}

/** Sends other requests in the meantime, each with its own prompt. */
async function sendOthers(fleet: ConfiguredFleet): Promise<readonly ChatAnswer[]> {
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

describe('a request that crashes each engine that starts to run it', () => {
  it('crashes three engines at most, and nearly all other callers are served', async () => {
    const fleet = await start()
    const [marked, served] = await Promise.all([sendRepeatedly(fleet, MARK), sendOthers(fleet)])
    expect(countCrashes(fleet)).toBeGreaterThan(0)
    expect(countCrashes(fleet)).toBeLessThanOrEqual(MAXIMUM_CRASHES)
    expect(marked.every(({ isWhole }) => !isWhole)).toBe(true)
    const whole = served.filter(({ isWhole }) => isWhole)
    expect(whole.length / served.length).toBeGreaterThanOrEqual(MINIMUM_SERVED)
  })
})

async function sendMarked(fleet: ConfiguredFleet, instance: number): Promise<ChatAnswer> {
  return streamChat(fleet.callers(instance), { word: MARK, tokens: 8 })
}

interface CrashList {
  readonly items: readonly { readonly fingerprint: string; readonly verdict: string }[]
}

async function listCrashes(fleet: ConfiguredFleet): Promise<CrashList['items']> {
  const { body } = await fleet.fleet.operator().get('/v1/crashes')
  return (body as unknown as CrashList).items
}

describe('a request that is known to crash engines', () => {
  it('is refused immediately by every instance, also by one that starts after all others crashed', async () => {
    const fleet = await start()
    await sendRepeatedly(fleet, MARK)
    const before = countCrashes(fleet)
    const refusal = await sendMarked(fleet, 0)
    expect(refusal).toMatchObject({ status: 503, errorCode: ResultCode.EndsEndpoints })
    expect(refusal.totalMilliseconds).toBeLessThan(200)
    for (const member of [...fleet.fleet.members]) await fleet.fleet.kill(member)
    await fleet.fleet.add(INSTANCES)
    await fleet.fleet.publish()
    await fleet.fleet.whenServing()
    await expect
      .poll(async () => (await sendMarked(fleet, 0)).errorCode, { timeout: 20_000 })
      .toBe(ResultCode.EndsEndpoints)
    expect(countCrashes(fleet)).toBe(before)
  })

  it('is listed for operators, and sent again once one has cleared it', async () => {
    const fleet = await start()
    await sendRepeatedly(fleet, MARK)
    const [refused] = await listCrashes(fleet)
    expect(refused?.verdict).toBe('refuse')
    const before = countCrashes(fleet)
    await fleet.fleet.operator().send('DELETE', `/v1/crashes/${refused?.fingerprint}`)
    await pause(INTERVAL_MILLISECONDS)
    await sendMarked(fleet, 1)
    expect(countCrashes(fleet)).toBeGreaterThan(before)
  })
})

describe('a control', () => {
  it('loses more than three engines without gossip between instances', async () => {
    const fleet = await start()
    const original = GrpcPeerChannel.prototype.call
    const call = vi.spyOn(GrpcPeerChannel.prototype, 'call')
    call.mockImplementation(function (this: GrpcPeerChannel, target, kind, request) {
      if (kind === 'crashNews') return Promise.reject(new Error('gossip dropped by the test'))
      return original.call(this, target, kind as 'members', request as never)
    })
    await sendRepeatedly(fleet, MARK)
    expect(countCrashes(fleet)).toBeGreaterThan(MAXIMUM_CRASHES)
  })
})
