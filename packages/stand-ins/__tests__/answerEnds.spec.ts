import { setTimeout as sleep } from 'node:timers/promises'
import type { Socket } from 'node:net'
import fc from 'fast-check'
import { Agent } from 'undici'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { SystemClock, asId } from '@rackwalk/shared'
import type { EndpointId } from '@rackwalk/shared'
import { EndpointClient, ANSWER_BUFFER_LIMITS } from '@rackwalk/router'
import { SocketEndpoint } from '@rackwalk/stand-ins'

/**
 * Guards against incomplete answers that are taken for complete ones, and against complete answers that are lost. Answers
 * are split and interrupted at random positions and read over a real socket by a reader that pauses.
 */

const RUNS = { seed: 43, numRuns: 150 }
const STALL_MILLISECONDS = 5_000
const ENDPOINT = asId<EndpointId>('endpoint')

const BODIES = {
  json: { type: 'application/json', text: JSON.stringify({ list: [1, 'two ]}', { three: '"' }] }) },
  text: { type: 'text/plain', text: 'some lines\nof text\nthat say nothing of their end\n' },
} as const

interface Play {
  readonly framing: 'length' | 'chunks' | 'connection'
  readonly body: keyof typeof BODIES
  /** Number of bytes of an incomplete answer that are sent. */
  readonly cut: number
  readonly isWhole: boolean
  readonly splits: readonly number[]
  readonly end: 'closed' | 'reset'
  /** Whether the connection ends in the same turn as the last bytes are sent. */
  readonly endsAtOnce: boolean
  /** Time for which the reader pauses after each chunk, in milliseconds. */
  readonly pauses: readonly number[]
  readonly isHeld: boolean
}

/** The reader's view of an answer. */
interface Reading {
  readonly kind: 'whole' | 'broken'
  readonly body: string
  /** Whether the answer is delimited by more than the end of the connection. */
  readonly isDelimited: boolean
}

const plays: fc.Arbitrary<Play> = fc.record({
  framing: fc.constantFrom('length' as const, 'chunks' as const, 'connection' as const),
  body: fc.constantFrom('json' as const, 'text' as const),
  cut: fc.nat({ max: 60 }),
  isWhole: fc.boolean(),
  splits: fc.array(fc.nat({ max: 60 }), { maxLength: 4 }),
  end: fc.constantFrom('closed' as const, 'reset' as const),
  endsAtOnce: fc.boolean(),
  pauses: fc.array(fc.nat({ max: 8 }), { maxLength: 6 }),
  isHeld: fc.boolean(),
})

function headOf({ framing, body }: Play): string {
  const { type, text } = BODIES[body]
  const lines = ['HTTP/1.1 200 OK', `content-type: ${type}`, 'connection: close']
  if (framing === 'length') lines.push(`content-length: ${text.length}`)
  if (framing === 'chunks') lines.push('transfer-encoding: chunked')
  return `${lines.join('\r\n')}\r\n\r\n`
}

function framed({ framing, body }: Play): string {
  const { text } = BODIES[body]
  if (framing !== 'chunks') return text
  const half = Math.floor(text.length / 2)
  const chunks = [text.slice(0, half), text.slice(half), '']
  return chunks.map(chunk => `${chunk.length.toString(16)}\r\n${chunk}\r\n`).join('')
}

/** Returns the bytes that are sent; at least one byte of an incomplete answer is missing. */
function bytesOf(play: Play): string {
  const all = framed(play)
  return play.isWhole ? all : all.slice(0, Math.min(play.cut, all.length - 1))
}

async function answer(socket: Socket, play: Play): Promise<void> {
  const bytes = bytesOf(play)
  const ends = [...play.splits.map(split => Math.min(split, bytes.length)), bytes.length]
  ends.sort((left, right) => left - right)
  socket.write(headOf(play))
  for (const [index, end] of ends.entries()) {
    socket.write(bytes.slice(ends[index - 1] ?? 0, end))
    if (index < ends.length - 1) await sleep(1)
  }
  if (!play.endsAtOnce) await sleep(5)
  if (play.end === 'closed') socket.end()
  else socket.resetAndDestroy()
}

