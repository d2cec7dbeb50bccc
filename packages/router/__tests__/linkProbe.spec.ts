import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { isLinkUp } from '@rackwalk/router'

/** Guards against links that count as up although nothing sent on them is answered. */

const STATE_PATH = '/state'
const sockets = new Set<Socket>()
const stops: (() => void)[] = []

/** Starts a server that treats each connection like this. Returns its address. */
async function listen(serve: (socket: Socket) => void): Promise<string> {
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    serve(socket)
  })
  stops.push(() => server.close())
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

afterEach(() => {
  for (const socket of sockets) socket.destroy()
  for (const stop of stops.splice(0)) stop()
})

describe('the link to an endpoint that reports its state', () => {
  it('is up if the endpoint answers, whatever it says', async () => {
    const answer = 'HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n'
    const address = await listen(socket => socket.on('data', () => socket.write(answer)))
    expect(await isLinkUp(address, STATE_PATH)).toBe(true)
  })

  it('is up if the endpoint closes the connection', async () => {
    const address = await listen(socket => socket.on('data', () => socket.destroy()))
    expect(await isLinkUp(address, STATE_PATH)).toBe(true)
  })

  it('is not up if the connection comes up and nothing is answered', async () => {
    const address = await listen(() => {})
    expect(await isLinkUp(address, STATE_PATH)).toBe(false)
  })

  it('is not up if nobody listens', async () => {
    const address = await listen(() => {})
    for (const stop of stops.splice(0)) stop()
    expect(await isLinkUp(address, STATE_PATH)).toBe(false)
  })
})

describe('the link to an endpoint that reports no state', () => {
  it('is up if a connection comes up', async () => {
    const address = await listen(() => {})
    expect(await isLinkUp(address, undefined)).toBe(true)
  })
})
