import { Agent, request as httpRequest } from 'node:http'
import { connect } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { ConfiguredFleet } from '@rackwalk/stand-ins'

/**
 * Guards against refused bodies that fill the link: callers with wrong keys and keep-alive connections repeatedly send whole
 * bodies to the callers' and the operators' listeners.
 */

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

/** The size of a body that is too long to be read, and the number of bytes of it that may be read. */
const HUGE_BYTES = 200_000_000
const MAXIMUM_READ_BYTES = 1_000_000

async function startFleet(limits: object = { linkMegabits: LINK_MEGABITS }): Promise<void> {
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

/** Returns the bytes per second sent by refused callers that retry immediately. */
async function refusedBytesPerSecond(address: string, path: string): Promise<number> {
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

/** Sends a body as fast as the connection accepts it, until the connection closes. */
function sendHugeBody(address: string, path: string): Promise<void> {
  const { hostname, port } = new URL(address)
  const chunk = Buffer.alloc(65_536)
  return new Promise(resolve => {
    const socket = connect({ port: Number(port), host: hostname, allowHalfOpen: true })
    const fill = () => {
      while (socket.writable && socket.bytesWritten < HUGE_BYTES && socket.write(chunk));
    }
    socket.on('drain', fill)
    socket.on('error', () => undefined)
    socket.on('close', () => resolve())
    socket.resume()
    const lines = [`POST ${path} HTTP/1.1`, 'Host: a', `Content-Length: ${HUGE_BYTES}`]
    socket.write([...lines, 'Authorization: Bearer wrong', '', ''].join('\r\n'), fill)
  })
}

/** Returns the number of bytes of refused bodies that the instance has read. */
async function bytesRead(): Promise<number> {
  const response = await fetch(new URL('/metrics', fleet.operators(0)))
  const text = await response.text()
  return Number(/^rackwalk_refused_body_bytes_total (\d+)/m.exec(text)?.[1])
}

describe('bodies of requests with wrong keys', () => {
  it.each([
    ['callers', '/v1/chat/completions'],
    ['operators', '/v1/teams'],
  ] as const)('use no more than the bandwidth of the link: %s', async (kind, path) => {
    await startFleet()
    const bytes = await refusedBytesPerSecond(fleet[kind](0), path)
    expect(bytes).toBeLessThan(LINK_BYTES_PER_SECOND)
  })

  it.each([
    ['callers', '/v1/chat/completions'],
    ['operators', '/v1/teams'],
  ] as const)('are not read without end if no link bandwidth is set: %s', async (kind, path) => {
    await startFleet({})
    const ended = sendHugeBody(fleet[kind](0), path)
    const timeout = new Promise(resolve => setTimeout(resolve, SPAN_MILLISECONDS))
    await Promise.race([ended, timeout])
    expect(await bytesRead()).toBeLessThan(MAXIMUM_READ_BYTES)
  })

  it('are not sent if their callers wait for 100 Continue', async () => {
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
