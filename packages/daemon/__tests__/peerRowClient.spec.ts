import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { SystemRandom } from '@rackwalk/shared'
import { PeerRowClient } from '@rackwalk/daemon'

const TABLE = 'rows'
const PAGE = { rows: [], isWhole: false, version: 7, age: 1 }

const stops: (() => void)[] = []
afterEach(() => {
  for (const stop of stops.splice(0)) stop()
})

/** Starts a peer that answers every call; `onCall` gets the number of the call and its connection. */
async function setUp(onCall: (call: number, socket: Socket) => boolean = () => true) {
  let connections = 0
  let calls = 0
  const server: Server = createServer((request, response) => {
    calls += 1
    if (onCall(calls, request.socket)) response.writeHead(200).end(JSON.stringify(PAGE))
  })
  server.on('connection', () => (connections += 1))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const client = new PeerRowClient({
    own: undefined,
    seeds: [address],
    knownAddresses: () => [],
    nearAddresses: () => [address],
    random: new SystemRandom(),
    timeoutMilliseconds: 5_000,
    onMalformed: ({ form }) => expect.unreachable(form),
  })
  stops.push(() => {
    client.close()
    server.closeAllConnections()
    server.close()
  })
  return { client, server, connections: () => connections, calls: () => calls }
}

describe('queries of an instance on standby', () => {
  it('use one connection to an instance that answers', async () => {
    // Guards against a new connection for each of the two queries a second, which both instances pay for.
    const { client, connections, calls } = await setUp()
    for (let query = 0; query < 3; query += 1) {
      expect(await client.askNear(TABLE, 0)).toEqual(PAGE)
    }
    expect([calls(), connections()]).toEqual([3, 1])
  })

  it('are answered although the peer closes the kept connection', async () => {
    // Guards against a call to the store, and two seconds without the peer, for each connection closed while idle.
    const { client, connections } = await setUp((call, socket) => {
      if (call === 2) socket.resetAndDestroy()
      return call !== 2
    })
    expect(await client.askNear(TABLE, 0)).toEqual(PAGE)
    expect(await client.askNear(TABLE, 0)).toEqual(PAGE)
    expect(connections()).toBe(2)
  })

  it('are sent again only once', async () => {
    const { client, calls } = await setUp((call, socket) => {
      if (call > 1) socket.resetAndDestroy()
      return call === 1
    })
    expect(await client.askNear(TABLE, 0)).toEqual(PAGE)
    expect(await client.askNear(TABLE, 0)).toBeUndefined()
    expect(calls()).toBe(3)
  })

  it('use new connections while the store is silent', async () => {
    // Guards against a kept connection whose path was lost together with that to the store.
    const { client, connections } = await setUp()
    expect(await client.ask(TABLE, 0)).toEqual(PAGE)
    expect(await client.ask(TABLE, 0)).toEqual(PAGE)
    expect(connections()).toBe(2)
  })
})

describe('a query to an address that no socket accepts', () => {
  // It was rejected instead of failing, which its callers do not expect.
  it.each([
    '127.0.0.1:99999',
    '127.0.0.1:0',
    '127.0.0.1:-1',
    '127.0.0.1:x',
    'nowhere',
    'a\r\nb:80',
  ])('fails: %j', async address => {
    const client = new PeerRowClient({
      own: undefined,
      seeds: [],
      knownAddresses: () => [address],
      nearAddresses: () => [address],
      random: new SystemRandom(),
      timeoutMilliseconds: 5_000,
      onMalformed: ({ form }) => expect.unreachable(form),
    })
    stops.push(() => client.close())
    expect(await client.ask(TABLE, 0)).toBeUndefined()
    expect(await client.askNear(TABLE, 0)).toBeUndefined()
  })
})
