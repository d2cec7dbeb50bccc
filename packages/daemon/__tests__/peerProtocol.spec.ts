import { Client, Metadata, credentials, status } from '@grpc/grpc-js'
import type { ServiceError } from '@grpc/grpc-js'
import { afterEach, describe, expect, it } from 'vitest'
import { PeerServer } from '@rackwalk/daemon'

/**
 * How messages between OpenAI-style instances travel: method names, the metadata that carries
 * the secret, and JSON as bytes, spoken here without the product's own client.
 */

const SECRET = 'between-peers'
const KINDS = [
  'heartbeat',
  'members',
  'hold',
  'releaseHeld',
  'collectHeld',
  'lend',
  'claimState',
  'registerKey',
  'endKey',
  'commitBatch',
  'configurationSince',
  'drain',
  'explain',
] as const

let server: PeerServer | undefined
let client: Client | undefined

afterEach(() => {
  client?.close()
  server?.stop()
})

async function start(): Promise<void> {
  const echo = (kind: string) => (request: unknown) => ({ kind, request }) as never
  const handlers = Object.fromEntries(KINDS.map(kind => [kind, echo(kind)]))
  server = new PeerServer(handlers, SECRET)
  const port = await server.listen('127.0.0.1:0')
  client = new Client(`127.0.0.1:${port}`, credentials.createInsecure())
}

/** The bytes of the reply as text, or the status of the failure. */
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
  it.each(KINDS)('has a method for %s', async kind => {
    await start()
    const reply = await call(`/rackwalk.Peers/${kind}`, '{"field":1}', SECRET)
    expect(reply).toBe(`{"kind":"${kind}","request":{"field":1}}`)
  })

  it('is refused without the secret, and for a method that is not there', async () => {
    await start()
    expect(await call('/rackwalk.Peers/drain', '{}')).toBe('UNAUTHENTICATED')
    expect(await call('/rackwalk.Peers/drain', '{}', 'guessed')).toBe('UNAUTHENTICATED')
    expect(await call('/rackwalk.Peers/nothing', '{}', SECRET)).toBe('UNIMPLEMENTED')
  })
})
