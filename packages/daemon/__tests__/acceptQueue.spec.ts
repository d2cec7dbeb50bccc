import { openSync } from 'node:fs'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { constants } from 'node:os'
import { setTimeout as passed } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { PausableListener, AcceptQueue } from '@rackwalk/daemon'
import { SystemClock } from '@rackwalk/shared'
import { NativeSocketsMissing, loadNativeSockets } from '../src/callers/nativeSockets.js'
import type { NativeSockets } from '../src/callers/nativeSockets.js'
import { OpenConnections } from '../src/gateway/openConnections.js'

/** What a listener that closes takes, what it tells of it, and what becomes of a connection that was taken. */

const { EAGAIN, EINTR, ECONNABORTED, EMFILE, ENFILE, EINVAL } = constants.errno
/** Far more than a connection over the loopback takes to be up. */
const HOLD_MILLISECONDS = 50
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'

const ends: (() => unknown)[] = []

afterEach(async () => {
  for (const end of ends.splice(0)) await end()
})

/** Notes all that is told. */
class Told {
  readonly taken: number[] = []
  readonly untaken: string[] = []
  readonly changes: (readonly [boolean, string])[] = []
  noteAccepted(count: number): void {
    this.taken.push(count)
  }
  noteUnaccepted(cause: string): void {
    this.untaken.push(cause)
  }
  noteDrainingChange(isTaken: boolean, detail: string): void {
    this.changes.push([isTaken, detail])
  }
}

async function listen(): Promise<{ readonly server: Server; readonly port: number }> {
  const server = createServer((_, response) => response.end('served'))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  ends.push(() => {
    server.closeAllConnections()
    server.close()
  })
  return { server, port: (server.address() as AddressInfo).port }
}

/** Calls that give these outcomes, then that nothing waits. */
function scripted(outcomes: readonly number[], bound = 0): NativeSockets {
  const left = [...outcomes]
  return { accept: () => left.shift() ?? -EAGAIN, limitBacklog: () => bound }
}

async function closesWith(
  scripts: readonly (readonly number[])[],
  bound = 0,
): Promise<{ readonly told: Told; readonly handedOver: number }> {
  const told = new Told()
  let calls = scripted([], bound)
  const waiting = new AcceptQueue(told, () => ({
    accept: listener => calls.accept(listener),
    limitBacklog: (listener, length) => calls.limitBacklog(listener, length),
  }))
  let handedOver = 0
  for (const script of scripts) {
    const { server } = await listen()
    server.on('connection', () => (handedOver += 1))
    calls = scripted(script, bound)
    waiting.drainAndClose(server, () => server.close())
    expect(server.listening).toBe(false)
  }
  return { told, handedOver }
}

describe('taking what waits before a listener', () => {
  it('goes on past the error of one connection, and says nothing of it', async () => {
    const { told } = await closesWith([[-EINTR, -ECONNABORTED]])
    expect(told).toEqual(new Told())
  })

  it.each([
    ['EMFILE', -EMFILE],
    ['ENFILE', -ENFILE],
    ['EINVAL', -EINVAL],
  ])('stops at %s, counts each and tells only of changes', async (word, outcome) => {
    const { told } = await closesWith([[outcome], [outcome], [], []])
    expect([told.untaken, told.changes]).toEqual([
      [word, word],
      [
        [false, word],
        [true, ''],
      ],
    ])
  })

  it('goes on where the queue can not be bounded, and counts it', async () => {
    const { told } = await closesWith([[-EMFILE]], -EINVAL)
    expect(told.untaken).toEqual(['EINVAL', 'EMFILE'])
  })

  it('ends where connections come without end', async () => {
    const endless = new Array<number>(5_000).fill(-EINTR)
    const { told } = await closesWith([endless])
    expect([told.untaken, told.changes]).toEqual([['many'], [[false, 'many']]])
  })

  it('closes a descriptor of which no socket can be made', async () => {
    const descriptor = openSync('/dev/null', 'r')
    const { told, handedOver } = await closesWith([[descriptor]])
    expect([told.untaken, told.taken, handedOver]).toEqual([['descriptor'], [], 0])
    const next = openSync('/dev/null', 'r')
    expect(next).toBe(descriptor)
  })

  it('loads the library at the first close of an open listener, and once', async () => {
    let loads = 0
    const waiting = new AcceptQueue(undefined, () => {
      loads += 1
      return scripted([])
    })
    const closed = createServer()
    waiting.drainAndClose(closed, () => {})
    expect(loads).toBe(0)
    for (let close = 0; close < 2; close += 1) {
      const { server } = await listen()
      waiting.drainAndClose(server, () => server.close())
    }
    expect(loads).toBe(1)
  })

  it('closes as ever without the library, says so once and counts each time', async () => {
    const told = new Told()
    let loads = 0
    const waiting = new AcceptQueue(told, () => {
      loads += 1
      throw new NativeSocketsMissing('no such library')
    })
    for (let close = 0; close < 3; close += 1) {
      const { server } = await listen()
      waiting.drainAndClose(server, () => server.close())
      expect(server.listening).toBe(false)
    }
    expect([loads, told.untaken]).toEqual([1, ['library', 'library', 'library']])
    expect(told.changes).toEqual([[false, 'NativeSocketsMissing: no such library']])
  })

  it('hands over what was taken though the close throws', async () => {
    const { server, port } = await listen()
    const socket = connect(port, '127.0.0.1')
    ends.push(() => socket.destroy())
    const told = new Told()
    const waiting = new AcceptQueue(told)
    await waitingOne()
    const failure = new Error('no close')
    expect(() =>
      waiting.drainAndClose(server, () => {
        throw failure
      }),
    ).toThrow(failure)
    expect(told.taken).toEqual([1])
  })

  it.each([
    ['accept', 1],
    ['limitBacklog', 0],
  ] as const)('closes and hands over what was taken though %s throws', async (call, count) => {
    const { server, port } = await listen()
    const socket = connect(port, '127.0.0.1')
    ends.push(() => socket.destroy())
    const told = new Told()
    const native = loadNativeSockets()
    let calls = 0
    const waiting = new AcceptQueue(told, () => ({
      ...native,
      [call]: (listener: number) => {
        if (calls++ < count) return native.accept(listener)
        throw new Error('no call')
      },
    }))
    await waitingOne()
    waiting.drainAndClose(server, () => server.close())
    expect(server.listening).toBe(false)
    expect([told.taken, told.untaken]).toEqual([count === 1 ? [1] : [], ['library']])
    expect(told.changes).toEqual([[false, 'Error: no call']])
  })

  it('serves the others though the server fails with one, and keeps no descriptor of that one', async () => {
    const { server, port } = await listen()
    const failure = new Error('no connection')
    const sockets: Socket[] = []
    server.prependListener('connection', (socket: Socket) => {
      sockets.push(socket)
      if (sockets.length === 1) throw failure
    })
    const callers = [1, 2, 3].map(() => connect(port, '127.0.0.1'))
    ends.push(() => callers.forEach(caller => caller.destroy()))
    const answers = callers.map(caller => converse(caller).ask())
    const told = new Told()
    const waiting = new AcceptQueue(told)
    await waitingOne()
    expect(() => waiting.drainAndClose(server, () => server.close())).toThrow(failure)
    expect([sockets.length, told.taken, waiting.logFields]).toEqual([3, [2], { taken: 2 }])
    expect(sockets.map(({ destroyed }) => destroyed)).toEqual([true, false, false])
    expect((await Promise.all(answers)).sort()).toEqual(['200', '200', 'closed'])
  })
})

