import { afterAll, beforeAll, expect, it } from 'vitest'
import {
  ConfiguredFleet,
  MODEL,
  SocketEndpoint,
  TEAM_KEY,
  callOverSocket,
} from '@rackwalk/stand-ins'

/**
 * Guards against statuses that HTTP does not define: Node.js refuses to send some of them, and the fault ended the process
 * of the gateway kind with all its requests.
 */

const DEADLINE_MILLISECONDS = 2_000
const STATUSES = ['000', '042', '600', '999'] as const
const CALLS = ['chat', 'stream', 'service'] as const
type Call = (typeof CALLS)[number]

const ROWS = CALLS.flatMap(call =>
  STATUSES.map(status => ({ name: `${call}-${status}`, call, status })),
)

let fleet: ConfiguredFleet
let endpoints: readonly SocketEndpoint[]

beforeAll(async () => {
  fleet = await new ConfiguredFleet({ instances: 1 }).start()
  endpoints = ROWS.map(
    ({ status }) =>
      new SocketEndpoint(socket => {
        const head = `HTTP/1.1 ${status} Spoiled\r\ncontent-type: application/json\r\n`
        socket.write(`${head}content-length: 2\r\n\r\n{}`)
      }),
  )
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

it.each(ROWS)(
  'an answer to a $call with the status $status ends only its own request',
  async row => {
    const reply = await ask(row.name, row.call)
    expect(reply.status).toBe(502)
    expect(await ask(MODEL, 'chat')).toMatchObject({ status: 200, ending: 'length' })
  },
)
