import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Worker } from 'node:worker_threads'
import { afterEach, describe, expect, it } from 'vitest'
import { PausableListener } from '@rackwalk/daemon'
import { SystemClock } from '@rackwalk/shared'

/**
 * Guards against resets of established connections in the accept queue of a busy process whose listener closes
 * briefly. The callers of such connections cannot tell whether their requests ran.
 */

const BUSY_MILLISECONDS = 100
const PAUSE_MILLISECONDS = 100
const WINDOW_MILLISECONDS = 250
const SPAN_MILLISECONDS = 6_000

/**
 * Callers run in their own thread, since the event loop of this one is busy; each counts the outcomes of its
 * attempts.
 */
const CALLERS = `
  const { connect } = require('node:net')
  const { parentPort, workerData } = require('node:worker_threads')
  const tries = { served: 0, refused: 0, reset: 0 }
  let isOver = false
  function call() {
    if (isOver) return
    let text = ''
    const socket = connect(workerData, '127.0.0.1')
    socket.on('connect', () => socket.write('GET / HTTP/1.1\\r\\nHost: a\\r\\nConnection: close\\r\\n\\r\\n'))
    socket.on('data', chunk => (text += chunk))
    let error
    socket.on('error', thrown => (error = thrown.code))
    socket.on('close', () => {
      if (isOver) return
      if (text.startsWith('HTTP/1.1 200')) tries.served += 1
      else if (error === 'ECONNREFUSED') tries.refused += 1
      else tries.reset += 1
      setTimeout(call, 20)
    })
  }
  for (let caller = 0; caller < 8; caller += 1) call()
  parentPort.on('message', () => {
    isOver = true
    parentPort.postMessage(tries)
    parentPort.close()
  })
`

interface Tries {
  readonly served: number
  readonly refused: number
  readonly reset: number
}

let server: Server
let worker: Worker
let isBusy = false

afterEach(async () => {
  isBusy = false
  await worker.terminate()
  server.closeAllConnections()
  server.close()
})

/** Every ready event waits for the duration of one round of other work. */
function work(): void {
  const end = performance.now() + BUSY_MILLISECONDS
  while (performance.now() < end);
  if (isBusy) setImmediate(work)
}

function turn(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

describe('a listener that closes briefly', () => {
  it('resets no connection in its accept queue', async () => {
    server = createServer((_, response) => response.end('served'))
    const listener = new PausableListener(server, '127.0.0.1:0', new SystemClock(), () => {})
    await listener.open()
    worker = new Worker(CALLERS, {
      eval: true,
      workerData: (server.address() as AddressInfo).port,
    })
    isBusy = true
    work()
    const endsAt = performance.now() + SPAN_MILLISECONDS
    while (performance.now() < endsAt) {
      await turn(WINDOW_MILLISECONDS)
      listener.pause()
      await turn(PAUSE_MILLISECONDS)
      await listener.resume()
    }
    isBusy = false
    const tally = new Promise<Tries>(resolve => worker.once('message', resolve))
    worker.postMessage('tell')
    const { served, refused, reset } = await tally
    expect(served).toBeGreaterThan(0)
    expect(refused).toBeGreaterThan(0)
    expect(reset).toBe(0)
  }, 30_000)
})
