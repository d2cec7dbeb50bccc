import { Agent, createServer, request } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { connect } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { LinkBandwidthBudget } from '@rackwalk/decisions'
import { CallerReply, RefusedBodyHandler, StandardRetryAfter } from '@rackwalk/router'
import { SystemClock } from '@rackwalk/shared'

/** What a caller sees of an interrupted reply, in any state of its connection. */

/** More than the buffers of a connection hold. */
const LARGE = Buffer.alloc(20_000_000, 'x')
const HEAD = { statusCode: 200, rawHeaders: ['Content-Type', 'text/plain'] } as IncomingMessage

const refusedBodies = new RefusedBodyHandler({
  clock: new SystemClock(),
  link: new LinkBandwidthBudget(1_000_000),
  counters: { noteRefusedBody: () => {}, noteDiscardedBytes: () => {} },
})

let server: Server | undefined

afterEach(() => {
  server?.closeAllConnections()
  server?.close()
})

type Serve = (reply: CallerReply, response: ServerResponse, request: IncomingMessage) => void

async function listen(serve: Serve): Promise<number> {
  const started = createServer((incoming, response) => {
    const reply = new CallerReply(
      response,
      {},
      new StandardRetryAfter(),
      () => false,
      refusedBodies,
    )
    serve(reply, response, incoming)
  })
  server = started
  await new Promise<void>(resolve => started.listen(0, '127.0.0.1', resolve))
  return (started.address() as AddressInfo).port
}

/** Reads an answer; the caller begins to read when `until` resolves. */
function read(port: number, until: Promise<void>): Promise<{ bytes: number; isWhole: boolean }> {
  return new Promise((resolve, reject) => {
    const call = request({ port, host: '127.0.0.1', agent: new Agent() })
    call.on('error', reject)
    call.on('response', response => {
      let bytes = 0
      response.pause()
      response.on('data', (chunk: Buffer) => (bytes += chunk.length))
      response.on('error', () => {})
      response.on('close', () => resolve({ bytes, isWhole: response.complete }))
      void until.then(() => response.resume())
    })
    call.end()
  })
}

function turns(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds))
}

describe('a reply that is aborted', () => {
  it('stays complete if it was ended before, although most of it is still buffered', async () => {
    let noteAborted = () => {}
    const aborted = new Promise<void>(resolve => (noteAborted = resolve))
    const port = await listen(reply => {
      reply.start(HEAD, false)
      reply.end(LARGE)
      setTimeout(() => {
        reply.abort()
        noteAborted()
      }, 20)
    })
    expect(await read(port, aborted)).toEqual({ bytes: LARGE.length, isWhole: true })
  })

  it('is not complete while bytes of it are buffered', async () => {
    let noteAborted = () => {}
    const aborted = new Promise<void>(resolve => (noteAborted = resolve))
    const port = await listen(reply => {
      reply.start(HEAD, false)
      reply.write(LARGE, () => {})
      setTimeout(() => {
        reply.abort()
        noteAborted()
      }, 20)
    })
    expect((await read(port, aborted)).isWhole).toBe(false)
  })

  it('is not complete if its caller has all bytes written so far', async () => {
    const port = await listen(reply => {
      reply.start(HEAD, false)
      reply.write(Buffer.from('some'), () => {})
      setTimeout(() => reply.abort(), 20)
    })
    expect(await read(port, Promise.resolve())).toEqual({ bytes: 4, isWhole: false })
  })

  it('closes the connection when its turn comes behind another answer', async () => {
    const replies: CallerReply[] = []
    const port = await listen(reply => {
      reply.start(HEAD, false)
      reply.write(Buffer.from('some'), () => {})
      replies.push(reply)
      if (replies.length < 2) return
      reply.abort()
      setTimeout(() => replies[0]?.end(Buffer.from(' more')), 20)
    })
    const socket = connect(port, '127.0.0.1')
    let text = ''
    socket.on('data', (bytes: Buffer) => (text += bytes.toString()))
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(2))
    const ended = new Promise(resolve => socket.on('close', () => resolve('ended')))
    expect(await Promise.race([ended, turns(1_000)])).toBe('ended')
    expect(text).toContain(' more')
    expect(text.match(/HTTP\/1.1 200/g)).toHaveLength(1)
  })

  it('does nothing to a closed connection', async () => {
    let noteAborted = () => {}
    const aborted = new Promise<void>(resolve => (noteAborted = resolve))
    const port = await listen((reply, response) => {
      reply.start(HEAD, false)
      reply.write(Buffer.from('some'), () => {})
      response.on('close', () => {
        reply.abort()
        noteAborted()
      })
    })
    const call = request({ port, host: '127.0.0.1', agent: new Agent() })
    call.on('error', () => {})
    call.on('response', () => call.destroy())
    call.end()
    await aborted
  })
})

describe('a caller that ends its connection', () => {
  // On a loaded instance the turns until the response closes were long enough to send its request all the same.
  it('has left at once, before the response closes, and only once', async () => {
    const events: string[] = []
    const port = await listen((reply, response, incoming) => {
      reply.onLeave(() => events.push('left'))
      incoming.socket.once('end', () => setImmediate(() => events.push('next turn')))
      response.once('close', () => events.push('response closed'))
    })
    const socket = connect(port, '127.0.0.1')
    socket.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n', () => socket.end())
    await expect.poll(() => events.length).toBe(3)
    expect(events).toEqual(['left', 'next turn', 'response closed'])
  })

  it('leaves no listeners on a kept connection', async () => {
    const counts: number[] = []
    const port = await listen((reply, response, incoming) => {
      counts.push(incoming.socket.listenerCount('end'))
      response.writeHead(200)
      reply.end()
    })
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    for (let round = 0; round < 5; round += 1) {
      await new Promise<void>(resolve => {
        const call = request({ port, host: '127.0.0.1', agent }, answer =>
          answer.resume().on('end', () => resolve()),
        )
        call.end()
      })
    }
    agent.destroy()
    expect(new Set(counts).size).toBe(1)
  })
})
