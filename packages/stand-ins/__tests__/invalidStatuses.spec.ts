import type { Socket } from 'node:net'
import { afterAll, beforeAll, expect, it } from 'vitest'
import { ResultCode } from '@rackwalk/shared'
import {
  ConfiguredFleet,
  MODEL,
  SocketEndpoint,
  TEAM_KEY,
  callOverSocket,
} from '@rackwalk/stand-ins'

/**
 * Guards against statuses that no final answer may have: Node.js refuses to send some of them, and the fault ended the
 * process of the gateway kind with all its requests; others reached callers as their answer, without the body.
 */

const DEADLINE_MILLISECONDS = 2_000
const STATUSES = ['000', '042', '100', '101', '102', '103', '199', '600', '999'] as const
const CALLS = ['chat', 'stream', 'service'] as const
type Call = (typeof CALLS)[number]

/** Writes an answer, or a part of one. */
interface Row {
  readonly name: string
  readonly call: Call
  readonly write: (socket: Socket) => void
}

/** A head that the head of the final answer follows. */
const INTERIM_HEAD = 'HTTP/1.1 103 Early Hints\r\nlink: </style.css>\r\n\r\n'

const INVALID = CALLS.flatMap(call =>
  STATUSES.map(status => ({
    name: `${call}-${status}`,
    call,
    status,
    write: (socket: Socket) => void socket.write(answerWith(status)),
  })),
)
const INTERIM = CALLS.map(call => ({
  name: `${call}-interim`,
  call,
  write: (socket: Socket) => void socket.write(INTERIM_HEAD + answerWith('200')),
}))
const INTERRUPTED = CALLS.map(call => ({
  name: `${call}-interrupted`,
  call,
  write: (socket: Socket) => void socket.end(INTERIM_HEAD),
}))
const ROWS: readonly Row[] = [...INVALID, ...INTERIM, ...INTERRUPTED]

let fleet: ConfiguredFleet
let endpoints: readonly SocketEndpoint[]

beforeAll(async () => {
  fleet = await new ConfiguredFleet({ instances: 1 }).start()
  endpoints = ROWS.map(({ write }) => new SocketEndpoint(write))
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
})

function answerWith(status: string): string {
  const head = `HTTP/1.1 ${status} Spoiled\r\ncontent-type: application/json\r\n`
  return `${head}content-length: 2\r\n\r\n{}`
}

afterAll(async () => {
  await fleet.stop()
  for (const endpoint of endpoints) endpoint.stop()
})

function ask(model: string, call: Call) {
  const address = fleet.callers()
  const headers = {
    authorization: `Bearer ${TEAM_KEY}`,
    'rackwalk-deadline-ms': String(DEADLINE_MILLISECONDS),
  }
  if (call === 'service')
    return callOverSocket({ address, method: 'GET', path: `/services/${model}/x`, headers })
  const messages = [{ role: 'user', content: model }]
  const body = JSON.stringify({ model, stream: call === 'stream', messages, max_tokens: 4 })
  return callOverSocket({ address, method: 'POST', path: '/v1/chat/completions', headers, body })
}

it.each(INVALID)(
  'an answer to a $call with the status $status ends only its own request',
  async row => {
    const reply = await ask(row.name, row.call)
    expect(reply.status).toBe(502)
    expect(await ask(MODEL, 'chat')).toMatchObject({ status: 200, ending: 'length' })
  },
)

it.each(INTERIM)('an interim head before the answer to a $call is not the answer', async row => {
  expect(await ask(row.name, row.call)).toMatchObject({ status: 200, body: '{}' })
})

// An endpoint that has sent an interim head only has not begun to answer.
it.each(INTERRUPTED)(
  'an interim head alone does not count as the begin of the answer to a $call',
  async row => {
    const reply = await ask(row.name, row.call)
    expect(reply.body).toContain(`"code":${ResultCode.EndpointFailed}`)
  },
)
