import type { Socket } from 'node:net'
import { afterAll, beforeAll, expect, it, vi } from 'vitest'
import { SeededRandom, SystemClock, sleep } from '@rackwalk/shared'
import { ConfiguredFleet, SocketEndpoint, TEAM_KEY, callOverSocket } from '@rackwalk/stand-ins'

/**
 * Guards against an answer with one spoiled byte that ends the process, leaves its caller without an answer, or stops its
 * endpoint from serving others. Further seeds by hand: SPOILED_SEEDS=50.
 */

const DEADLINE_MILLISECONDS = 1_000
/** A caller that has no answer by then gets none: the deadline, and time to give up afterwards. */
const ANSWER_MILLISECONDS = DEADLINE_MILLISECONDS + 2_000
const SPOILED_IN_A_SEED = 60
const SEEDS = Number(process.env['SPOILED_SEEDS'] ?? 2)
const NAME = 'spoiled'
const CALLS = ['chat', 'stream', 'service'] as const
type Call = (typeof CALLS)[number]

const CHAT = JSON.stringify({
  id: 'chat-1',
  object: 'chat.completion',
  model: NAME,
  choices: [{ index: 0, message: { role: 'assistant', content: 'Hello' }, finish_reason: 'stop' }],
  usage: { prompt_tokens: 3, completion_tokens: 1, total_tokens: 4 },
})
const EVENT = JSON.stringify({
  id: 'chat-1',
  object: 'chat.completion.chunk',
  choices: [{ index: 0, delta: { content: 'Hello' }, finish_reason: null }],
})
const EVENTS = `data: ${EVENT}\n\ndata: [DONE]\n\n`
const ANSWERS: Readonly<Record<Call, string>> = {
  chat: answerWith('application/json', CHAT),
  stream: answerWith('text/event-stream', EVENTS),
  service: answerWith('application/json', '{"pitches":4}'),
}

let fleet: ConfiguredFleet
/** Changes an answer before it is sent; undefined for a sound one. */
let spoilByte: ((bytes: Buffer) => void) | undefined
const faults: unknown[] = []
const noteFault = (fault: unknown) => void faults.push(fault)

function answerWith(type: string, body: string): string {
  const headers = `content-type: ${type}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n`
  return `HTTP/1.1 200 OK\r\n${headers}x-ratelimit-limit-requests: 6000\r\n\r\n${body}`
}

/** Bytes that follow each answer at once. */
let surplus = ''

function answer(call: Call, socket: Socket): void {
  const bytes = Buffer.from(ANSWERS[call], 'latin1')
  spoilByte?.(bytes)
  socket.write(Buffer.concat([bytes, Buffer.from(surplus, 'latin1')]))
}

const endpoints = {
  model: new SocketEndpoint((socket, { body }) => {
    answer(body.includes('"stream":true') ? 'stream' : 'chat', socket)
  }),
  service: new SocketEndpoint(socket => answer('service', socket)),
}

beforeAll(async () => {
  // An error that nothing handles would end the process of an instance.
  process.on('uncaughtException', noteFault)
  process.on('unhandledRejection', noteFault)
  fleet = await new ConfiguredFleet({ instances: 1 }).start()
  const model = `http://127.0.0.1:${await endpoints.model.listen()}`
  const service = `http://127.0.0.1:${await endpoints.service.listen()}`
  const placement = { model: NAME, version: '1', replicas: 1, defaultOutputTokens: 64 }
  await fleet.apply([
    {
      kind: 'endpoints',
      metadata: { name: NAME },
      spec: { kind: 'model', models: [NAME], address: model },
    },
    { kind: 'placements', metadata: { name: NAME }, spec: placement },
    {
      kind: 'endpoints',
      metadata: { name: 'plain' },
      spec: { kind: 'service', service: NAME, address: service },
    },
  ])
})

afterAll(async () => {
  await fleet.stop()
  for (const endpoint of Object.values(endpoints)) endpoint.stop()
  process.off('uncaughtException', noteFault)
  process.off('unhandledRejection', noteFault)
})

function ask(call: Call) {
  const address = fleet.callers()
  const headers = {
    authorization: `Bearer ${TEAM_KEY}`,
    'rackwalk-deadline-ms': String(DEADLINE_MILLISECONDS),
  }
  if (call === 'service')
    return callOverSocket({ address, method: 'GET', path: `/services/${NAME}/x`, headers })
  const messages = [{ role: 'user', content: 'Hello' }]
  const body = JSON.stringify({ model: NAME, stream: call === 'stream', messages, max_tokens: 4 })
  return callOverSocket({ address, method: 'POST', path: '/v1/chat/completions', headers, body })
}

it.each(Array.from({ length: SEEDS }, (_, seed) => seed))(
  'one spoiled byte of an answer ends no process and leaves no caller without an answer (seed %i)',
  async seed => {
    const random = new SeededRandom(seed)
    for (let number = 0; number < SPOILED_IN_A_SEED; number += 1) {
      const call = CALLS[number % CALLS.length] as Call
      let spoiled = ''
      spoilByte = bytes => {
        const index = Math.floor(random.next() * bytes.length)
        bytes[index] = Math.floor(random.next() * 256)
        spoiled = `${call}, byte ${index}: ${bytes[index]}`
      }
      const reply = await Promise.race([
        ask(call),
        sleep(new SystemClock(), ANSWER_MILLISECONDS).then(() => undefined),
      ])
      expect(reply?.status, spoiled).toBeGreaterThanOrEqual(200)
      expect(reply?.status, spoiled).toBeLessThan(600)
      spoilByte = undefined
      await vi.waitUntil(async () => (await ask(call)).status === 200, { timeout: 5_000 })
    }
    expect(faults).toEqual([])
  },
)

it.each(CALLS)(
  'a second answer after the one to a %s is not the answer to the next',
  async call => {
    surplus = answerWith('application/json', '{"surplus":true}').repeat(2)
    for (let number = 0; number < 10; number += 1) {
      const reply = await ask(call)
      expect(reply.status).toBe(200)
      expect(reply.body).not.toContain('surplus')
    }
    surplus = ''
    expect(faults).toEqual([])
  },
)
