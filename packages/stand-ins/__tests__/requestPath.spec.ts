import { request } from 'undici'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { ResultCode } from '@rackwalk/shared'
import {
  ConfiguredFleet,
  OTHER_TEAM_KEY,
  TEAM_KEY,
  chatBody,
  expectedText,
  streamChat,
} from '@rackwalk/stand-ins'
import type { ConfiguredFleetOptions } from '@rackwalk/stand-ins'

let current: ConfiguredFleet | undefined

async function start(options: ConfiguredFleetOptions = {}): Promise<ConfiguredFleet> {
  current = await new ConfiguredFleet(options).start()
  return current
}

afterEach(async () => {
  await current?.stop()
  current = undefined
})

interface ErrorAnswer {
  readonly error: {
    readonly code: number
    readonly execution: string
    readonly repeatable: boolean
  }
}

async function post(address: string, body: string, headers: Record<string, string> = {}) {
  const response = await request(address, {
    method: 'POST',
    headers: { authorization: `Bearer ${TEAM_KEY}`, ...headers },
    body,
  })
  const answer = (await response.body.json()) as ErrorAnswer
  return { status: response.statusCode, headers: response.headers, answer }
}

/** Repeats a request until its key is no longer in use: the registrar learns of the first one's end with a delay. */
async function postUntilEnded(path: string, body: string, headers: Record<string, string>) {
  for (;;) {
    const again = await post(path, body, headers)
    if (again.answer.error.code !== ResultCode.KeyInUse) return again
    expect(again.answer.error.execution).toBe('unknown')
  }
}

async function explain(fleet: ConfiguredFleet, requestId: string, instance = 0) {
  const member = fleet.fleet.members[instance]
  const { body } = await fleet.fleet.operator(member).get(`/v1/requests/${requestId}`)
  return body as { billedTokens?: number; generatedTokens?: number; code?: number }
}

