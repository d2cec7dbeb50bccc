import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, expect, it, vi } from 'vitest'
import { refuseMalformed } from '@rackwalk/daemon'
import type { UnparsedRefusal } from '@rackwalk/daemon'

/**
 * Guards against requests that are served although their callers were told that they arrived too slowly, and against that
 * answer to requests that arrived in time.
 */

vi.setConfig({ testTimeout: 10_000 })

const HEAD_MILLISECONDS = 200
const CHECK_MILLISECONDS = 50
const AFTERMATH_MILLISECONDS = 300

let server: Server
let caller: Socket
const served: string[] = []
const refused: UnparsedRefusal[] = []

afterEach(() => {
  caller.destroy()
  server.closeAllConnections()
  server.close()
  served.length = 0
  refused.length = 0
})

async function listen(): Promise<void> {
  server = createServer(
    { connectionsCheckingInterval: CHECK_MILLISECONDS },
    (request, response) => {
      served.push(request.url ?? '')
      response.end('served')
    },
  )
  server.requestTimeout = 0
  server.headersTimeout = HEAD_MILLISECONDS
  refuseMalformed(server, refusal => refused.push(refusal))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
}

/** Opens a connection that stays open after the server has ended its side, and collects what arrives on it. */
async function call(first: string): Promise<{ readonly text: () => string }> {
  const { port } = server.address() as AddressInfo
  let text = ''
  caller = connect({ port, host: '127.0.0.1', allowHalfOpen: true })
  caller.on('data', bytes => (text += bytes.toString()))
  caller.on('error', () => {})
  await new Promise(resolve => caller.once('connect', resolve))
  caller.write(first)
  return { text: () => text }
}

function openConnections(): Promise<number> {
  return new Promise(resolve => server.getConnections((_, count) => resolve(count)))
}

function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

async function untilRefused(): Promise<void> {
  while (refused.length === 0) await pause(5)
}

it('a request whose head is completed after the answer 408 is not served', async () => {
  await listen()
  const { text } = await call('GET /late HTTP/1.1\r\nHost: a\r\n')
  await untilRefused()
  caller.write('X: y\r\n\r\n')
  await pause(AFTERMATH_MILLISECONDS)
  expect(text()).toMatch(/^HTTP\/1.1 408 /)
  expect(served).toEqual([])
  expect(refused).toMatchObject([{ cause: 'ERR_HTTP_REQUEST_TIMEOUT' }])
})

it('a request on an idle new connection that crosses the answer 408 is not served', async () => {
  await listen()
  const { text } = await call('')
  await untilRefused()
  caller.write('GET /late HTTP/1.1\r\nHost: a\r\n\r\n')
  await pause(AFTERMATH_MILLISECONDS)
  expect(text()).toMatch(/^HTTP\/1.1 408 /)
  expect(served).toEqual([])
})

it('a connection that was answered 408 is closed although its caller leaves it open', async () => {
  await listen()
  await call('GET /late HTTP/1.1\r\nHost: a\r\n')
  await untilRefused()
  while ((await openConnections()) > 0) await pause(5)
})

it('a request that arrived in time while the process was busy is served', async () => {
  await listen()
  const { text } = await call('')
  while ((await openConnections()) === 0) await pause(5)
  caller.write('GET /in-time HTTP/1.1\r\nHost: a\r\n\r\n')
  const busyUntil = Date.now() + 2 * HEAD_MILLISECONDS
  while (Date.now() < busyUntil);
  await pause(AFTERMATH_MILLISECONDS)
  expect(text()).toMatch(/^HTTP\/1.1 200 /)
  expect(served).toEqual(['/in-time'])
  expect(refused).toEqual([])
})

it('a request is not served after the answer 408 although a hold of its connection ends', async () => {
  await listen()
  const held: Socket[] = []
  server.on('connection', socket => held.push(socket))
  await call('GET /late HTTP/1.1\r\nHost: a\r\n')
  await untilRefused()
  caller.write('X: y\r\n\r\n')
  for (const socket of held) socket.resume()
  await pause(AFTERMATH_MILLISECONDS)
  expect(served).toEqual([])
})
