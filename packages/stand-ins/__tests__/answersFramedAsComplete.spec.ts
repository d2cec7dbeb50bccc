import type { Socket } from 'node:net'
import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { ConfiguredFleet, SocketEndpoint, TEAM_KEY, callOverSocket } from '@rackwalk/stand-ins'
import type { SocketReply } from '@rackwalk/stand-ins'

/**
 * Guards against incomplete answers that reach callers as complete ones: half of a JSON document was delivered as a complete
 * 200 when the endpoint's connection ended early.
 */

const STALL_MILLISECONDS = 400
const LATE_RESET_MILLISECONDS = 30
const DEADLINE_MILLISECONDS = 300
const PARALLEL = 8

const DOCUMENT = JSON.stringify({
  choices: [{ index: 0, message: { role: 'assistant', content: 'whole' } }],
  usage: { prompt_tokens: 1, completion_tokens: 1, total_tokens: 2 },
})
const EVENTS = [1, 2, 3, 4].map(
  id => `data: {"choices":[{"index":0,"delta":{"content":"${id}"}}]}\n\n`,
)
const STREAM = `${EVENTS.join('')}data: [DONE]\n\n`
const LINES = 'first line\nsecond line\n'

/** The kinds of requests, with the content type and the body of the endpoint's complete answer. */
const KINDS = {
  chat: { type: 'application/json', text: DOCUMENT },
  'chat stream': { type: 'text/event-stream', text: STREAM },
  document: { type: 'application/json; charset=utf-8', text: DOCUMENT },
  'document, once': { type: 'application/json', text: DOCUMENT },
  text: { type: 'text/plain', text: LINES },
  events: { type: 'text/event-stream', text: EVENTS.join('') },
} as const
type Kind = keyof typeof KINDS

const FRAMINGS = ['length', 'chunks', 'connection'] as const
type Framing = (typeof FRAMINGS)[number]

/** The part of the answer's body that the endpoint sends. */
const PARTS = {
  none: () => '',
  half: (text: string) => text.slice(0, Math.floor(text.length / 2)),
  whole: (text: string) => text,
} as const
type Part = keyof typeof PARTS

/** What the endpoint does with the connection after that part. */
const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  closed: socket => socket.end(),
  'reset at once': socket => socket.resetAndDestroy(),
  'reset later': socket => setTimeout(() => socket.resetAndDestroy(), LATE_RESET_MILLISECONDS),
  silence: () => undefined,
  deadline: () => undefined,
}

interface Row {
  readonly name: string
  readonly kind: Kind
  readonly framing: Framing
  readonly part: Part
  readonly end: string
  /** Whether a chunked answer ends with its last chunk. */
  readonly hasLastChunk: boolean
}

function rows(): readonly Row[] {
  const all = (Object.keys(KINDS) as Kind[]).flatMap(kind =>
    FRAMINGS.flatMap(framing =>
      (Object.keys(PARTS) as Part[]).flatMap(part =>
        Object.keys(ENDS).flatMap(end =>
          (framing === 'chunks' && part === 'whole' ? [false, true] : [false]).map(
            hasLastChunk => ({ kind, framing, part, end, hasLastChunk }),
          ),
        ),
      ),
    ),
  )
  return all.map((row, index) => ({ ...row, name: `row-${index}` }))
}

const ROWS = rows()

function headOf({ kind, framing }: Row): string {
  const { type, text } = KINDS[kind]
  const lines = ['HTTP/1.1 200 OK', `content-type: ${type}`]
  if (framing === 'length') lines.push(`content-length: ${text.length}`)
  if (framing === 'chunks') lines.push('transfer-encoding: chunked')
  return `${lines.join('\r\n')}\r\n\r\n`
}

