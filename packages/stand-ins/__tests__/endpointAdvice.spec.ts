import { afterEach, describe, expect, it } from 'vitest'
import { ConfiguredFleet, TEAM_KEY, chatBody, streamChat } from '@rackwalk/stand-ins'
import type { ChatAnswer, EngineStandIn } from '@rackwalk/stand-ins'

/**
 * Guards against ignored advice of engines. Engines of the published protocol give advice in the headers of their answers: a
 * rate (`x-ratelimit-limit-requests` per minute, `RateLimit-Policy` with a window), a time to retry after, and that they are
 * leaving. This kind of daemon read only the leaving header, and only in refusals, so an engine that advised 78 requests per
 * minute received as many requests as one without advice.
 */

const INSTANCES = 3
const ENGINES = 4
const RATE = 1.3
const WINDOW_MILLISECONDS = 4_000
/** One and a half times the number of requests that the rate allows in the window, plus five. */
const ALLOWED = 1.5 * RATE * (WINDOW_MILLISECONDS / 1_000) + 5
/** Time after the first advice from which on all instances keep to the rate. */
const ADVICE_DELAY_MILLISECONDS = 500
const INTERVAL_MILLISECONDS = 25
const MINIMUM_SERVED = 0.99

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

/** Sends chats with different prompts to the instances in turn for the given time. */
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

/** Returns the highest number of arrivals in a window, counting only arrivals after the given time. */
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

describe('an engine that advises a rate', () => {
  it('receives no more requests than that from the whole fleet, and the others are served elsewhere', async () => {
    const { fleet, first } = await start()
    await send(fleet, 1_000)
    const namedAt = Date.now()
    first.answerHeaders = { 'x-ratelimit-limit-requests': String(RATE * 60) }
    const answers = await send(fleet, 9_000)
    const [toldAt = 0] = first.arrivals.filter(at => at >= namedAt)
    const most = mostInWindow(first.arrivals, toldAt + ADVICE_DELAY_MILLISECONDS)
    expect(most).toBeGreaterThan(0)
    expect(most).toBeLessThanOrEqual(ALLOWED)
    expect(servedShare(answers)).toBeGreaterThanOrEqual(MINIMUM_SERVED)
  })
})

/** No chat may arrive later than this after the first answer with advice. */
const GRACE_MILLISECONDS = 500

describe('an engine that announces in a successful answer that it is leaving', () => {
  it('receives no new requests from any instance, and all are served elsewhere', async () => {
    const { fleet, first } = await start()
    await send(fleet, 1_000)
    const saidAt = Date.now()
    first.answerHeaders = { 'x-endpoint-state': 'leaving' }
    const answers = await send(fleet, 3_000)
    const [toldAt = 0] = first.arrivals.filter(at => at >= saidAt)
    expect(toldAt).toBeGreaterThan(0)
    expect(first.arrivals.filter(at => at > toldAt + GRACE_MILLISECONDS)).toEqual([])
    expect(servedShare(answers)).toBeGreaterThanOrEqual(MINIMUM_SERVED)
  })
})

const RETRY_AFTER_SECONDS = 6

describe('an engine that rejects a chat and sends retry-after', () => {
  it.each([429, 503])(
    'with %i receives few requests from any instance until that time is over',
    async status => {
      const { fleet, first } = await start()
      await send(fleet, 1_000)
      const askedAt = Date.now()
      first.rejectsWithStatus = status
      first.answerHeaders = { 'retry-after': String(RETRY_AFTER_SECONDS) }
      const answers = await send(fleet, RETRY_AFTER_SECONDS * 1_000)
      const late = first.arrivals.filter(at => at > askedAt + GRACE_MILLISECONDS)
      // Each instance must receive its own rejection before it knows of the advice.
      expect(late.length).toBeLessThanOrEqual(2 * INSTANCES)
      expect(servedShare(answers)).toBeGreaterThanOrEqual(MINIMUM_SERVED)
    },
  )
})

/** A refusal as its caller receives it. */
interface Refusal {
  /** The status, the result code and the execution state. */
  readonly summary: string
  readonly returnAfter: string | null
  readonly returnAfterMilliseconds: number
}

async function sendRefused(address: string, prompt: string): Promise<Refusal> {
  const response = await fetch(`${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${TEAM_KEY}` },
    body: chatBody({ word: 'any', tokens: 4, prompt }, true),
  })
  const { error } = (await response.json()) as { error: { code: number; execution: string } }
  return {
    summary: `${response.status} ${error.code} ${error.execution}`,
    returnAfter: response.headers.get('retry-after'),
    returnAfterMilliseconds: Number(response.headers.get('retry-after-ms')),
  }
}

const REQUESTS = 120

describe('engines that all reject chats and send retry-after', () => {
  it.each([429, 503])(
    'with %i: every caller learns that its chat did not run and when to retry',
    async status => {
      const { fleet } = await start()
      const ran = () =>
        fleet.engines.reduce((sum, { acceptedRequestIds }) => sum + acceptedRequestIds.length, 0)
      await send(fleet, 500)
      const ranBefore = ran()
      for (const engine of fleet.engines) {
        engine.rejectsWithStatus = status
        engine.answerHeaders = { 'retry-after': String(RETRY_AFTER_SECONDS) }
      }
      const asked: Promise<Refusal>[] = []
      for (let number = 0; number < REQUESTS; number += 1) {
        asked.push(sendRefused(fleet.callers(number % INSTANCES), `prompt ${number}`))
        await pause(INTERVAL_MILLISECONDS / 5)
      }
      const refusals = await Promise.all(asked)
      expect(ran()).toBe(ranBefore)
      // 3007 and 3016: no other engine or no retry was left, or all engines were resting already.
      const others = refusals.filter(({ summary }) => !/^503 (3007|3016) not-run$/.test(summary))
      expect(others).toEqual([])
      for (const { returnAfter, returnAfterMilliseconds } of refusals) {
        expect(returnAfter).toMatch(/^[1-9]\d*$/)
        expect(returnAfterMilliseconds).toBeGreaterThan(0)
        expect(returnAfterMilliseconds).toBeLessThanOrEqual(2 * RETRY_AFTER_SECONDS * 1_000)
      }
    },
  )
})
