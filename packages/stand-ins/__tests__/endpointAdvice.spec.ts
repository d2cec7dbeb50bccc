import { afterEach, describe, expect, it } from 'vitest'
import { ConfiguredFleet, TEAM_KEY, chatBody, streamChat } from '@rackwalk/stand-ins'
import type { ChatAnswer, EngineStandIn } from '@rackwalk/stand-ins'

/**
 * Engines behind the published protocol say what they bear in the heads of their answers: a rate (`x-ratelimit-limit-requests`
 * by the minute, `RateLimit-Policy` with a window), when to come back, that they leave. This kind of daemon read a leaving
 * header in refusals alone and nothing else, so an engine that named 78 requests a minute got as many as one that named none.
 */

const INSTANCES = 3
const ENGINES = 4
const RATE = 1.3
const WINDOW_MILLISECONDS = 4_000
/** One and a half times what the rate allows in the window, and five more. */
const ALLOWED = 1.5 * RATE * (WINDOW_MILLISECONDS / 1_000) + 5
/** An instance that was told keeps to it from then on. */
const TOLD_MILLISECONDS = 500
const INTERVAL_MILLISECONDS = 25
const LEAST_SERVED = 0.99

let current: ConfiguredFleet | undefined

async function start(): Promise<{ fleet: ConfiguredFleet; first: EngineStandIn }> {
  current = await new ConfiguredFleet({ instances: INSTANCES, engines: ENGINES }).start()
  const [first] = current.engines
  if (first === undefined) throw new Error('no engine')
  return { fleet: current, first }
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Sends chats to the instances in turn for so long; each has a prompt of its own. */
async function send(fleet: ConfiguredFleet, duration: number): Promise<readonly ChatAnswer[]> {
  const answers: Promise<ChatAnswer>[] = []
  const until = Date.now() + duration
  while (Date.now() < until) {
    const demand = { word: 'any', tokens: 4, prompt: `prompt ${answers.length}` }
    answers.push(streamChat(fleet.callers(answers.length % INSTANCES), demand))
    await pause(INTERVAL_MILLISECONDS)
  }
  return Promise.all(answers)
}

/** The most arrivals within the window, of those after this time. */
function mostInWindow(arrivals: readonly number[], after: number): number {
  const late = arrivals.filter(at => at > after)
  const counts = late.map(
    from => late.filter(at => at >= from && at < from + WINDOW_MILLISECONDS).length,
  )
  return Math.max(0, ...counts)
}

function servedShare(answers: readonly ChatAnswer[]): number {
  return answers.filter(({ isWhole }) => isWhole).length / answers.length
}

afterEach(async () => {
  await current?.stop()
  current = undefined
})

describe('an engine that names a rate', () => {
  it('gets no more than that from the whole fleet, and all others are served elsewhere', async () => {
    const { fleet, first } = await start()
    await send(fleet, 1_000)
    const namedAt = Date.now()
    first.answerHeaders = { 'x-ratelimit-limit-requests': String(RATE * 60) }
    const answers = await send(fleet, 9_000)
    const [toldAt = 0] = first.arrivals.filter(at => at >= namedAt)
    const most = mostInWindow(first.arrivals, toldAt + TOLD_MILLISECONDS)
    expect(most).toBeGreaterThan(0)
    expect(most).toBeLessThanOrEqual(ALLOWED)
    expect(servedShare(answers)).toBeGreaterThanOrEqual(LEAST_SERVED)
  })
})

/** Arrivals so long after the first one that was told are too late. */
const GRACE_MILLISECONDS = 500

describe('an engine that says in a good answer that it leaves', () => {
  it('gets nothing new from any instance, and all others are served elsewhere', async () => {
    const { fleet, first } = await start()
    await send(fleet, 1_000)
    const saidAt = Date.now()
    first.answerHeaders = { 'x-endpoint-state': 'leaving' }
    const answers = await send(fleet, 3_000)
    const [toldAt = 0] = first.arrivals.filter(at => at >= saidAt)
    expect(toldAt).toBeGreaterThan(0)
    expect(first.arrivals.filter(at => at > toldAt + GRACE_MILLISECONDS)).toEqual([])
    expect(servedShare(answers)).toBeGreaterThanOrEqual(LEAST_SERVED)
  })
})

const REST_SECONDS = 6

describe('an engine that turns a chat away and asks for rest', () => {
  it.each([429, 503])(
    'with %i gets little from any instance until the rest is over',
    async status => {
      const { fleet, first } = await start()
      await send(fleet, 1_000)
      const askedAt = Date.now()
      first.rejectsWithStatus = status
      first.answerHeaders = { 'retry-after': String(REST_SECONDS) }
      const answers = await send(fleet, REST_SECONDS * 1_000)
      const late = first.arrivals.filter(at => at > askedAt + GRACE_MILLISECONDS)
      // Each instance is asked for rest by an answer of its own.
      expect(late.length).toBeLessThanOrEqual(2 * INSTANCES)
      expect(servedShare(answers)).toBeGreaterThanOrEqual(LEAST_SERVED)
    },
  )
})

/** A refusal as its caller has it. */
interface Refusal {
  /** The status, the code and what is said of the run. */
  readonly told: string
  readonly returnAfter: string | null
  readonly returnAfterMilliseconds: number
}

async function ask(address: string, prompt: string): Promise<Refusal> {
  const response = await fetch(`${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${TEAM_KEY}` },
    body: chatBody({ word: 'any', tokens: 4, prompt }, true),
  })
  const { error } = (await response.json()) as { error: { code: number; execution: string } }
  return {
    told: `${response.status} ${error.code} ${error.execution}`,
    returnAfter: response.headers.get('retry-after'),
    returnAfterMilliseconds: Number(response.headers.get('retry-after-ms')),
  }
}

const REQUESTS = 120

describe('engines that all turn chats away and ask for rest', () => {
  it.each([429, 503])(
    'with %i: every caller is told that its chat did not run, and when to come back',
    async status => {
      const { fleet } = await start()
      const ran = () =>
        fleet.engines.reduce((sum, { acceptedRequestIds }) => sum + acceptedRequestIds.length, 0)
      await send(fleet, 500)
      const ranBefore = ran()
      for (const engine of fleet.engines) {
        engine.rejectsWithStatus = status
        engine.answerHeaders = { 'retry-after': String(REST_SECONDS) }
      }
      const asked: Promise<Refusal>[] = []
      for (let number = 0; number < REQUESTS; number += 1) {
        asked.push(ask(fleet.callers(number % INSTANCES), `prompt ${number}`))
        await pause(INTERVAL_MILLISECONDS / 5)
      }
      const refusals = await Promise.all(asked)
      expect(ran()).toBe(ranBefore)
      // Who had no other engine left to ask, or no retry; and who came later.
      const others = refusals.filter(({ told }) => !/^503 (3007|3016) not-run$/.test(told))
      expect(others).toEqual([])
      for (const { returnAfter, returnAfterMilliseconds } of refusals) {
        expect(returnAfter).toMatch(/^[1-9]\d*$/)
        expect(returnAfterMilliseconds).toBeGreaterThan(0)
        expect(returnAfterMilliseconds).toBeLessThanOrEqual(2 * REST_SECONDS * 1_000)
      }
    },
  )
})