function bodyOf({ kind, framing, part, hasLastChunk }: Row): string {
  const text = PARTS[part](KINDS[kind].text)
  if (framing !== 'chunks') return text
  const chunk = text === '' ? '' : `${text.length.toString(16)}\r\n${text}\r\n`
  return chunk + (hasLastChunk ? '0\r\n\r\n' : '')
}

function answerRow(socket: Socket, row: Row): void {
  socket.write(headOf(row) + bodyOf(row), () => ENDS[row.end]?.(socket))
}

let fleet: ConfiguredFleet
let endpoints: readonly SocketEndpoint[]

beforeAll(async () => {
  fleet = await new ConfiguredFleet({
    instances: 1,
    limits: { stallMilliseconds: STALL_MILLISECONDS, firstByteMilliseconds: STALL_MILLISECONDS },
  }).start()
  endpoints = ROWS.map(row => new SocketEndpoint(socket => answerRow(socket, row)))
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
function resourcesOf({ name, kind }: Row, address: string) {
  const metadata = { name }
  const isChat = kind.startsWith('chat')
  const serves = isChat ? { kind: 'model', models: [name] } : { kind: 'service', service: name }
  const spec = { model: name, version: '1', replicas: 1, defaultOutputTokens: 64 }
  return [
    { kind: 'endpoints', metadata, spec: { ...serves, address } },
    ...(isChat ? [{ kind: 'placements', metadata, spec }] : []),
  ]
}

function callOf({ name, kind, end }: Row) {
  const headers = {
    authorization: `Bearer ${TEAM_KEY}`,
    ...(end === 'deadline' ? { 'rackwalk-deadline-ms': String(DEADLINE_MILLISECONDS) } : {}),
    ...(kind === 'document, once' ? { 'rackwalk-repeatable': 'no' } : {}),
  }
  const address = fleet.callers()
  if (!kind.startsWith('chat'))
    return { address, method: 'GET', path: `/services/${name}/${name}`, headers }
  const stream = kind === 'chat stream'
  const body = { model: name, stream, messages: [{ role: 'user', content: name }] }
  const path = '/v1/chat/completions'
  return { address, method: 'POST', path, headers, body: JSON.stringify(body) }
}

/** Describes the caller's answer: status, content and the way in which the caller sees its end. */
function describeReply(row: Row, { status, body, ending }: SocketReply): string {
  if (ending === 'no answer') return ending
  const code = /"error":\{"code":(\d+)/.exec(body)?.[1]
  const { text } = KINDS[row.kind]
  const content = body === text ? 'whole' : body.includes('[DONE]') ? 'other, [DONE]' : 'short'
  const said = code === undefined ? content : `error ${code}`
  return `${status} ${said}, ${ending}`
}

function describeRow({ framing, part, end, hasLastChunk }: Row): string {
  return [framing, part, ...(hasLastChunk ? ['last chunk'] : []), end].join(', ')
}

async function metricsText(): Promise<string> {
  const operators = fleet.fleet.members[0]?.addresses.operators
  const response = await request(`http://${operators}/metrics`)
  return response.body.text()
}

async function play(chosen: readonly Row[]): Promise<readonly string[]> {
  const lines: string[] = []
  const waiting = [...chosen.entries()]
  const work = async () => {
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
      const [index, row] = next
      const reply = await callOverSocket(callOf(row))
      lines[index] = `${describeRow(row)} | ${describeReply(row, reply)}`
    }
  }
  await Promise.all(Array.from({ length: PARALLEL }, work))
  return lines
}

describe('what a caller gets of an answer that ends early or not', () => {
  it.each(Object.keys(KINDS) as Kind[])('%s', async kind => {
    expect(await play(ROWS.filter(row => row.kind === kind))).toMatchSnapshot()
  })
  it('is counted by framing, end and fate', async () => {
    const text = await metricsText()
    const counts = text
      .split('\n')
      .filter(line => line.startsWith('rackwalk_endpoint_answers_total{'))
    expect(counts.sort()).toMatchSnapshot()
  })
})
