import { createServer } from 'node:http'
import type { ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { describe, expect, it } from 'vitest'
import type { KnownTermination } from '@rackwalk/decisions'
import { SystemClock, asId } from '@rackwalk/shared'
import type { EndpointId } from '@rackwalk/shared'
import { EndpointClient, InFlightExchanges } from '@rackwalk/router'

/** Whom the end of an endpoint reaches. */

const END: KnownTermination = { source: 'look', brokenAt: 100, lookedAt: 200 }

function exchange(open: InFlightExchanges, endpoint: string, sentAt: number, isRepeatable = true) {
  const withdrawn: boolean[] = []
  const entry = {
    endpointId: asId<EndpointId>(endpoint),
    sentAt,
    heardAt: undefined,
    isPaused: false,
    isRepeatable,
    firstDoubtedAt: undefined,
    // As an exchange does that ends by it.
    failByTermination: (wasThere: boolean) => {
      withdrawn.push(wasThere)
      open.remove(entry)
    },
  }
  open.add(entry)
  return { entry, withdrawn }
}

describe('the exchanges that are open', () => {
  it('are given up at the endpoint that has ended, each once, and nowhere else', () => {
    const open = new InFlightExchanges()
    const there = [
      exchange(open, 'one', 50),
      exchange(open, 'one', 150),
      exchange(open, 'one', 250),
    ]
    const elsewhere = exchange(open, 'two', 50)
    for (let time = 0; time < 2; time += 1) open.noteTermination(asId<EndpointId>('one'), END, 0)
    expect(there.map(({ withdrawn }) => withdrawn)).toEqual([[true], [false], []])
    expect(elsewhere.withdrawn).toEqual([])
  })

  it('are given up by the second look where they may not be repeated', () => {
    const open = new InFlightExchanges()
    const { withdrawn } = exchange(open, 'one', 50, false)
    const look = (lookedAt: number, heardAt: number) =>
      open.noteTermination(
        asId<EndpointId>('one'),
        { source: 'look', brokenAt: 100, lookedAt },
        heardAt,
      )
    look(200, 0)
    look(200, 0)
    look(800, 700)
    expect(withdrawn).toEqual([])
    look(1_400, 700)
    expect(withdrawn).toEqual([true])
  })

  it('are not given up once they have ended by themselves', () => {
    const open = new InFlightExchanges()
    const { entry, withdrawn } = exchange(open, 'one', 50)
    open.remove(entry)
    open.noteTermination(asId<EndpointId>('one'), END, 0)
    expect(withdrawn).toEqual([])
  })
})

describe('an exchange of which only the head of the answer came', () => {
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

  it('has been heard, and is not given up by a look right after', async () => {
    const { server, client, result } = await sendTo(async response => {
      response.writeHead(200, { 'content-type': 'application/json', 'content-length': 2 })
      response.flushHeaders()
      await sleep(600)
      response.end('{}')
    })
    await sleep(300)
    const now = clock.monotonic()
    client.noteTermination(id, { source: 'look', brokenAt: now, lookedAt: now }, 0)
    expect((await result).kind).toBe('answering')
    await client.close()
    server.close()
  })
})
