import { openSync } from 'node:fs'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { connect } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { constants } from 'node:os'
import { setTimeout as delay } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { PausableListener, AcceptQueue } from '@rackwalk/daemon'
import { SystemClock } from '@rackwalk/shared'
import { NativeSocketsMissing, loadNativeSockets } from '../src/callers/nativeSockets.js'
import type { NativeSockets } from '../src/callers/nativeSockets.js'
import { OpenConnections } from '../src/gateway/openConnections.js'

/**
 * Which connections a closing listener accepts, what it reports about them, and what becomes of an accepted
 * connection.
 */

const { EAGAIN, EINTR, ECONNABORTED, EMFILE, ENFILE, EINVAL } = constants.errno
/** Far longer than a connection over the loopback interface takes to be established. */
const HOLD_MILLISECONDS = 50
const REQUEST = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n'

const cleanups: (() => unknown)[] = []

afterEach(async () => {
  for (const cleanup of cleanups.splice(0)) await cleanup()
})

/** Records all reports. */
class RecordingObserver {
  readonly accepted: number[] = []
  readonly unaccepted: string[] = []
  readonly changes: (readonly [boolean, string])[] = []
  noteAccepted(count: number): void {
    this.accepted.push(count)
  }
  noteUnaccepted(cause: string): void {
    this.unaccepted.push(cause)
  }
  noteDrainingChange(isAccepted: boolean, detail: string): void {
    this.changes.push([isAccepted, detail])
  }
}

async function listen(): Promise<{ readonly server: Server; readonly port: number }> {
  const server = createServer((_, response) => response.end('served'))
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  cleanups.push(() => {
    server.closeAllConnections()
    server.close()
  })
  return { server, port: (server.address() as AddressInfo).port }
}

/** Native calls that return these outcomes, and then that no connection is queued. */
function scripted(outcomes: readonly number[], bound = 0): NativeSockets {
  const left = [...outcomes]
  return { accept: () => left.shift() ?? -EAGAIN, limitBacklog: () => bound }
}

async function closeWithOutcomes(
  scripts: readonly (readonly number[])[],
  bound = 0,
): Promise<{ readonly observer: RecordingObserver; readonly connections: number }> {
  const observer = new RecordingObserver()
  let calls = scripted([], bound)
  const acceptQueue = new AcceptQueue(observer, () => ({
    accept: listener => calls.accept(listener),
    limitBacklog: (listener, length) => calls.limitBacklog(listener, length),
  }))
  let connections = 0
  for (const script of scripts) {
    const { server } = await listen()
    server.on('connection', () => (connections += 1))
    calls = scripted(script, bound)
    acceptQueue.drainAndClose(server, () => server.close())
    expect(server.listening).toBe(false)
  }
  return { observer, connections }
}

