import { createRequire } from 'node:module'
import { createServer, request } from 'node:http'
import { Socket } from 'node:net'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it, vi } from 'vitest'
import { GrpcPeerChannel } from '@rackwalk/daemon'
import { EndpointAgent, EndpointClient } from '@rackwalk/router'
import { SystemClock } from '@rackwalk/shared'

/**
 * Guards the rules by which a connection is given up: a `TCP_USER_TIMEOUT` would override keep-alive probes and our
 * own timers, and some libraries set one by themselves.
 */

const TCP_LEVEL = 6
const TCP_USER_TIMEOUT = 18
const NOT_SET = 0

interface Koffi {
  readonly load: (path: null) => {
    readonly func: (declaration: string) => (...values: unknown[]) => number
  }
}

function userTimeoutOf(socket: Socket): number {
  const koffi = createRequire(import.meta.url)('koffi') as Koffi
  const declaration = 'int getsockopt(int, int, int, _Out_ int *, _Inout_ int *)'
  const read = koffi.load(null).func(declaration)
  const { fd } = (socket as unknown as { _handle: { fd: number } })._handle
  const value = [-1]
  expect(read(fd, TCP_LEVEL, TCP_USER_TIMEOUT, value, [Int32Array.BYTES_PER_ELEMENT])).toBe(0)
  return value[0] ?? Number.NaN
}

/** Collects the sockets that connect from now on, whether or not the connection is established. */
function watchSockets(): readonly Socket[] {
  const sockets: Socket[] = []
  const original = Socket.prototype.connect
  vi.spyOn(Socket.prototype, 'connect').mockImplementation(function (
    this: Socket,
    ...options: unknown[]
  ) {
    sockets.push(this)
    return Reflect.apply(original, this, options) as Socket
  })
  return sockets
}

const server = createServer((_, response) => response.end('{}'))

async function listen(): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

afterEach(() => {
  vi.restoreAllMocks()
  server.closeAllConnections()
  server.close()
})

const CONNECTIONS: Readonly<Record<string, (address: string) => Promise<unknown>>> = {
  'an endpoint of the gateway kind, another instance, the store': address =>
    new Promise(resolve => {
      const [host = '', port] = address.split(':')
      const agent = new EndpointAgent(1)
      request({ host, port, agent }, response => response.on('end', resolve).resume()).end()
    }),
  'an endpoint of the OpenAI-style kind': address =>
    new EndpointClient(new SystemClock(), 1_000).fetchJson(`http://${address}`, '/', 1_000),
  'a peer of the OpenAI-style kind': address =>
    new GrpcPeerChannel(
      () => address,
      300,
      undefined,
      () => {},
    )
      .callAddress(address, 'members', { group: 'any' })
      .catch(() => {}),
}

describe('a connection', () => {
  it.each(Object.entries(CONNECTIONS))('to %s has no TCP_USER_TIMEOUT', async (_, connect) => {
    const address = await listen()
    const sockets = watchSockets()
    const timeouts: number[] = []
    const sampler = setInterval(() => {
      for (const socket of sockets) {
        if (!socket.destroyed && !socket.connecting) timeouts.push(userTimeoutOf(socket))
      }
    }, 1)
    await connect(address)
    clearInterval(sampler)
    for (const socket of sockets) if (!socket.destroyed) timeouts.push(userTimeoutOf(socket))
    expect(timeouts.length).toBeGreaterThan(0)
    expect(new Set(timeouts)).toEqual(new Set([NOT_SET]))
  })
})
