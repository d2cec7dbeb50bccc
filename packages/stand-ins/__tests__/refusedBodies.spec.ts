import { Agent, request as httpRequest } from 'node:http'
import { connect } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { ConfiguredFleet } from '@rackwalk/stand-ins'

/** Callers with wrong keys and kept connections send whole bodies again and again, to callers' and operators' listeners. */

const LINK_MEGABITS = 2
const LINK_BYTES_PER_SECOND = (LINK_MEGABITS * 1_000_000) / 8
const BODY = 'x'.repeat(30_000)
const CALLERS = 8
const SPAN_MILLISECONDS = 2_000

const agent = new Agent({ keepAlive: true, maxSockets: CALLERS })
let fleet: ConfiguredFleet

afterEach(async () => {
  agent.destroy()
  await fleet.stop()
})

async function startFleet(): Promise<void> {
  const limits = { linkMegabits: LINK_MEGABITS }
  fleet = await new ConfiguredFleet({ instances: 1, engines: 1, limits }).start()
}

function send(address: string, path: string): Promise<number | undefined> {
  const { hostname, port } = new URL(address)
  return new Promise((resolve, reject) => {
    const headers = { authorization: 'Bearer wrong', 'content-length': String(BODY.length) }
    const call = httpRequest({ host: hostname, port, agent, method: 'POST', path, headers })
    call.on('error', reject)
    call.on('response', response => {
      response.resume()
      response.on('end', () => resolve(response.statusCode))
    })
    call.end(BODY)
  })
}

/** Bytes a second that refused callers send, who come again at once. */
async function bytesInVain(address: string, path: string): Promise<number> {
  let answers = 0
  const endsAt = Date.now() + SPAN_MILLISECONDS
  const call = async () => {
    while (Date.now() < endsAt) {
      expect(await send(address, path)).toBe(401)
      answers += 1
    }
  }
  await Promise.all(Array.from({ length: CALLERS }, call))
  return ((answers - CALLERS) * BODY.length * 1_000) / SPAN_MILLISECONDS
}

describe('bodies of requests with wrong keys', () => {
  it.each([
    ['callers', '/v1/chat/completions'],
    ['operators', '/v1/teams'],
  ] as const)('take no more of the link than it bears: %s', async (kind, path) => {
    await startFleet()
    const bytes = await bytesInVain(fleet[kind](0), path)
    expect(bytes).toBeLessThan(LINK_BYTES_PER_SECOND)
  })

  it('are not sent where their callers wait to be asked', async () => {
    await startFleet()
    const { hostname, port } = new URL(fleet.callers(0))
    const text = await new Promise<string>(resolve => {
      const socket = connect(Number(port), hostname)
      let received = ''
      socket.on('data', chunk => (received += chunk.toString()))
      socket.on('close', () => resolve(received))
      const lines = ['POST /v1/chat/completions HTTP/1.1', 'Host: a', 'Content-Length: 30000']
      socket.write(
        [...lines, 'Authorization: Bearer wrong', 'Expect: 100-continue', '', ''].join('\r\n'),
      )
    })
    expect(text).toMatch(/^HTTP\/1\.1 401 /)
    expect(text).not.toContain(' 100 ')
  })
})
