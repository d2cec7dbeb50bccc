import type { Socket } from 'node:net'
import { request } from 'undici'
import { afterEach, describe, expect, it } from 'vitest'
import { ConfiguredFleet, SocketEndpoint, TEAM_KEY, callOverSocket } from '@rackwalk/stand-ins'
import type { SocketAnswer, SocketCall } from '@rackwalk/stand-ins'

/** What is held of an answer until it is whole, and what becomes of one that breaks off. */

const DOCUMENT = JSON.stringify({ result: 'whole' })
const LARGE = `{"result":"${'x'.repeat(3 * 1024 * 1024)}"}`
const LENGTH_HEAD = head(`content-length: ${DOCUMENT.length}`)
const CHUNKS_HEAD = head('transfer-encoding: chunked')
/** More than the buffers between an endpoint and a caller that reads nothing take in. */
const LONG = 'x'.repeat(24 * 1024 * 1024)
const PAUSE_MILLISECONDS = 1_500
const REQUESTS = 8
/** After this time an answer that may be read while it arrives is held no more. */
const PAST_HOLD_MILLISECONDS = 1_500
const TRICKLE_MILLISECONDS = 3_000
/** Within this time all that was written has arrived. */
const ARRIVAL_MILLISECONDS = 300

let fleet: ConfiguredFleet | undefined
let endpoints: readonly SocketEndpoint[] = []

function head(framing: string, type = 'application/json'): string {
  return `HTTP/1.1 200 OK\r\ncontent-type: ${type}\r\n${framing}\r\n\r\n`
}

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

/** A service at two endpoints that answer alike. */
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

/** Breaks off the first answer to each path, and gives the others whole. */
function breakFirst(): SocketAnswer {
  const seen = new Set<string>()
  return (socket, { path }) => {
    if (seen.has(path)) return void socket.write(LENGTH_HEAD + DOCUMENT)
    seen.add(path)
    socket.write(LENGTH_HEAD + DOCUMENT.slice(0, 5), () => socket.resetAndDestroy())
  }
}

describe('an answer that breaks off', () => {
  it('is asked for again where the request may be repeated', async () => {
    await start(breakFirst())
    const replies = []
    for (let number = 0; number < REQUESTS; number += 1) replies.push(await call(`/${number}`))
    for (const { status, body, ending } of replies) {
      expect({ status, body, ending }).toEqual({ status: 200, body: DOCUMENT, ending: 'length' })
    }
    expect(endpoints.flatMap(({ receivedRequests: taken }) => taken)).toHaveLength(2 * REQUESTS)
  })

  it('is never asked for again where the request may run once', async () => {
    await start(breakFirst())
    const { status, body } = await call('/once', { method: 'POST', body: '{}' })
    const { error } = JSON.parse(body) as { error: { execution: string; repeatable: boolean } }
    expect({ status, error }).toMatchObject({
      status: 409,
      error: { execution: 'unknown', repeatable: false },
    })
    expect(endpoints.flatMap(({ receivedRequests: taken }) => taken)).toHaveLength(1)
  })

  it('is an error in place of it where nothing of it was passed on, however late it breaks', async () => {
    await start(socket => {
      socket.write(head('transfer-encoding: chunked', 'text/plain') + chunk('first\n'))
      setTimeout(() => socket.resetAndDestroy(), PAST_HOLD_MILLISECONDS)
    })
    const { status, body, ending } = await call('/late')
    expect({ status, ending }).toEqual({ status: 502, ending: 'length' })
    expect(JSON.parse(body)).toMatchObject({ error: { code: 4008, execution: 'ran' } })
  })

  it('is cut where it is too large to be held', async () => {
    await start(socket => {
      socket.write(CHUNKS_HEAD + chunk(LARGE))
      setTimeout(() => socket.resetAndDestroy(), ARRIVAL_MILLISECONDS)
    })
    const { status, ending } = await call('/large')
    expect({ status, ending }).toEqual({ status: 200, ending: 'cut' })
  })
})

describe('an answer that is whole', () => {
  it('arrives whole where it is too large to be held', async () => {
    await start(socket => void socket.write(`${CHUNKS_HEAD}${chunk(LARGE)}0\r\n\r\n`))
    const { status, body, ending } = await call('/large')
    expect({ status, ending, isSame: body === LARGE }).toEqual({
      status: 200,
      ending: 'last chunk',
      isSame: true,
    })
  })

  it('has no body where its request asks for none', async () => {
    await start(socket => void socket.write(LENGTH_HEAD))
    const { status, body, headers } = await call('/head', { method: 'HEAD' })
    expect({ status, body, length: headers.get('content-length') }).toEqual({
      status: 200,
      body: '',
      length: undefined,
    })
  })

  it('is not held for long where it may be read while it arrives', async () => {
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
    // The newest chunk is kept back until another one comes.
    socket.write(chunk('second\n'))
    setTimeout(() => finish(socket), TRICKLE_MILLISECONDS)
  })
  return { callers: started.callers() }
}