describe('the calls of the system', () => {
  it('give the error of a call as its negative number', () => {
    const native = loadNativeSockets()
    expect([native.accept(-1), native.limitBacklog(-1, 0)]).toEqual([
      -constants.errno.EBADF,
      -constants.errno.EBADF,
    ])
  })
})

/** Returns in the turn in which a connection is made, once it is up in the kernel; the loop has taken nothing by then. */
async function waitingOne(): Promise<void> {
  // The socket begins to connect in the next tick.
  await new Promise<void>(resolve => process.nextTick(resolve))
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, HOLD_MILLISECONDS)
}

interface Conversation {
  readonly socket: Socket
  readonly ask: () => Promise<string>
  readonly ended: Promise<void>
}

function converse(socket: Socket): Conversation {
  const ended = new Promise<void>(resolve => socket.once('close', () => resolve()))
  socket.on('error', () => {})
  const ask = () =>
    new Promise<string>(resolve => {
      socket.once('data', bytes => resolve(bytes.toString().slice(9, 12)))
      socket.once('close', () => resolve('closed'))
      socket.write(REQUEST)
    })
  return { socket, ask, ended }
}

describe('a connection that was taken', () => {
  async function openTaken(close: 'pause' | 'close') {
    const server = createServer((_, response) => response.end('served'))
    const told = new Told()
    const waiting = new AcceptQueue(told)
    const clock = new SystemClock()
    const listener = new PausableListener(server, '127.0.0.1:0', clock, () => {}, waiting)
    await listener.open()
    ends.push(() => listener.stop())
    const connections = new OpenConnections(server)
    const { port } = server.address() as AddressInfo
    const socket = connect(port, '127.0.0.1')
    ends.push(() => socket.destroy())
    const conversation = converse(socket)
    await waitingOne()
    listener[close]()
    expect([told.taken, waiting.logFields]).toEqual([[1], { taken: 1 }])
    return { server, listener, connections, conversation }
  }

  it('is kept, counted and served on, in a pause and after it', async () => {
    const { listener, connections, conversation } = await openTaken('pause')
    expect(connections.size).toBe(1)
    expect([await conversation.ask(), await conversation.ask()]).toEqual(['200', '200'])
    await listener.resume()
    expect([await conversation.ask(), connections.size]).toEqual(['200', 1])
  })

  it('is ended with all others', async () => {
    const { server, connections, conversation } = await openTaken('pause')
    expect(await conversation.ask()).toBe('200')
    server.closeAllConnections()
    await conversation.ended
    await passed(0)
    expect(connections.size).toBe(0)
  })

  it('is ended when idle for long enough', async () => {
    const { server, conversation } = await openTaken('pause')
    server.keepAliveTimeout = 1
    expect(await conversation.ask()).toBe('200')
    await conversation.ended
  })

  it('is answered and let go by a listener that has closed for good', async () => {
    const { server, connections, conversation } = await openTaken('close')
    expect(await conversation.ask()).toBe('200')
    server.closeIdleConnections()
    await conversation.ended
    await passed(0)
    expect(connections.size).toBe(0)
  })

  it('is answered though its caller has ended its own side', async () => {
    const { conversation } = await openTaken('pause')
    const answer = conversation.ask()
    conversation.socket.end()
    expect(await answer).toBe('200')
  })
})
