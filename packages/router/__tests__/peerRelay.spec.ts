import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, beforeEach, expect, it } from 'vitest'
import { EndpointAgent, PeerRelay } from '@rackwalk/router'
import type { RelayPeer } from '@rackwalk/router'
import { RESULT_TABLE, ResultCode, SystemClock } from '@rackwalk/shared'
import type { Clock, RackwalkError } from '@rackwalk/shared'

/**
 * Guards against relays that go on after the deadline because a suspended machine's timer stands still, and against a
 * caller that left before anything was sent and is recorded as if the request may have run.
 */

const DEADLINE_MILLISECONDS = 4_000
const SUSPENDED_MILLISECONDS = 10_000

/** The clock of a machine whose suspension its timers do not count. */
class SuspendableClock extends SystemClock implements Clock {
  suspension = 0

  override sinceStart(): number {
    return super.sinceStart() + this.suspension
  }
}

let clock: SuspendableClock
let servers: Server[]
let reached: number[]
let peers: RelayPeer[]
let onRequest: (socket: Socket) => void
/** Whether the answers of the other instances are signed by an endpoint. */
let isSigned: boolean

beforeEach(async () => {
  clock = new SuspendableClock()
  reached = [0, 0]
  onRequest = socket => socket.resetAndDestroy()
  isSigned = true
  servers = reached.map((_, index) =>
    createServer(socket => {
      socket.on('error', () => {})
      socket.on('data', () => {
        reached[index] = (reached[index] ?? 0) + 1
        onRequest(socket)
      })
    }),
  )
  peers = []
  for (const [index, server] of servers.entries()) {
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    peers.push({
      instance: `peer-${index}`,
      address: `127.0.0.1:${port}`,
      agent: new EndpointAgent(4),
    })
  }
})

afterEach(() => {
  for (const { agent } of peers) agent.destroy()
  for (const server of servers) server.close()
})

/** Relays one request that may be repeated. Returns its record and the error that its caller was told. */
async function relay(isCallerGone: () => boolean) {
  const record: { code?: ResultCode; execution?: string; relays: unknown[]; receivedAt: number } = {
    relays: [],
    receivedAt: clock.sinceStart(),
  }
  const told: RackwalkError[] = []
  const reply = {
    isStarted: false,
    get isCallerGone() {
      return isCallerGone()
    },
    onLeave: () => {},
    refuse: (error: RackwalkError) => void told.push(error),
    start: () => {},
    end: () => {},
    abort: () => {},
  }
  const parts = {
    dialect: {
      relayHeaders: () => ['Host', 'app.example'],
      readReply: () => ({ requestId: 'request-1', isSigned }),
    },
    clock,
    relayPeers: {
      choose: (_service: string, asked: ReadonlySet<string>) =>
        peers.find(({ instance }) => !asked.has(instance)),
    },
    instance: 'instance-1',
    connectMilliseconds: 500,
  }
  const request = {
    metadata: { requestId: 'request-1' },
    route: { isIdempotent: true, isStreaming: false, isResumable: false },
    service: 'models',
    method: 'GET',
    path: '/again/work',
    rawHeaders: [],
    body: Buffer.alloc(0),
    deadlineAt: clock.sinceStart() + DEADLINE_MILLISECONDS,
    reply,
    record,
  }
  const isDone = await new PeerRelay(parts as never, request as never).run()
  return { isDone, record, told }
}

it('does not relay to another instance if the deadline passed during a suspension', async () => {
  onRequest = socket => {
    clock.suspension = SUSPENDED_MILLISECONDS
    socket.resetAndDestroy()
  }
  const { isDone, record } = await relay(() => false)
  expect(isDone).toBe(true)
  expect(reached[0]).toBe(1)
  expect(reached[1]).toBe(0)
  expect(record.code).toBe(ResultCode.DeadlinePassed)
})

// A version that runs beside this one in a rolling restart may pass on such an answer of an endpoint.
it('does not pass on an answer of another instance without a final status', async () => {
  onRequest = socket => socket.write('HTTP/1.1 101 Switching Protocols\r\n\r\n')
  const { record } = await relay(() => false)
  expect(reached).toEqual([1, 1])
  expect(record.code).toBe(ResultCode.EndpointFailed)
})

// An instance always tells the length of an answer or sends it in chunks, so its end proves nothing here.
it.each([
  ['without a length', 'HTTP/1.1 200 OK\r\n\r\nhalf'],
  ['whose head ends in CR LF LF', 'HTTP/1.1 200 OK\r\n\nhalf'],
])('does not pass on an answer of another instance %s', async (_, answer) => {
  onRequest = socket => socket.end(answer)
  const { record } = await relay(() => false)
  expect(reached).toEqual([1, 1])
  expect(record.code).toBe(ResultCode.EndpointFailed)
})

// The other instance has another version of the configuration.
it.each([400, 401, 403, 404, 413, 431])(
  'does not pass on that another instance denies what the configuration here allows: %i',
  async status => {
    isSigned = false
    onRequest = socket => socket.write(`HTTP/1.1 ${status} Denied\r\ncontent-length: 0\r\n\r\n`)
    const { isDone } = await relay(() => false)
    expect({ reached, isDone }).toEqual({ reached: [1, 1], isDone: false })
  },
)

it('relays to another instance while there is time', async () => {
  await relay(() => false)
  expect(reached).toEqual([1, 1])
})

it('records a caller that left before anything was sent as not run', async () => {
  const { isDone, record } = await relay(() => true)
  expect(isDone).toBe(true)
  expect(reached).toEqual([0, 0])
  expect(record.code).toBe(ResultCode.CallerLeftUnsent)
  expect(RESULT_TABLE[record.code as ResultCode].execution).toBe('not-run')
  expect(record.execution).toBe('not-run')
})

it('records a caller that left after the request was sent as unknown', async () => {
  let isGone = false
  onRequest = socket => {
    isGone = true
    socket.resetAndDestroy()
  }
  const { record } = await relay(() => isGone)
  expect(reached).toEqual([1, 0])
  expect(record.code).toBe(ResultCode.CallerLeft)
})
