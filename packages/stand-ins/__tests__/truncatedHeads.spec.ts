import type { Socket } from 'node:net'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { ConfiguredFleet, SocketEndpoint, TEAM_KEY, callOverSocket } from '@rackwalk/stand-ins'
import type { SocketReply } from '@rackwalk/stand-ins'

/** Guards against answers whose endpoint stopped within the head, or right behind it, that reach callers as complete ones. */

const DEADLINE_MILLISECONDS = 4_000
const TEST_MILLISECONDS = 30_000
const PARALLEL = 8

const CALLS = ['chat', 'stream', 'service'] as const
type Call = (typeof CALLS)[number]

const LINES = 'HTTP/1.1 200 OK\r\nserver: engine\r\n'
const CHUNKED = `${LINES}transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n`
const INTERIM = 'HTTP/1.1 103 Early Hints\r\nlink: </style.css>\r\n'

/** What the endpoint sends of its answer before it ends the connection. */
const PARTS: Readonly<Record<string, string>> = {
  'before the status line': '',
  'within the status line': 'HTTP/1.1 2',
  'after the status': 'HTTP/1.1 200',
  'after the status line': 'HTTP/1.1 200 OK\r\n',
  'after an interim head (100)': 'HTTP/1.1 100 Continue\r\n\r\n',
  'after an interim head (103)': `${INTERIM}\r\n`,
  'after an interim head that ends in CR LF LF': `${INTERIM}\n${LINES}\r\n`,
  'right after CR LF': LINES,
  'after CR LF CR': `${LINES}\r`,
  'after CR LF LF': `${LINES}\n`,
  'after CR LF LF, with a part of the body': `${LINES}\nhalf`,
  'after CR LF CR and another byte, with a part of the body': `${LINES}\rxhalf`,
  'after LF LF': `${LINES}x: y\n\n`,
  'after LF CR LF': `${LINES}x: y\n\r\n`,
  'within a field name': `${LINES}content-le`,
  'within a field value': `${LINES}content-length: 1`,
  'after the whole head, without a length': `${LINES}\r\n`,
  'within the body': `${LINES}content-length: 12\r\n\r\nhalf`,
  'within the size of a chunk': `${CHUNKED}1`,
  'within the last chunk': `${CHUNKED}0`,
  'within a trailer': `${CHUNKED}0\r\nx: y\r\n`,
}
type Part = keyof typeof PARTS

const ENDS: Readonly<Record<string, (socket: Socket) => void>> = {
  closed: socket => socket.end(),
  reset: socket => setTimeout(() => socket.resetAndDestroy(), 5),
}

interface Row {
  readonly name: string
  readonly call: Call
  readonly part: Part
  readonly end: string
  readonly isKept: boolean
}

const ROWS: readonly Row[] = CALLS.flatMap(call =>
  Object.keys(PARTS).flatMap(part =>
    Object.keys(ENDS).flatMap(end => [true, false].map(isKept => ({ call, part, end, isKept }))),
  ),
).map((row, index) => ({ ...row, name: `row-${index}` }))

let fleet: ConfiguredFleet
let endpoints: readonly SocketEndpoint[]

/** An endpoint that gives sound answers until a request has the mark of a truncated one. */
function endpointOf({ part, end }: Row): SocketEndpoint {
  return new SocketEndpoint((socket, { path, body }) => {
    if (!`${path}${body}`.includes('truncated')) {
      socket.write(
        'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 2\r\n\r\n{}',
      )
      return
    }
    socket.write(PARTS[part] ?? '')
    ENDS[end]?.(socket)
  })
}

beforeAll(async () => {
  fleet = await new ConfiguredFleet({ instances: 1 }).start()
  endpoints = ROWS.map(endpointOf)
  const ports = await Promise.all(endpoints.map(endpoint => endpoint.listen()))
  await fleet.apply(
    ROWS.flatMap(({ name, call }, index) => {
      const metadata = { name }
      const address = `http://127.0.0.1:${ports[index]}`
      const placement = { model: name, version: '1', replicas: 1, defaultOutputTokens: 64 }
      const isChat = call !== 'service'
      const serves = isChat ? { kind: 'model', models: [name] } : { kind: 'service', service: name }
      return [
        { kind: 'endpoints', metadata, spec: { ...serves, address } },
        ...(isChat ? [{ kind: 'placements', metadata, spec: placement }] : []),
      ]
    }),
  )
}, TEST_MILLISECONDS)

afterAll(async () => {
  await fleet.stop()
  for (const endpoint of endpoints) endpoint.stop()
})

function ask({ name, call }: Row, mark: string): Promise<SocketReply> {
  const address = fleet.callers()
  const headers = {
    authorization: `Bearer ${TEAM_KEY}`,
    'rackwalk-deadline-ms': String(DEADLINE_MILLISECONDS),
  }
  if (call === 'service')
    return callOverSocket({ address, method: 'GET', path: `/services/${name}/${mark}`, headers })
  const messages = [{ role: 'user', content: mark }]
  const body = JSON.stringify({ model: name, stream: call === 'stream', messages, max_tokens: 4 })
  return callOverSocket({ address, method: 'POST', path: '/v1/chat/completions', headers, body })
}

/** Whether the reply tells its caller that the answer is missing or incomplete. */
function isHonest({ status, body, ending }: SocketReply): boolean {
  const isInterrupted = ['cut', 'reset'].includes(ending) || body.includes('"error":{"code":4008')
  return status === 502 || (status === 200 && isInterrupted)
}

async function faultOf(row: Row): Promise<string | undefined> {
  if (row.isKept) expect(await ask(row, 'sound')).toMatchObject({ status: 200, body: '{}' })
  const reply = await ask(row, 'truncated')
  if (isHonest(reply)) return undefined
  const { part, end, isKept } = row
  return `${part}, ${end}, ${isKept ? 'kept' : 'new'}: ${reply.status} ${reply.ending}`
}

describe('an answer that ends early', () => {
  it.each(CALLS)(
    'is never passed on as complete (%s)',
    async call => {
      const faults: string[] = []
      const waiting = ROWS.filter(row => row.call === call)
      const work = async () => {
        for (let row = waiting.shift(); row !== undefined; row = waiting.shift()) {
          const fault = await faultOf(row)
          if (fault !== undefined) faults.push(fault)
        }
      }
      await Promise.all(Array.from({ length: PARALLEL }, work))
      expect(faults).toEqual([])
    },
    TEST_MILLISECONDS,
  )
})
