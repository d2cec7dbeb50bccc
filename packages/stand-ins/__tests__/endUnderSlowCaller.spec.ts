import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { ConfiguredFleet, SocketEndpoint, TEAM_KEY, callOverSocket } from '@rackwalk/stand-ins'

/**
 * Guards against a crash of the instance: an answer that ended with its connection while its caller wasn't reading
 * raised an assertion.
 */

const PIECE = 'x'.repeat(60_000)
const PIECE_MILLISECONDS = 10
/** The connection ends well after the last bytes, when the instance has read all of them. */
const END_MILLISECONDS = 300
const PAUSE_MILLISECONDS = 5_000
/** Some of these sizes fill all buffers up to the caller exactly, so that no bytes remain at the endpoint. */
const SIZES = Array.from({ length: 130 }, (_, index) => index + 5)

let fleet: ConfiguredFleet
let endpoint: SocketEndpoint

async function answerPieces(socket: Socket, path: string): Promise<void> {
  socket.write('HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n')
  for (let sent = 0; sent < Number(path.slice(1)); sent += 1) {
    socket.write(PIECE)
    await sleep(PIECE_MILLISECONDS)
  }
  await sleep(END_MILLISECONDS)
  socket.end()
}

beforeAll(async () => {
  endpoint = new SocketEndpoint((socket, { path }) => void answerPieces(socket, path))
  const address = `http://127.0.0.1:${await endpoint.listen()}`
  fleet = await new ConfiguredFleet({ instances: 1 }).start()
  const spec = { kind: 'service', service: 'pieces', address }
  await fleet.apply([{ kind: 'endpoints', metadata: { name: 'pieces' }, spec }])
})

afterAll(async () => {
  await fleet.stop()
  endpoint.stop()
})

async function read(size: number) {
  const { status, body, ending } = await callOverSocket({
    address: fleet.callers(),
    method: 'GET',
    path: `/services/pieces/${size}`,
    headers: { authorization: `Bearer ${TEAM_KEY}` },
    pauseMilliseconds: PAUSE_MILLISECONDS,
  })
  return { size, status, missing: size * PIECE.length - body.length, ending }
}

describe('an answer that ends with its connection while its caller reads nothing', () => {
  it('arrives whole, however full the buffers are at that time', async () => {
    const replies = await Promise.all(SIZES.map(read))
    const broken = replies.filter(
      ({ status, missing, ending }) => status !== 200 || missing !== 0 || ending !== 'closed',
    )
    expect(broken).toEqual([])
  }, 60_000)
})
