import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { probeEndpoint } from '@rackwalk/router'

/** On a busy processor a look at an endpoint that lives told that no connection came up. */

const BUSY_MILLISECONDS = 300

let server: Server | undefined

function workFor(milliseconds: number): void {
  const until = performance.now() + milliseconds
  while (performance.now() < until);
}

afterEach(() => server?.close())

describe('a look at an endpoint', () => {
  it('sees a connection that came up while the processor was busy beyond the time for it', async () => {
    const listening = createServer()
    server = listening
    await new Promise<void>(resolve => listening.listen(0, '127.0.0.1', resolve))
    const { port } = listening.address() as AddressInfo
    const look = probeEndpoint({ address: `127.0.0.1:${port}`, statePath: undefined })
    process.nextTick(workFor, BUSY_MILLISECONDS)
    expect(await look).toBe('lives')
  })
})
