import { createServer } from 'node:http'
import type { ServerOptions } from 'node:http'
import { connect, createServer as createNetServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { SystemClock, sleep } from '@rackwalk/shared'
import { PausableListener } from '@rackwalk/daemon'

const clock = new SystemClock()
const cleanups: (() => void)[] = []

afterEach(() => {
  for (const cleanup of cleanups.splice(0)) cleanup()
})

async function openListener(options: ServerOptions = {}) {
  const addressErrors: unknown[] = []
  const server = createServer(options, (_, response) => response.end('served'))
  const listener = new PausableListener(server, '127.0.0.1:0', clock, error =>
    addressErrors.push(error),
  )
  cleanups.push(() => {
    server.closeAllConnections()
    listener.close()
  })
  await listener.open()
  return { listener, server, addressErrors, port: (server.address() as AddressInfo).port }
}

/** Resolves with an established connection, or with the error code of a failed one. */
function connectTo(port: number): Promise<Socket | string> {
  return new Promise(resolve => {
    const socket = connect({ host: '127.0.0.1', port })
    cleanups.push(() => socket.destroy())
    socket.on('connect', () => resolve(socket))
    socket.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? error.message))
  })
}

/** Resolves with the body of an answer on a connection, or with how the connection ended. */
function ask(socket: Socket | string): Promise<string> {
  if (typeof socket === 'string') return Promise.resolve(socket)
  return new Promise(resolve => {
    socket.once('data', bytes => resolve(bytes.toString().split('\r\n\r\n')[1] ?? ''))
    socket.once('close', () => resolve('closed'))
    socket.write('GET / HTTP/1.1\r\nhost: any\r\n\r\n')
  })
}

describe('a listener that pauses', () => {
  it('refuses new connections while it is paused, and serves on those it has', async () => {
    const { listener, port } = await openListener()
    const idle = await connectTo(port)
    expect(await ask(idle)).toBe('served')
    listener.pause()
    expect([await connectTo(port), listener.isListening]).toEqual(['ECONNREFUSED', false])
    expect(await ask(idle)).toBe('served')
    await listener.resume()
    expect([await ask(await connectTo(port)), await ask(idle)]).toEqual(['served', 'served'])
  })

  it('bounds the time that a header takes after a pause, and during one', async () => {
    const limits = { headersTimeout: 50, requestTimeout: 0, connectionsCheckingInterval: 20 }
    const { listener, port } = await openListener(limits)
    const [first, second] = [await connectTo(port), await connectTo(port)]
    const endOf = (socket: Socket | string) =>
      new Promise(
        resolve => typeof socket !== 'string' && socket.on('close', () => resolve('ended')),
      )
    const send = (socket: Socket | string) =>
      typeof socket !== 'string' && socket.resume().write('GET / HTTP/1.1\r\n')
    const closed = [endOf(first), endOf(second)]
    send(first)
    listener.pause()
    expect(await closed[0]).toBe('ended')
    await listener.resume()
    send(second)
    expect(await closed[1]).toBe('ended')
  })

  it('stays closed when it is closed during a pause', async () => {
    const { listener, port } = await openListener()
    listener.pause()
    listener.close()
    await listener.resume()
    expect(await connectTo(port)).toBe('ECONNREFUSED')
  })

  it('stays closed when it is closed while it begins to listen again', async () => {
    const { listener, port } = await openListener()
    listener.pause()
    void listener.resume()
    listener.close()
    await sleep(clock, 50)
    expect(await connectTo(port)).toBe('ECONNREFUSED')
  })

  it('waits for its address if another process took it meanwhile, and reports that once', async () => {
    const { listener, port, addressErrors } = await openListener()
    listener.pause()
    const occupier = createNetServer()
    await new Promise<void>(resolve => occupier.listen(port, '127.0.0.1', resolve))
    const resumed = listener.resume()
    await sleep(clock, 350)
    occupier.close()
    await resumed
    expect([await ask(await connectTo(port)), addressErrors.length]).toEqual(['served', 1])
    expect(listener.isAddressTaken).toBe(false)
  })
})
