import { createServer } from 'node:http'
import type { ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { describe, expect, it } from 'vitest'
import type { KnownTermination } from '@rackwalk/decisions'
import { SystemClock, asId } from '@rackwalk/shared'
import type { EndpointId } from '@rackwalk/shared'
import { EndpointClient, InFlightExchanges } from '@rackwalk/router'

/** The exchanges that fail when an endpoint is known to have terminated. */

const END: KnownTermination = { source: 'look', resetAt: 100, lookedAt: 200 }

function exchange(
  exchanges: InFlightExchanges,
  endpoint: string,
  sentAt: number,
  isRepeatable = true,
) {
  const failures: boolean[] = []
  const entry = {
    endpointId: asId<EndpointId>(endpoint),
    sentAt,
    heardAt: undefined,
    isPaused: false,
    isRepeatable,
    firstDoubtedAt: undefined,
    // An exchange in progress does the same when it fails.
    failByTermination: (wasInFlight: boolean) => {
      failures.push(wasInFlight)
      exchanges.remove(entry)
    },
  }
  exchanges.add(entry)
  return { entry, failures }
}

describe('exchanges in progress', () => {
  it('fail once each at a terminated endpoint, and nowhere else', () => {
    const exchanges = new InFlightExchanges()
    const atEndpoint = [
      exchange(exchanges, 'one', 50),
      exchange(exchanges, 'one', 150),
      exchange(exchanges, 'one', 250),
    ]
    const elsewhere = exchange(exchanges, 'two', 50)
    for (let time = 0; time < 2; time += 1)
      exchanges.noteTermination(asId<EndpointId>('one'), END, 0)
    expect(atEndpoint.map(({ failures }) => failures)).toEqual([[true], [false], []])
    expect(elsewhere.failures).toEqual([])
  })

  it('fail at the second probe that finds a termination if they may not be repeated', () => {
    const exchanges = new InFlightExchanges()
    const { failures } = exchange(exchanges, 'one', 50, false)
    const probe = (lookedAt: number, heardAt: number) =>
      exchanges.noteTermination(
        asId<EndpointId>('one'),
        { source: 'look', resetAt: 100, lookedAt },
        heardAt,
      )
    probe(200, 0)
    probe(200, 0)
    probe(800, 700)
    expect(failures).toEqual([])
    probe(1_400, 700)
    expect(failures).toEqual([true])
  })

  it('do not fail once they are over', () => {
    const exchanges = new InFlightExchanges()
    const { entry, failures } = exchange(exchanges, 'one', 50)
    exchanges.remove(entry)
    exchanges.noteTermination(asId<EndpointId>('one'), END, 0)
    expect(failures).toEqual([])
  })
})

describe('an exchange with only the head of its answer', () => {
  const clock = new SystemClock()
  const id = asId<EndpointId>('one')

  async function sendTo(respond: (response: ServerResponse) => void) {
    const server = createServer((_, response) => respond(response))
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const client = new EndpointClient(clock, 5_000)
    const result = client.attempt({
      endpointId: id,
      address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
      method: 'POST',
      path: '/',
      headers: {},
      body: '{}',
      firstByteMilliseconds: 5_000,
      signal: new AbortController().signal,
    })
    return { server, client, result }
  }

  it('counts as alive, and does not fail by a probe right after the head', async () => {
    const { server, client, result } = await sendTo(async response => {
      response.writeHead(200, { 'content-type': 'application/json', 'content-length': 2 })
      response.flushHeaders()
      await sleep(600)
      response.end('{}')
    })
    await sleep(300)
    const now = clock.monotonic()
    client.noteTermination(id, { source: 'look', resetAt: now, lookedAt: now }, 0)
    expect((await result).kind).toBe('answering')
    await client.close()
    server.close()
  })
})
