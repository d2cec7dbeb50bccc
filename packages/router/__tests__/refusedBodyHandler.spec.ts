import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { LinkBandwidthBudget } from '@rackwalk/decisions'
import { RefusedBodyHandler, sendContinueOnRead, BodyMemory, readBody } from '@rackwalk/router'
import type { RefusedBodyOutcome } from '@rackwalk/router'
import { SystemClock } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'

/**
 * What callers receive of a refusal, and how much of their bodies is read, for all body sizes,
 * framings and orders of sending.
 */

const LINK_BYTES_PER_SECOND = 1_000_000
const REFUSAL = { status: 503, headers: { 'content-length': '2' }, body: Buffer.from('no') }
/** Longer than a connection with a refused body is kept open. */
const SLOW_MILLISECONDS = 3_500
/** Bytes of an unread body that the socket and the parser may buffer. */
const BUFFERED_BYTES = 262_144

/** The system clock, which can be stopped so that the link's budget earns nothing more. */
class HoldableClock extends SystemClock {
  heldAt: Milliseconds | undefined

  override monotonic(): Milliseconds {
    return this.heldAt ?? super.monotonic()
  }
}

const clock = new HoldableClock()
let server: Server
let sockets: Socket[]
let outcomes: RefusedBodyOutcome[]
let discardedBytes: number

beforeEach(async () => {
  sockets = []
  outcomes = []
  discardedBytes = 0
  const refusedBodies = new RefusedBodyHandler({
    clock,
    link: new LinkBandwidthBudget(LINK_BYTES_PER_SECOND),
    counters: {
      noteRefusedBody: outcome => outcomes.push(outcome),
      noteDiscardedBytes: bytes => (discardedBytes += bytes),
    },
  })
  server = createServer((request, response) => {
    const memory = new BodyMemory(1_000_000).open()
    const limits = { bytes: 100_000, timeout: 1_000, memory }
    const refuse = () => refusedBodies.refuse(response, () => REFUSAL)
    const accept = (body: Buffer) => response.end(`read ${body.length}`)
    if (request.url === '/slow') setTimeout(accept, SLOW_MILLISECONDS, Buffer.of())
    else if (request.url === '/refused') refuse()
    else void readBody(request, limits, clock).then(accept, refuse)
  })
  sendContinueOnRead(server)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
})

afterEach(() => {
  clock.heldAt = undefined
  for (const socket of sockets) socket.destroy()
  server.closeAllConnections()
  server.close()
})

/** One connection: the text received on it and the time at which it ended. */
class Connection {
  text = ''
  readonly openedAt = performance.now()
  readonly socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  readonly ended = new Promise<number>(resolve => {
    this.socket.once('close', () => resolve(performance.now() - this.openedAt))
  })

  constructor() {
    sockets.push(this.socket)
    this.socket.on('error', () => {})
    this.socket.on('data', chunk => (this.text += chunk.toString('latin1')))
  }

  send(text: string | Buffer): void {
    if (this.socket.writable) this.socket.write(text)
  }

  /** Statuses of all answers so far. */
  get statuses(): readonly string[] {
    return [...this.text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status ?? '')
  }

  async untilAnswers(count: number): Promise<void> {
    while (this.statuses.length < count) await turn()
  }
}

function turn(milliseconds = 5): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

function head(path: string, ...fields: readonly string[]): string {
  return [`POST ${path} HTTP/1.1`, 'Host: a', ...fields, '', ''].join('\r\n')
}

function lengthOf(bytes: number): string {
  return `Content-Length: ${bytes}`
}

const CHUNKED = 'Transfer-Encoding: chunked'

function chunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`
}

describe('a refused request on a kept connection', () => {
  const SIZES = [0, 1, 4_000, 30_000, 100_000]
  const FRAMINGS = ['length', 'chunks'] as const
  const MOMENTS = ['with the head', 'after the refusal'] as const
  const table = SIZES.flatMap(size =>
    FRAMINGS.flatMap(framing => MOMENTS.map(moment => ({ size, framing, moment }))),
  )

  it.each(table)(
    'is answered at once and the next as itself: $size bytes by $framing, sent $moment',
    async ({ size, framing, moment }) => {
      const connection = new Connection()
      const start = head('/refused', framing === 'length' ? lengthOf(size) : CHUNKED)
      const chunks = size === 0 ? '0\r\n\r\n' : `${chunk(size)}0\r\n\r\n`
      const body = framing === 'length' ? 'x'.repeat(size) : chunks
      const next = head('/accepted', lengthOf(5)) + 'hello'
      if (moment === 'with the head') connection.send(start + body)
      else connection.send(start)
      await connection.untilAnswers(1)
      if (moment === 'after the refusal') connection.send(body)
      connection.send(next)
      const isClosed = await Promise.race([connection.ended, connection.untilAnswers(2)])
      const answers = isClosed === undefined ? ['503', '200'] : ['503']
      expect(connection.statuses).toEqual(answers)
      if (isClosed === undefined) expect(connection.text).toContain('read 5')
      else expect(connection.text).toContain('connection: close')
    },
  )
})

describe('a refusal', () => {
  it('comes in the place of 100 Continue', async () => {
    const connection = new Connection()
    connection.send(head('/refused', lengthOf(1_000), 'Expect: 100-continue'))
    await connection.untilAnswers(1)
    expect(connection.statuses).toEqual(['503'])
    expect(connection.text).toContain('connection: close')
    expect(discardedBytes).toBe(0)
  })

  it('leaves 100 Continue to those whose body is read', async () => {
    const connection = new Connection()
    connection.send(head('/accepted', lengthOf(5), 'Expect: 100-continue'))
    await connection.untilAnswers(1)
    connection.send('hello')
    await connection.untilAnswers(2)
    expect(connection.statuses).toEqual(['100', '200'])
  })

  it.each([
    ['refused before it', '/refused', lengthOf(200_000_000)],
    ['refused as too large', '/accepted', lengthOf(200_000_000)],
    ['without an end', '/refused', CHUNKED],
    ['without an end, as too large', '/accepted', CHUNKED],
  ])('is not lost, and little is read of a body: %s', async (_, path, field) => {
    const connection = new Connection()
    connection.send(head(path, field))
    const part = field === CHUNKED ? chunk(50_000) : 'x'.repeat(50_000)
    const sending = setInterval(() => connection.send(part), 10)
    await connection.ended
    clearInterval(sending)
    expect(connection.statuses).toEqual(['503'])
    expect(connection.text.endsWith('no')).toBe(true)
    expect(discardedBytes).toBeLessThan(BUFFERED_BYTES)
  })

  it('cuts no earlier answer of its connection off', async () => {
    const connection = new Connection()
    connection.send(`GET /slow HTTP/1.1\r\nHost: a\r\n\r\n${head('/refused', CHUNKED)}`)
    const sending = setInterval(() => connection.send(chunk(1_000)), 100)
    await connection.ended
    clearInterval(sending)
    expect(connection.statuses).toEqual(['200', '503'])
    expect(connection.text).toContain('read 0')
    expect(connection.text.endsWith('no')).toBe(true)
  })

  it('ends a connection whose body comes a byte at a time', async () => {
    const connection = new Connection()
    connection.send(head('/refused', lengthOf(3_000)))
    const sending = setInterval(() => connection.send('x'), 100)
    const milliseconds = await connection.ended
    clearInterval(sending)
    expect(connection.statuses).toEqual(['503'])
    expect(milliseconds).toBeLessThan(5_000)
  })

  it('holds as many connections as the link covers, and closes the others', async () => {
    // The clock stands still, because otherwise every 86 ms of arrival time would cover one more
    // body.
    clock.heldAt = clock.monotonic()
    const connections = Array.from({ length: 80 }, () => new Connection())
    for (const connection of connections) {
      connection.send(head('/refused', lengthOf(30_000)) + 'x'.repeat(30_000))
    }
    await Promise.all(connections.map(connection => connection.untilAnswers(1)))
    const closed = connections.filter(({ text }) => text.includes('connection: close'))
    expect(outcomes.filter(outcome => outcome === 'closed')).toHaveLength(closed.length)
    // A budget of 350,000 bytes per second covers 35 bodies in three seconds.
    expect(closed).toHaveLength(45)
    await Promise.all(closed.map(({ ended }) => ended))
  })
})
