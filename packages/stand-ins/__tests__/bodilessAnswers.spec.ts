import type { Socket } from 'node:net'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { ConfiguredFleet, SocketEndpoint, TEAM_KEY, callOverSocket } from '@rackwalk/stand-ins'

/** Guards against answers without a body that are lost since their head declares one. */

const SERVICE = 'bodiless'
const DEADLINE_MILLISECONDS = 2_000
const LENGTH = 'content-length: 12\r\n'
const CHUNKED = 'transfer-encoding: chunked\r\n'
const OTHER = 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother'

/** Status, framing fields of the head, and what the endpoint sends after it. */
const ANSWERS: Readonly<Record<string, readonly [status: string, headers: string, rest: string]>> =
  {
    'a 204': ['204', '', ''],
    'a 204 with the length 0': ['204', 'content-length: 0\r\n', ''],
    'a 204 that declares a length': ['204', LENGTH, ''],
    'a 204 that declares a length, with a part of the body': ['204', LENGTH, 'half a'],
    'a 204 that declares a length, with the body': ['204', LENGTH, 'a whole body'],
    'a 204 that declares a length, with another answer': ['204', LENGTH, OTHER],
    'a 204 that declares chunks': ['204', CHUNKED, ''],
    'a 204 that declares chunks, with the body': ['204', CHUNKED, '4\r\nbody\r\n0\r\n\r\n'],
    'a 304 with the length of what it stands for': ['304', LENGTH, ''],
    'a 304 with a length and bytes behind it': ['304', LENGTH, 'a whole body'],
    'an answer to HEAD': ['200', LENGTH, ''],
    'an answer to HEAD with bytes behind it': ['200', LENGTH, 'a whole body'],
  }

let fleet: ConfiguredFleet
let endpoint: SocketEndpoint
let answer: (socket: Socket) => void

beforeAll(async () => {
  fleet = await new ConfiguredFleet({ instances: 1 }).start()
  endpoint = new SocketEndpoint((socket, { path }) => {
    if (path.includes('bodiless')) return answer(socket)
    const body = path.split('/').at(-1) ?? ''
    socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
  })
  const address = `http://127.0.0.1:${await endpoint.listen()}`
  const spec = { kind: 'service', service: SERVICE, address }
  await fleet.apply([{ kind: 'endpoints', metadata: { name: SERVICE }, spec }])
})

afterAll(async () => {
  await fleet.stop()
  endpoint.stop()
})

function ask(path: string, method = 'GET') {
  const headers = {
    authorization: `Bearer ${TEAM_KEY}`,
    'rackwalk-deadline-ms': String(DEADLINE_MILLISECONDS),
    'rackwalk-repeatable': 'no',
  }
  return callOverSocket({
    address: fleet.callers(),
    method,
    path: `/services/${SERVICE}/${path}`,
    headers,
  })
}

describe.each(Object.keys(ANSWERS))('%s', name => {
  it.each(['open', 'closed'])('is answered by its head (connection %s)', async connection => {
    const [status = '', headers = '', rest = ''] = ANSWERS[name] ?? []
    answer = socket => {
      socket.write(`HTTP/1.1 ${status} Bodiless\r\n${headers}\r\n${rest}`)
      if (connection === 'closed') socket.end()
    }
    const reply = await ask('bodiless', name.includes('HEAD') ? 'HEAD' : 'GET')
    expect(reply).toMatchObject({ status: Number(status), body: '' })
    expect(['cut', 'reset', 'no answer']).not.toContain(reply.ending)
    expect([...reply.headers.keys()]).not.toContain('transfer-encoding')
    if (status === '204') expect(reply.headers.get('content-length')).toBeUndefined()
    expect(await ask('next')).toMatchObject({ status: 200, body: 'next' })
  })
})
