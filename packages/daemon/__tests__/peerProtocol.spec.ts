import { Client, Metadata, credentials, status } from '@grpc/grpc-js'
import type { ServiceError } from '@grpc/grpc-js'
import { afterEach, describe, expect, it } from 'vitest'
import type { PeerMessageKind } from '@rackwalk/coordination'
import { GrpcPeerChannel, PeerServer } from '@rackwalk/daemon'
import type { MalformedInput } from '@rackwalk/daemon'

/**
 * The wire format of messages between OpenAI-style instances: method names, the metadata with the secret, and JSON as
 * bytes. The test uses its own client rather than the product's.
 */

const SECRET = 'between-peers'
const MEMBER = {
  instanceId: 'instance-9',
  incarnation: 'instance-9-first',
  region: 'region-a',
  failureDomain: 'domain-1',
  peerAddress: '10.0.0.9:81',
  callerAddress: '10.0.0.9:80',
  operatorAddress: '10.0.0.9:82',
  state: 'serving',
  heartbeat: 3,
  inFlight: 2,
  configurationRevision: 0,
  leavingEndpoints: [],
}
const WRITER = { writer: 'instance-9-first' }
const KEY = { teamId: 'team', key: 'key', requestId: 'r-1' }

/** A request of each kind and its reply. */
const MESSAGES: readonly (readonly [PeerMessageKind, object, object])[] = [
  ['heartbeat', { sender: MEMBER, digests: [] }, { receiver: MEMBER }],
  ['members', { group: 'region-a' }, { members: [MEMBER] }],
  ['hold', { ...WRITER, items: [{ index: 1 }] }, { held: true }],
  ['releaseHeld', { ...WRITER, throughIndex: 1 }, {}],
  ['collectHeld', WRITER, { items: [{ index: 1 }] }],
  [
    'lend',
    { transferId: 't-1', budgetId: 'budget', borrower: 'instance-9-first', tokens: 5 },
    { tokens: 5 },
  ],
  ['claimState', { requestId: 'r-1' }, { state: 'done' }],
  [
    'registerKey',
    { ...KEY, incarnation: 'instance-9-first', fingerprint: 'f', repeatable: true },
    { state: 'mismatch', requestId: 'r-0' },
  ],
  ['endKey', { ...KEY, complete: true, billedTokens: 15 }, {}],
  ['commitBatch', { id: 'id-1', writes: [] }, { committed: false, conflicts: [0] }],
  ['configurationSince', { revision: 0 }, { changes: [] }],
  [
    'crashNews',
    {
      marks: [{ fingerprint: 'f', start: 'engine-1', wasIsolated: true }],
      cleared: [{ fingerprint: 'g', starts: ['engine-2'] }],
    },
    {},
  ],
  ['adviceNews', { news: [{ start: 'engine-1', requestsPerSecond: 1.3, ageMilliseconds: 5 }] }, {}],
  ['drain', {}, {}],
  ['explain', { requestId: 'r-1' }, { record: { code: 0 } }],
]

let server: PeerServer | undefined
let client: Client | undefined

afterEach(() => {
  client?.close()
  server?.stop()
})

const malformed: MalformedInput[] = []

/** Starts a server whose handlers record their requests and reply as listed. */
async function start(requests: unknown[] = []): Promise<number> {
  const handlers = MESSAGES.map(([kind, , reply]) => {
    const handler = (request: unknown) => {
      requests.push(request)
      return reply as never
    }
    return [kind, handler] as const
  })
  malformed.length = 0
  server = new PeerServer(Object.fromEntries(handlers), SECRET, form => malformed.push(form))
  const port = await server.listen('127.0.0.1:0')
  client = new Client(`127.0.0.1:${port}`, credentials.createInsecure())
  return port
}

/** Resolves with the reply's bytes as text, or with the status of the failure. */
function call(method: string, body: string, secret?: string): Promise<string> {
  const metadata = new Metadata()
  if (secret !== undefined) metadata.set('rackwalk-peer-secret', secret)
  const asIs = (bytes: Buffer) => bytes
  return new Promise(resolve => {
    const done = (error: ServiceError | null, reply?: Buffer) =>
      resolve(error === null ? String(reply) : (status[error.code] ?? 'no status'))
    client?.makeUnaryRequest(method, asIs, asIs, Buffer.from(body), metadata, {}, done)
  })
}

describe('messages between instances on the wire', () => {
  it.each(MESSAGES)('have a method for %s', async (kind, request, reply) => {
    const requests: unknown[] = []
    await start(requests)
    const answer = await call(`/rackwalk.Peers/${kind}`, JSON.stringify(request), SECRET)
    expect(JSON.parse(answer)).toEqual(reply)
    expect(requests).toEqual([request])
  })

  it.each(MESSAGES)('carry %s from client to server', async (kind, request, reply) => {
    const port = await start()
    const channel = new GrpcPeerChannel(
      () => `127.0.0.1:${port}`,
      5_000,
      SECRET,
      form => malformed.push(form),
    )
    const answer = await channel.call('peer' as never, kind, request as never)
    channel.close()
    expect(answer).toEqual(reply)
    expect(malformed).toEqual([])
  })

  it('are refused and counted if they are malformed', async () => {
    const requests: unknown[] = []
    await start(requests)
    for (const text of ['no JSON', '[]', '{"transferId":"t-1","tokens":"5"}']) {
      expect(await call('/rackwalk.Peers/lend', text, SECRET)).toBe('INVALID_ARGUMENT')
    }
    expect(requests).toEqual([])
    expect(malformed.map(({ form }) => form)).toEqual(['lend', 'lend', 'lend'])
  })

  it('are refused without the secret, and for a method that is not there', async () => {
    await start()
    expect(await call('/rackwalk.Peers/drain', '{}')).toBe('UNAUTHENTICATED')
    expect(await call('/rackwalk.Peers/drain', '{}', 'guessed')).toBe('UNAUTHENTICATED')
    expect(await call('/rackwalk.Peers/nothing', '{}', SECRET)).toBe('UNIMPLEMENTED')
  })
})