let current: Play
let address: string
let endpoint: SocketEndpoint

beforeAll(async () => {
  endpoint = new SocketEndpoint(socket => void answer(socket, current))
  address = `http://127.0.0.1:${await endpoint.listen()}`
})

afterAll(() => endpoint.stop())

const clock = new SystemClock()
const bufferingClient = new EndpointClient(clock, STALL_MILLISECONDS)
const passingClient = new EndpointClient(clock, STALL_MILLISECONDS, {
  ...ANSWER_BUFFER_LIMITS,
  maximumAnswerBytes: 0,
})

async function read(play: Play): Promise<Reading> {
  current = play
  const client = play.isHeld ? bufferingClient : passingClient
  const result = await client.attempt({
    endpointId: ENDPOINT,
    address,
    method: 'GET',
    path: '/',
    headers: {},
    body: undefined,
    firstByteMilliseconds: STALL_MILLISECONDS,
    signal: new AbortController().signal,
  })
  if (result.kind !== 'answering') return { kind: 'broken', body: '', isDelimited: true }
  const { answer: given } = result
  const pauses = [...play.pauses]
  return new Promise(resolve => {
    let body = ''
    const finish = (kind: Reading['kind']) => {
      given.releaseBuffer()
      resolve({ kind, body, isDelimited: given.isDelimited })
    }
    const consumer = {
      isFull: false,
      receive: (chunk: Buffer) => {
        body += chunk.toString('latin1')
        const pause = pauses.shift()
        if (pause === undefined) return
        consumer.isFull = true
        setTimeout(() => {
          consumer.isFull = false
          given.resume()
        }, pause)
      },
      end: () => finish('whole'),
      fail: () => finish('broken'),
    }
    given.startReading(consumer)
  })
}

/** The broken control: takes an answer for whole whenever reading ends without an error. */
function readWithoutRule(play: Play): Promise<Reading> {
  current = play
  return new Promise(resolve => {
    let body = ''
    const finish = (kind: Reading['kind']) => resolve({ kind, body, isDelimited: true })
    new Agent().dispatch(
      { origin: address, path: '/', method: 'GET' },
      {
        onRequestStart: () => undefined,
        onResponseStart: () => undefined,
        onResponseData: (_, chunk) => void (body += chunk.toString('latin1')),
        onResponseEnd: () => finish('whole'),
        onResponseError: () => finish('broken'),
      },
    )
  })
}

/** Whether a reading violates the guarantee. */
function violatesGuarantee(play: Play, { kind, body, isDelimited }: Reading): boolean {
  const { text } = BODIES[play.body]
  const isUnframed = play.framing === 'connection'
  // A close directly after the head does not show that a 200 has an empty body.
  if (isUnframed && bytesOf(play) === '') return kind === 'whole'
  const provesNothing = isUnframed && play.body === 'text'
  if (kind === 'broken') {
    // A reset may discard bytes that a paused reader has not yet read; an orderly end never does.
    return play.end === 'closed' && (play.isWhole || provesNothing)
  }
  if (provesNothing) return play.end === 'reset' || isDelimited || !text.startsWith(body)
  return body !== text
}

describe('an answer that is interrupted at a random position', () => {
  it('is taken for whole only if its framing proves it, and none with an orderly close is lost', async () => {
    await fc.assert(
      fc.asyncProperty(plays, async play => !violatesGuarantee(play, await read(play))),
      RUNS,
    )
  })

  it.each([
    ['a document without a length, closed', { framing: 'connection', body: 'json', end: 'closed' }],
    ['a document without a length, reset', { framing: 'connection', body: 'json', end: 'reset' }],
    ['text without a length, closed', { framing: 'connection', body: 'text', end: 'closed' }],
    ['text without a length, reset', { framing: 'connection', body: 'text', end: 'reset' }],
  ] as const)('would be framed as complete without the rule: %s', async (_, row) => {
    const found = await fc.check(
      fc.asyncProperty(plays, async drawn => {
        const play = { ...drawn, ...row }
        return !violatesGuarantee(play, await readWithoutRule(play))
      }),
      RUNS,
    )
    expect(found.failed).toBe(true)
  })
})
