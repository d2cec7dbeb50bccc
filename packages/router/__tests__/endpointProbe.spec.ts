import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { probeEndpoint } from '@rackwalk/router'

/** On a busy processor a look at an endpoint that lives told that no connection came up. */

const BUSY_MILLISECONDS = 300

const LOOKS = 8
/** A server in a process of its own that answers at once, or never. */
const SERVER = `
  const answer = (_, response) => process.argv[1] === 'holds' || response.end('{}')
  const server = require('node:http').createServer(answer)
  server.listen(0, '127.0.0.1', () => process.send(server.address().port))
`

let child: ChildProcess | undefined
let server: Server | undefined

function workFor(milliseconds: number): void {
  const until = performance.now() + milliseconds
  while (performance.now() < until);
}

async function endpointThat(does: 'answers' | 'holds') {
  const started = spawn(process.execPath, ['-e', SERVER, does], {
    stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
  })
  child = started
  const [port] = (await once(started, 'message')) as [number]
  return { address: `127.0.0.1:${port}`, statePath: '/state' }
}

/** Holds each turn of the loop for so long until what is returned is called. */
function holdTurns(milliseconds: number): () => void {
  let isOver = false
  const hold = () => {
    if (isOver) return
    workFor(milliseconds)
    setImmediate(hold)
  }
  setImmediate(hold)
  return () => {
    isOver = true
  }
}

afterEach(() => {
  server?.close()
  child?.kill()
})

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

  it.each([60, 120, 250])('sees an answer in turns of %i ms of its loop', async turn => {
    const endpoint = await endpointThat('answers')
    const release = holdTurns(turn)
    const signs: string[] = []
    for (let look = 0; look < LOOKS; look += 1) signs.push(await probeEndpoint(endpoint))
    release()
    expect(signs).toEqual(Array(LOOKS).fill('lives'))
  })

  it('knows nothing of an endpoint that holds the question where its loop is always held', async () => {
    const endpoint = await endpointThat('holds')
    const release = holdTurns(BUSY_MILLISECONDS)
    const sign = await probeEndpoint(endpoint)
    release()
    expect(sign).toBe('no-connection')
  })

  it('tells that an endpoint holds the question where its loop is free', async () => {
    expect(await probeEndpoint(await endpointThat('holds'))).toBe('does-not-answer')
  })
})