describe('the request path over real sockets', () => {
  it('gives each of 200 interleaved streams its own whole answer', async () => {
    const fleet = await start({ engines: 4, engineOptions: { tokenMilliseconds: 2 } })
    const demands = Array.from({ length: 200 }, (_, index) => ({
      word: `caller${index}-`,
      tokens: 5 + (index % 30),
      key: index % 2 === 0 ? TEAM_KEY : OTHER_TEAM_KEY,
    }))
    const answers = await Promise.all(
      demands.map((demand, index) => streamChat(fleet.callers(index % 3), demand)),
    )
    for (const [index, answer] of answers.entries()) {
      expect(answer).toMatchObject({ status: 200, isWhole: true })
      expect(answer.text).toBe(expectedText(demands[index]!))
    }
  })

  it('answers without streaming too, with the usage that was billed', async () => {
    const fleet = await start()
    const { status, answer, headers } = await post(
      `${fleet.callers()}/v1/chat/completions`,
      chatBody({ word: 'w', tokens: 3 }, false),
    )
    const body = answer as unknown as { usage: { total_tokens: number } }
    expect(status).toBe(200)
    const record = await explain(fleet, String(headers['rackwalk-request-id']))
    expect(record.billedTokens).toBe(body.usage.total_tokens)
  })

  it('cancels the stream of a caller that disconnects and bills the generated tokens', async () => {
    const fleet = await start({ engines: 1 })
    const [engine] = fleet.engines
    const controller = new AbortController()
    let received = 0
    const answer = streamChat(fleet.callers(), {
      word: 'w',
      tokens: 5_000,
      maximumTokens: 5_000,
      signal: controller.signal,
      onText: () => {
        received += 1
        if (received === 10) controller.abort()
      },
    })
    await expect(answer).rejects.toThrow()
    await vi.waitFor(() => expect(engine!.cancelled).toBe(1), { timeout: 5_000 })
    const [requestId = ''] = engine!.acceptedRequestIds
    const record = await vi.waitUntil(async () => {
      const found = await explain(fleet, requestId)
      return found.code === undefined ? undefined : found
    })
    expect(record.code).toBe(ResultCode.CallerLeft)
    expect(record.generatedTokens).toBeGreaterThanOrEqual(10)
    expect(record.generatedTokens).toBeLessThan(5_000)
    expect(record.billedTokens).toBeGreaterThan(0)
  })

  it('retries at another engine if the first terminates before any byte', async () => {
    const fleet = await start({ engines: 2 })
    fleet.engines[0]!.terminate()
    const demands = Array.from({ length: 12 }, (_, index) => ({ word: `w${index}-`, tokens: 3 }))
    const answers = await Promise.all(demands.map(d => streamChat(fleet.callers(), d)))
    expect(answers.every(answer => answer.isWhole)).toBe(true)
  })

  it('delivers nothing of an abandoned attempt, however late its chunks arrive', async () => {
    const fleet = await start({ engines: 2, limits: { firstByteMilliseconds: 400 } })
    const [late] = fleet.engines
    late!.stall()
    const demands = Array.from({ length: 8 }, (_, index) => ({ word: `w${index}-`, tokens: 60 }))
    const answers = demands.map(demand => streamChat(fleet.callers(), demand))
    // The first attempts resume while the second attempts are being answered.
    setTimeout(() => late!.resume(), 600)
    for (const [index, answer] of (await Promise.all(answers)).entries()) {
      expect(answer.isWhole).toBe(true)
      expect(answer.text).toBe(expectedText(demands[index]!))
    }
    expect(late!.acceptedRequestIds.length, 'attempts that were given up').toBeGreaterThan(0)
  })

  it('forwards x-resume-after, so that the engine continues an answer', async () => {
    const fleet = await start({ engines: 1 })
    const headers = { 'x-resume-after': '3' }
    const answer = await streamChat(fleet.callers(), { word: 'w', tokens: 6, headers })
    expect(answer.text).toBe('w4 w5 w6 ')
  })

  it('keeps everything that decided in the record', async () => {
    const fleet = await start({ engines: 1 })
    const answer = await streamChat(fleet.callers(), { word: 'w', tokens: 2 })
    const record = await explain(fleet, answer.requestId)
    const shape = (value: unknown): unknown => {
      if (Array.isArray(value)) return value.map(shape)
      if (typeof value !== 'object' || value === null) return typeof value
      return Object.fromEntries(Object.entries(value).map(([name, inner]) => [name, shape(inner)]))
    }
    expect(shape(record)).toMatchSnapshot()
  })

  it('reports an interrupted answer as incomplete and bills nothing', async () => {
    const fleet = await start({ engines: 1 })
    fleet.engines[0]!.resetAfterTokens = 4
    const answer = await streamChat(fleet.callers(), { word: 'w', tokens: 20 })
    expect(answer).toMatchObject({ isWhole: false, errorCode: ResultCode.EndpointBrokeOff })
    expect(answer.text).toBe(expectedText({ word: 'w', tokens: 4 }))
    const record = await explain(fleet, answer.requestId)
    expect(record).toMatchObject({ billedTokens: 0, code: ResultCode.EndpointBrokeOff })
  })

  it('gives up on an engine that stalls in the middle of an answer', async () => {
    const fleet = await start({ engines: 1, limits: { stallMilliseconds: 1_500 } })
    const answer = streamChat(fleet.callers(), {
      word: 'w',
      tokens: 500,
      onText: text => {
        if (text.startsWith('w5 ')) fleet.engines[0]!.stall()
      },
    })
    expect(await answer).toMatchObject({ isWhole: false, errorCode: ResultCode.EndpointStalled })
  })

  it('refuses truthfully what a caller gets wrong', async () => {
    const fleet = await start({ limits: { bodyBytes: 2_000 } })
    const chat = `${fleet.callers()}/v1/chat/completions`
    const body = chatBody({ word: 'w', tokens: 2 }, false)
    const cases = {
      'bad JSON': await post(chat, '{'),
      'bad shape': await post(chat, '{"model":"assistant","messages":[]}'),
      'unknown model': await post(chat, body.replace('assistant', 'nobody')),
      'wrong key': await post(chat, body, { authorization: 'Bearer nobody' }),
      'too large': await post(chat, JSON.stringify({ pad: 'x'.repeat(5_000) })),
      'several answers': await post(chat, body.replace('"stream"', '"n":2,"stream"')),
      'unknown path': await post(`${fleet.callers()}/v1/nothing`, '{}'),
      'unknown service': await post(`${fleet.callers()}/services/nobody/x`, '{}'),
      'bad deadline': await post(chat, body, { 'rackwalk-deadline-ms': 'soon' }),
    }
    const seen = Object.entries(cases).map(([name, { status, answer }]) => {
      const { code, execution } = answer.error
      return `${name}: ${status} ${code} ${execution}`
    })
    expect(seen).toMatchSnapshot()
    expect(fleet.engines.flatMap(engine => engine.acceptedRequestIds)).toEqual([])
  })

  it('runs a request that must not be repeated once, whichever instances receive its retries', async () => {
    const fleet = await start()
    const headers = { 'rackwalk-repeatable': 'no', 'idempotency-key': 'hold-1' }
    const paths = [0, 1, 2].map(number => `${fleet.callers(number)}/services/pitches/hold`)
    const first = await post(paths[0]!, 'hold', headers)
    expect(first.status).toBe(200)
    for (const path of paths) {
      const again = await postUntilEnded(path, 'hold', headers)
      expect(again.answer.error).toMatchObject({ code: ResultCode.AlreadyRan, execution: 'ran' })
    }
    expect(fleet.service.executions).toHaveLength(1)
  })

  it('says "unknown" and never runs again when the answer of such a call is lost', async () => {
    const fleet = await start()
    fleet.service.dropsAnswers = true
    const headers = { 'rackwalk-repeatable': 'no', 'idempotency-key': 'hold-2' }
    const path = `${fleet.callers()}/services/pitches/hold`
    const first = await post(path, 'hold', headers)
    expect(first.answer.error).toMatchObject({
      code: ResultCode.OutcomeUnknown,
      execution: 'unknown',
      repeatable: false,
    })
    fleet.service.dropsAnswers = false
    const again = await post(`${fleet.callers(1)}/services/pitches/hold`, 'hold', headers)
    expect(again.answer.error.execution).not.toBe('not-run')
    expect(fleet.service.executions).toHaveLength(1)
  })

  it('cuts off no request in progress at a planned stop', async () => {
    const fleet = await start({ engineOptions: { tokenMilliseconds: 10 } })
    const [member] = fleet.fleet.members
    const demands = Array.from({ length: 20 }, (_, index) => ({ word: `w${index}-`, tokens: 60 }))
    const begun = new Set<string>()
    const answers = demands.map(demand =>
      streamChat(fleet.callers(), { ...demand, onText: () => begun.add(demand.word) }),
    )
    await vi.waitUntil(() => begun.size === demands.length)
    const leaving = member!.daemon.drain()
    const refused = await streamChat(fleet.callers(), { word: 'w', tokens: 2 })
    expect(refused.errorCode).toBe(ResultCode.InstanceDraining)
    for (const [index, answer] of (await Promise.all(answers)).entries()) {
      expect(answer.isWhole).toBe(true)
      expect(answer.text).toBe(expectedText(demands[index]!))
    }
    await leaving
    fleet.fleet.members.splice(0, 1)
  })

  it('sends no new requests to a leaving engine after its first refusal', async () => {
    const fleet = await start({ engines: 2 })
    const [leaving] = fleet.engines
    leaving!.leave()
    const before = leaving!.acceptedRequestIds.length
    const demands = Array.from({ length: 10 }, () => ({ word: 'w', tokens: 2 }))
    const answers = await Promise.all(demands.map(d => streamChat(fleet.callers(1), d)))
    expect(answers.every(answer => answer.isWhole)).toBe(true)
    expect(leaving!.acceptedRequestIds.length).toBe(before)
  })

  it('keeps serving through an outage of the store and bills each request once afterwards', async () => {
    const fleet = await start()
    await streamChat(fleet.callers(), { word: 'w', tokens: 3 })
    fleet.platform.tableFaults.outage = true
    const demands = Array.from({ length: 10 }, () => ({ word: 'w', tokens: 3 }))
    const answers = await Promise.all(demands.map(d => streamChat(fleet.callers(), d)))
    expect(answers.every(answer => answer.isWhole)).toBe(true)
    const headers = { 'rackwalk-repeatable': 'no', 'idempotency-key': 'hold-3' }
    const hold = await post(`${fleet.callers()}/services/pitches/hold`, 'hold', headers)
    expect(hold.answer.error).toMatchObject({
      code: ResultCode.ClaimUnconfirmed,
      execution: 'not-run',
      earlierAttempts: 'unknown',
    })
    expect(fleet.service.executions).toEqual([])
    fleet.platform.tableFaults.outage = false
    await vi.waitFor(async () => {
      const { body } = await fleet.fleet.operator().get('/v1/usage?team=team')
      expect(body).toMatchObject({ lines: [{ requests: 11 }], excessTokens: 0 })
    }, 10_000)
  })
})
