import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { EndpointClient } from '@rackwalk/router'
import { SystemClock, asId } from '@rackwalk/shared'
import type { EndpointId } from '@rackwalk/shared'

/** Guards against requests that were sent and run, and count as never sent because of the error that ended them. */

vi.setConfig({ testTimeout: 10_000 })

const CONNECTED = 'undici:client:connected'

let client: EndpointClient
let engine: Server
let connection: Socket | undefined
let runs = 0

const noteConnection = (message: unknown) => {
  connection = (message as { readonly socket: Socket }).socket
}

beforeEach(async () => {
  runs = 0
  client = new EndpointClient(new SystemClock(), 5_000)
  subscribe(CONNECTED, noteConnection)
  engine = createServer(request => {
    runs += 1
    request.resume()
  })
  await new Promise<void>(resolve => engine.listen(0, '127.0.0.1', resolve))
})

afterEach(async () => {
  unsubscribe(CONNECTED, noteConnection)
  await client.close()
  engine.closeAllConnections()
  engine.close()
})

async function attempt() {
  const result = client.attempt({
    endpointId: asId<EndpointId>('engine-1'),
    address: `http://127.0.0.1:${(engine.address() as AddressInfo).port}`,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: {},
    body: '{}',
    firstByteMilliseconds: 5_000,
    signal: new AbortController().signal,
  })
  while (runs === 0) await new Promise(resolve => setTimeout(resolve, 5))
  return result
}

// The system reports these instead of a time-out if the last route to the peer was lost.
describe.each(['EHOSTUNREACH', 'ENETUNREACH'])('a request whose connection ends with %s', code => {
  it('may have run', async () => {
    engine.once('request', () => {
      connection?.destroy(Object.assign(new Error(`read ${code}`), { code }))
    })
    expect(await attempt()).toMatchObject({ kind: 'failed', reason: code })
    expect(runs).toBe(1)
  })
})
