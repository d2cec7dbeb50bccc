import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { probeEndpoint } from '@rackwalk/router'

/** Guards against probes that reported a live endpoint as unreachable because this process was busy. */

const BUSY_MILLISECONDS = 300

const PROBES = 8
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

async function endpointThat(behaviour: 'answers' | 'holds') {
  const started = spawn(process.execPath, ['-e', SERVER, behaviour], {
    stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
  })
  child = started
  const [port] = (await once(started, 'message')) as [number]
  return { address: `127.0.0.1:${port}`, statePath: '/state' }
}

/** Blocks each turn of the event loop for this long until the returned function is called. */
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

describe('a probe of an endpoint', () => {
  it('notices a connection that was established while the processor was busy beyond the time limit', async () => {
    const listening = createServer()
    server = listening
    await new Promise<void>(resolve => listening.listen(0, '127.0.0.1', resolve))
    const { port } = listening.address() as AddressInfo
    const probe = probeEndpoint({ address: `127.0.0.1:${port}`, statePath: undefined })
    process.nextTick(workFor, BUSY_MILLISECONDS)
    expect(await probe).toBe('lives')
  })

  it.each([60, 120, 250])(
    'notices an answer while each turn of its event loop takes %i ms',
    async turn => {
      const endpoint = await endpointThat('answers')
      const release = holdTurns(turn)
      const results: string[] = []
      for (let probe = 0; probe < PROBES; probe += 1) results.push(await probeEndpoint(endpoint))
      release()
      expect(results).toEqual(Array(PROBES).fill('lives'))
    },
  )

  it('is inconclusive for an endpoint that does not answer while its own event loop is always blocked', async () => {
    const endpoint = await endpointThat('holds')
    const release = holdTurns(BUSY_MILLISECONDS)
    const result = await probeEndpoint(endpoint)
    release()
    expect(result).toBe('no-connection')
  })

  it('finds that an endpoint does not answer while its event loop is free', async () => {
    expect(await probeEndpoint(await endpointThat('holds'))).toBe('does-not-answer')
  })
})
