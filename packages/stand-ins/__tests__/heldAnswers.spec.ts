import type { Socket } from 'node:net'
import { request } from 'undici'
import { afterEach, describe, expect, it } from 'vitest'
import { ConfiguredFleet, SocketEndpoint, TEAM_KEY, callOverSocket } from '@rackwalk/stand-ins'
import type { SocketAnswer, SocketCall } from '@rackwalk/stand-ins'

/** Which answers are buffered until they are whole, and the outcome of interrupted answers. */

const DOCUMENT = JSON.stringify({ result: 'whole' })
const LARGE = `{"result":"${'x'.repeat(3 * 1024 * 1024)}"}`
const LENGTH_HEAD = head(`content-length: ${DOCUMENT.length}`)
const CHUNKS_HEAD = head('transfer-encoding: chunked')
/** More bytes than fit into all buffers between an endpoint and a caller that doesn't read. */
const LONG = 'x'.repeat(24 * 1024 * 1024)
const PAUSE_MILLISECONDS = 1_500
const REQUESTS = 8
/** After this time an answer that callers may read while it arrives is no longer buffered. */
const AFTER_BUFFERING_MILLISECONDS = 1_500
const TRICKLE_MILLISECONDS = 3_000
/** Within this time all written bytes have arrived. */
const ARRIVAL_MILLISECONDS = 300

let fleet: ConfiguredFleet | undefined
let endpoints: readonly SocketEndpoint[] = []

function head(framing: string, type = 'application/json'): string {
  return `HTTP/1.1 200 OK\r\ncontent-type: ${type}\r\n${framing}\r\n\r\n`
}

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

/** Starts a fleet with a service at two endpoints that answer identically. */
async function start(answer: SocketAnswer): Promise<ConfiguredFleet> {
  endpoints = [new SocketEndpoint(answer), new SocketEndpoint(answer)]
  const ports = await Promise.all(endpoints.map(endpoint => endpoint.listen()))
  fleet = await new ConfiguredFleet({ instances: 1 }).start()
  await fleet.apply(
    ports.map((port, index) => ({
      kind: 'endpoints',
      metadata: { name: `socket-${index}` },
      spec: { kind: 'service', service: 'socket', address: `http://127.0.0.1:${port}` },
    })),
  )
  return fleet
}

afterEach(async () => {
  await fleet?.stop()
  for (const endpoint of endpoints) endpoint.stop()
})

function call(path: string, more: Partial<SocketCall> = {}) {
  const headers = { authorization: `Bearer ${TEAM_KEY}` }
  const address = fleet?.callers() ?? ''
  return callOverSocket({
    address,
    method: 'GET',
    path: `/services/socket${path}`,
    headers,
    ...more,
  })
}

/** Interrupts the first answer for each path and sends the others whole. */
function interruptFirst(): SocketAnswer {
  const seen = new Set<string>()
  return (socket, { path }) => {
    if (seen.has(path)) return void socket.write(LENGTH_HEAD + DOCUMENT)
    seen.add(path)
    socket.write(LENGTH_HEAD + DOCUMENT.slice(0, 5), () => socket.resetAndDestroy())
  }
}

describe('an interrupted answer', () => {
  it('is requested again if the request may be repeated', async () => {
    await start(interruptFirst())
    const replies = []
    for (let number = 0; number < REQUESTS; number += 1) replies.push(await call(`/${number}`))
    for (const { status, body, ending } of replies) {
      expect({ status, body, ending }).toEqual({ status: 200, body: DOCUMENT, ending: 'length' })
    }
    expect(endpoints.flatMap(({ receivedRequests }) => receivedRequests)).toHaveLength(2 * REQUESTS)
  })

  it('is never requested again if the request may run only once', async () => {
    await start(interruptFirst())
    const { status, body } = await call('/once', { method: 'POST', body: '{}' })
    const { error } = JSON.parse(body) as { error: { execution: string; repeatable: boolean } }
    expect({ status, error }).toMatchObject({
      status: 409,
      error: { execution: 'unknown', repeatable: false },
    })
    expect(endpoints.flatMap(({ receivedRequests }) => receivedRequests)).toHaveLength(1)
  })

  it('is replaced by an error if no part of it was delivered, however late the interruption', async () => {
    await start(socket => {
      socket.write(head('transfer-encoding: chunked', 'text/plain') + chunk('first\n'))
      setTimeout(() => socket.resetAndDestroy(), AFTER_BUFFERING_MILLISECONDS)
    })
    const { status, body, ending } = await call('/late')
    expect({ status, ending }).toEqual({ status: 502, ending: 'length' })
    expect(JSON.parse(body)).toMatchObject({ error: { code: 4008, execution: 'ran' } })
  })

  it('is cut if it is too large to be buffered', async () => {
    await start(socket => {
      socket.write(CHUNKS_HEAD + chunk(LARGE))
      setTimeout(() => socket.resetAndDestroy(), ARRIVAL_MILLISECONDS)
    })
    const { status, ending } = await call('/large')
    expect({ status, ending }).toEqual({ status: 200, ending: 'cut' })
  })
})

describe('an answer that is whole', () => {
  it('arrives whole if it is too large to be buffered', async () => {
    await start(socket => void socket.write(`${CHUNKS_HEAD}${chunk(LARGE)}0\r\n\r\n`))
    const { status, body, ending } = await call('/large')
    expect({ status, ending, isSame: body === LARGE }).toEqual({
      status: 200,
      ending: 'last chunk',
      isSame: true,
    })
  })

  it('has no body if the request is a HEAD request', async () => {
    await start(socket => void socket.write(LENGTH_HEAD))
    const { status, body, headers } = await call('/head', { method: 'HEAD' })
    expect({ status, body, length: headers.get('content-length') }).toEqual({
      status: 200,
      body: '',
      length: undefined,
    })
  })

  it('is not buffered for long if callers may read it while it arrives', async () => {
    const { callers } = await startTrickle()
    const begun = performance.now()
    const { body } = await request(`${callers}/services/socket/lines`, {
      headers: { authorization: `Bearer ${TEAM_KEY}` },
    })
    const arrivals: number[] = []
    let text = ''
    for await (const part of body) {
      arrivals.push(performance.now() - begun)
      text += String(part)
    }
    expect(text).toBe('first\nsecond\nlast\n')
    expect(arrivals[0]).toBeLessThan(TRICKLE_MILLISECONDS)
  })
})

describe('an answer without a length whose caller reads slowly', () => {
  it.each([
    ['is whole where its endpoint closes the connection in order', 'closed'],
    ['is cut where it resets the connection', 'reset'],
  ])('%s', async (_, expected) => {
    await start(socket => {
      socket.write(head('connection: close', 'text/plain') + LONG)
      if (expected === 'closed') socket.end()
      else setTimeout(() => socket.resetAndDestroy(), ARRIVAL_MILLISECONDS)
    })
    const { status, body, ending } = await call('/slow', { pauseMilliseconds: PAUSE_MILLISECONDS })
    expect({ status, ending }).toEqual({ status: 200, ending: expected })
    expect(body === LONG).toBe(expected === 'closed')
  })
})

async function startTrickle(): Promise<{ callers: string }> {
  const finish = (socket: Socket) => socket.write(`${chunk('last\n')}0\r\n\r\n`)
  const started = await start(socket => {
    socket.write(head('transfer-encoding: chunked', 'text/plain') + chunk('first\n'))
    // The instance keeps the newest chunk back until another one arrives.
    socket.write(chunk('second\n'))
    setTimeout(() => finish(socket), TRICKLE_MILLISECONDS)
  })
  return { callers: started.callers() }
}
