import type { Socket } from 'node:net'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import {
  ConfiguredFleet,
  MODEL,
  SocketEndpoint,
  TEAM_KEY,
  callOverSocket,
} from '@rackwalk/stand-ins'
import type { SocketReply } from '@rackwalk/stand-ins'

/**
 * Guards against endpoints that send a head, a body or an event without end: such an answer must not fill the memory of
 * the process, occupy its connection forever, be taken for complete or end other requests.
 */

const DEADLINE_MILLISECONDS = 1_500
const STALL_MILLISECONDS = 1_000
const PIECE = 'x'.repeat(64 * 1024)
const CHUNK_OF_PIECE = `${PIECE.length.toString(16)}\r\n${PIECE}\r\n`
const EVENT = `data: {"choices":[{"index":0,"delta":{"content":"${'x'.repeat(1_000)}"}}]}\n\n`
const CHUNK_OF_EVENT = `${EVENT.length.toString(16)}\r\n${EVENT}\r\n`
/** An endpoint writes no further while this much of its answer waits to be sent. */
const MAXIMUM_WAITING_BYTES = 1024 * 1024
/** What is read of an endless head or event, with the buffers of the sockets, which hold several megabytes. */
const BOUND_BYTES = 16 * 1024 * 1024

const HEAD = 'HTTP/1.1 200 OK\r\n'
const chunkedHead = (type: string) =>
  `${HEAD}content-type: ${type}\r\ntransfer-encoding: chunked\r\n\r\n`

interface EndlessAnswer {
  readonly start: string
  /** Written again and again until the connection closes. */
  readonly piece: string
  /** Whether the answer is ended by a limit on its size; other answers end at the deadline. */
  readonly isSizeLimited: boolean
}

const ANSWERS: Readonly<Record<string, EndlessAnswer>> = {
  head: { start: `${HEAD}x-filler: `, piece: PIECE, isSizeLimited: true },
  'head of many lines': { start: HEAD, piece: 'x-filler: x\r\n'.repeat(100), isSizeLimited: true },
  document: { start: chunkedHead('application/json'), piece: CHUNK_OF_PIECE, isSizeLimited: false },
  text: { start: chunkedHead('text/plain'), piece: CHUNK_OF_PIECE, isSizeLimited: false },
  unframed: {
    start: `${HEAD}content-type: text/plain\r\n\r\n`,
    piece: PIECE,
    isSizeLimited: false,
  },
  event: { start: chunkedHead('text/event-stream'), piece: CHUNK_OF_PIECE, isSizeLimited: true },
  events: {
    start: chunkedHead('text/event-stream'),
    piece: CHUNK_OF_EVENT,
    isSizeLimited: false,
  },
}

const CALLS = ['chat', 'stream', 'service'] as const

interface Row {
  readonly name: string
  readonly call: (typeof CALLS)[number]
  readonly answer: string
}

const ROWS: readonly Row[] = CALLS.flatMap(call =>
  Object.keys(ANSWERS).map(answer => ({
    name: `${call}-${answer.replaceAll(' ', '-')}`,
    call,
    answer,
  })),
)

const openSockets = new Map<string, Set<Socket>>()
const sentBytes = new Map<string, number>()

function answerWithoutEnd(socket: Socket, { name, answer }: Row): void {
  const { start, piece } = ANSWERS[answer] as EndlessAnswer
  const open = openSockets.get(name) ?? new Set()
  openSockets.set(name, open.add(socket))
  socket.write(start)
  const timer = setInterval(() => {
    if (socket.writableLength < MAXIMUM_WAITING_BYTES) socket.write(piece)
  }, 1)
  socket.once('close', () => {
    clearInterval(timer)
    open.delete(socket)
    const sent = socket.bytesWritten - socket.writableLength
    sentBytes.set(name, Math.max(sent, sentBytes.get(name) ?? 0))
  })
}

let fleet: ConfiguredFleet
let endpoints: readonly SocketEndpoint[]

beforeAll(async () => {
  fleet = await new ConfiguredFleet({
    instances: 1,
    limits: { stallMilliseconds: STALL_MILLISECONDS, firstByteMilliseconds: STALL_MILLISECONDS },
  }).start()
  endpoints = ROWS.map(row => new SocketEndpoint(socket => answerWithoutEnd(socket, row)))
  const ports = await Promise.all(endpoints.map(endpoint => endpoint.listen()))
  await fleet.apply(
    ROWS.flatMap((row, index) => resourcesOf(row, `http://127.0.0.1:${ports[index]}`)),
  )
})

afterAll(async () => {
  await fleet.stop()
  for (const endpoint of endpoints) endpoint.stop()
})

/** Returns the resources of one row. Each row has its own endpoint, so that rows share no connections. */
function resourcesOf({ name, call }: Row, address: string) {
  const metadata = { name }
  const isChat = call !== 'service'
  const serves = isChat ? { kind: 'model', models: [name] } : { kind: 'service', service: name }
  const spec = { model: name, version: '1', replicas: 1, defaultOutputTokens: 64 }
  return [
    { kind: 'endpoints', metadata, spec: { ...serves, address } },
    ...(isChat ? [{ kind: 'placements', metadata, spec }] : []),
  ]
}

function ask(model: string, call: Row['call'], deadlineMilliseconds = DEADLINE_MILLISECONDS) {
  const address = fleet.callers()
  const headers = {
    authorization: `Bearer ${TEAM_KEY}`,
    'rackwalk-deadline-ms': String(deadlineMilliseconds),
  }
  if (call === 'service')
    return callOverSocket({ address, method: 'GET', path: `/services/${model}/x`, headers })
  const messages = [{ role: 'user', content: model }]
  const body = JSON.stringify({ model, stream: call === 'stream', messages, max_tokens: 4 })
  return callOverSocket({ address, method: 'POST', path: '/v1/chat/completions', headers, body })
}

/** Describes how the caller sees the end of its answer, without the number of bytes before it. */
function describeReply({ status, body, ending }: SocketReply): string {
  const code = /"error":\{"code":(\d+)/.exec(body)?.[1]
  return [status, ...(code === undefined ? [] : [`error ${code}`]), ending].join(', ')
}

async function untilClosed(name: string): Promise<void> {
  while ((openSockets.get(name)?.size ?? 0) > 0) {
    await new Promise(resolve => setTimeout(resolve, 10))
  }
}

describe.each(CALLS)('an answer without an end to a %s', call => {
  it('has an outcome that is not complete, and its connection closes', async () => {
    const rows = ROWS.filter(row => row.call === call)
    const outcomes: Record<string, string> = {}
    for (const row of rows) {
      outcomes[row.answer] = describeReply(await ask(row.name, call))
      await untilClosed(row.name)
    }
    expect(outcomes).toMatchSnapshot()
    const limited = rows.filter(({ answer }) => ANSWERS[answer]?.isSizeLimited)
    for (const { name } of limited) expect(sentBytes.get(name)).toBeLessThan(BOUND_BYTES)
  })
})

it('the process serves other requests afterwards', async () => {
  const reply = await ask(MODEL, 'chat', 10_000)
  expect(reply).toMatchObject({ status: 200, ending: 'length' })
})