describe('accepting the queued connections of a listener', () => {
  it('continues after the error of one connection, and does not report it', async () => {
    const { observer } = await closeWithOutcomes([[-EINTR, -ECONNABORTED]])
    expect(observer).toEqual(new RecordingObserver())
  })

  it.each([
    ['EMFILE', -EMFILE],
    ['ENFILE', -ENFILE],
    ['EINVAL', -EINVAL],
  ])('stops at %s, counts every occurrence and reports only changes', async (word, outcome) => {
    const { observer } = await closeWithOutcomes([[outcome], [outcome], [], []])
    expect([observer.unaccepted, observer.changes]).toEqual([
      [word, word],
      [
        [false, word],
        [true, ''],
      ],
    ])
  })

  it('continues if the backlog cannot be limited, and counts the failure', async () => {
    const { observer } = await closeWithOutcomes([[-EMFILE]], -EINVAL)
    expect(observer.unaccepted).toEqual(['EINVAL', 'EMFILE'])
  })

  it('stops at a limit if connections keep arriving', async () => {
    const endless = new Array<number>(5_000).fill(-EINTR)
    const { observer } = await closeWithOutcomes([endless])
    expect([observer.unaccepted, observer.changes]).toEqual([['many'], [[false, 'many']]])
  })

  it('closes a descriptor from which no socket can be created', async () => {
    const descriptor = openSync('/dev/null', 'r')
    const { observer, connections } = await closeWithOutcomes([[descriptor]])
    expect([observer.unaccepted, observer.accepted, connections]).toEqual([['descriptor'], [], 0])
    const next = openSync('/dev/null', 'r')
    expect(next).toBe(descriptor)
  })

  it('loads the library at the first close of an open listener, and once', async () => {
    let loads = 0
    const acceptQueue = new AcceptQueue(undefined, () => {
      loads += 1
      return scripted([])
    })
    const closed = createServer()
    acceptQueue.drainAndClose(closed, () => {})
    expect(loads).toBe(0)
    for (let close = 0; close < 2; close += 1) {
      const { server } = await listen()
      acceptQueue.drainAndClose(server, () => server.close())
    }
    expect(loads).toBe(1)
  })

  it('closes the listener without the library, reports its absence once and counts each time', async () => {
    const observer = new RecordingObserver()
    let loads = 0
    const acceptQueue = new AcceptQueue(observer, () => {
      loads += 1
      throw new NativeSocketsMissing('no such library')
    })
    for (let close = 0; close < 3; close += 1) {
      const { server } = await listen()
      acceptQueue.drainAndClose(server, () => server.close())
      expect(server.listening).toBe(false)
    }
    expect([loads, observer.unaccepted]).toEqual([1, ['library', 'library', 'library']])
    expect(observer.changes).toEqual([[false, 'NativeSocketsMissing: no such library']])
  })

  it('serves the accepted connections even if the close throws', async () => {
    const { server, port } = await listen()
    const socket = connect(port, '127.0.0.1')
    cleanups.push(() => socket.destroy())
    const observer = new RecordingObserver()
    const acceptQueue = new AcceptQueue(observer)
    await waitUntilQueued()
    const failure = new Error('no close')
    expect(() =>
      acceptQueue.drainAndClose(server, () => {
        throw failure
      }),
    ).toThrow(failure)
    expect(observer.accepted).toEqual([1])
  })

  it.each([
    ['accept', 1],
    ['limitBacklog', 0],
  ] as const)(
    'closes, and serves the accepted connections, even if %s throws',
    async (call, count) => {
      const { server, port } = await listen()
      const socket = connect(port, '127.0.0.1')
      cleanups.push(() => socket.destroy())
      const observer = new RecordingObserver()
      const native = loadNativeSockets()
      let calls = 0
      const acceptQueue = new AcceptQueue(observer, () => ({
        ...native,
        [call]: (listener: number) => {
          if (calls++ < count) return native.accept(listener)
          throw new Error('no call')
        },
      }))
      await waitUntilQueued()
      acceptQueue.drainAndClose(server, () => server.close())
      expect(server.listening).toBe(false)
      expect([observer.accepted, observer.unaccepted]).toEqual([
        count === 1 ? [1] : [],
        ['library'],
      ])
      expect(observer.changes).toEqual([[false, 'Error: no call']])
    },
  )

  it('serves the other connections if the server fails with one, and leaks no descriptor of that one', async () => {
    const { server, port } = await listen()
    const failure = new Error('no connection')
    const sockets: Socket[] = []
    server.prependListener('connection', (socket: Socket) => {
      sockets.push(socket)
      if (sockets.length === 1) throw failure
    })
    const callers = [1, 2, 3].map(() => connect(port, '127.0.0.1'))
    cleanups.push(() => callers.forEach(caller => caller.destroy()))
    const answers = callers.map(caller => converse(caller).ask())
    const observer = new RecordingObserver()
    const acceptQueue = new AcceptQueue(observer)
    await waitUntilQueued()
    expect(() => acceptQueue.drainAndClose(server, () => server.close())).toThrow(failure)
    expect([sockets.length, observer.accepted, acceptQueue.logFields]).toEqual([
      3,
      [2],
      { taken: 2 },
    ])
    expect(sockets.map(({ destroyed }) => destroyed)).toEqual([true, false, false])
    expect((await Promise.all(answers)).sort()).toEqual(['200', '200', 'closed'])
  })
})

describe('the native calls', () => {
  it('return an error as its negative number', () => {
    const native = loadNativeSockets()
    expect([native.accept(-1), native.limitBacklog(-1, 0)]).toEqual([
      -constants.errno.EBADF,
      -constants.errno.EBADF,
    ])
  })
})

/**
 * Returns in the same turn in which a connection is made, once the kernel has established it; the event loop has
 * accepted nothing by then.
 */
async function waitUntilQueued(): Promise<void> {
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

describe('an accepted connection', () => {
  async function openAccepted(close: 'pause' | 'close') {
    const server = createServer((_, response) => response.end('served'))
    const observer = new RecordingObserver()
    const acceptQueue = new AcceptQueue(observer)
    const clock = new SystemClock()
    const listener = new PausableListener(server, '127.0.0.1:0', clock, () => {}, acceptQueue)
    await listener.open()
    cleanups.push(() => listener.stop())
    const connections = new OpenConnections(server)
    const { port } = server.address() as AddressInfo
    const socket = connect(port, '127.0.0.1')
    cleanups.push(() => socket.destroy())
    const conversation = converse(socket)
    await waitUntilQueued()
    listener[close]()
    expect([observer.accepted, acceptQueue.logFields]).toEqual([[1], { taken: 1 }])
    return { server, listener, connections, conversation }
  }

  it('stays open, is counted and is connections, during a pause and after it', async () => {
    const { listener, connections, conversation } = await openAccepted('pause')
    expect(connections.size).toBe(1)
    expect([await conversation.ask(), await conversation.ask()]).toEqual(['200', '200'])
    await listener.resume()
    expect([await conversation.ask(), connections.size]).toEqual(['200', 1])
  })

  it('is closed with all others', async () => {
    const { server, connections, conversation } = await openAccepted('pause')
    expect(await conversation.ask()).toBe('200')
    server.closeAllConnections()
    await conversation.ended
    await delay(0)
    expect(connections.size).toBe(0)
  })

  it('is closed after its idle time', async () => {
    const { server, conversation } = await openAccepted('pause')
    server.keepAliveTimeout = 1
    expect(await conversation.ask()).toBe('200')
    await conversation.ended
  })

  it('is answered, and then closed, by a listener that has closed for good', async () => {
    const { server, connections, conversation } = await openAccepted('close')
    expect(await conversation.ask()).toBe('200')
    server.closeIdleConnections()
    await conversation.ended
    await delay(0)
    expect(connections.size).toBe(0)
  })

  it('is answered after its caller has half-closed it', async () => {
    const { conversation } = await openAccepted('pause')
    const answer = conversation.ask()
    conversation.socket.end()
    expect(await answer).toBe('200')
  })
})
