import { createServer, get } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { EndpointAgent } from '@rackwalk/router'

/** Connections that are kept for the next request to an endpoint. */

let server: Server | undefined

afterEach(() => {
  server?.closeAllConnections()
  server?.close()
})

async function untilEqual(read: () => boolean, expected: boolean): Promise<void> {
  while (read() !== expected) await wait(5)
}

describe('the agent of an endpoint', () => {
  // Guards against a choice by connections that are in use or closed.
  it('has an idle connection between an answer and the end of the connection', async () => {
    let answer = () => {}
    server = createServer((_, response) => (answer = () => response.end('done')))
    await new Promise<void>(resolve => server?.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    const agent = new EndpointAgent(4)
    const hasIdle = () => agent.hasIdleConnection
    expect(hasIdle()).toBe(false)
    const arrived = new Promise(resolve => server?.once('request', resolve))
    get({ host: '127.0.0.1', port, agent }, response => response.resume())
    await arrived
    expect(hasIdle()).toBe(false)
    answer()
    await untilEqual(hasIdle, true)
    server.closeAllConnections()
    await untilEqual(hasIdle, false)
    agent.destroy()
  })
})
