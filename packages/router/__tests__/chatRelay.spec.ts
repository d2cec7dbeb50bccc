import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { ChatRelay } from '@rackwalk/router'
import { SystemClock } from '@rackwalk/shared'

/** Guards against a relayed answer that is framed as complete though only its closed connection says that it is. */

const DEADLINE_MILLISECONDS = 2_000
const TYPE = 'content-type: text/plain\r\n'
const HEAD = `HTTP/1.1 200 OK\r\n${TYPE}`

const clock = new SystemClock()
let server: Server | undefined
let chatRelay: ChatRelay | undefined

afterEach(() => {
  chatRelay?.close()
  server?.close()
})

/** Relays a chat to an instance that answers so. Returns how its caller is told the end of the answer. */
async function relay(answer: (socket: Socket) => void): Promise<string> {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', () => answer(socket))
  })
  await new Promise<void>(resolve => server?.listen(0, '127.0.0.1', resolve))
  const callerAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const peer = { incarnation: 'instance-2#1', failureDomain: 'a', callerAddress }
  chatRelay = new ChatRelay({
    incarnation: 'instance-1#1',
    failureDomain: 'a',
    clock,
    random: { next: () => 0 },
    peers: () => [peer],
    onRelayed: () => {},
  } as never)
  let body = ''
  let framing = 'no head'
  let end = ''
  const caller = {
    disconnectSignal: new AbortController().signal,
    writeHead: (_status: number, _headers: unknown, isDelimited = true) => {
      framing = isDelimited ? 'delimited' : 'until the close'
    },
    write: (chunk: Buffer) => {
      body += chunk.toString()
      return true
    },
    end: () => {
      end = 'ended'
      return Promise.resolve()
    },
    destroy: () => void (end = 'cut'),
  }
  const request = {
    call: { kind: 'chat', chat: { body: {}, messages: [] } },
    incoming: { headers: new Map(), caller, method: 'POST', requestTarget: '/v1/chat/completions' },
    deadline: clock.sinceStart() + DEADLINE_MILLISECONDS,
    scope: { onEnd: () => {} },
    repeatable: true,
  }
  const outcome = await chatRelay.relay(request as never).catch(() => undefined)
  return outcome?.kind === 'answered' ? `"${body}", ${framing}, ${end}` : 'no answer'
}

describe('a relayed answer', () => {
  it.each([
    ['with a length', `${HEAD}content-length: 4\r\n\r\nbody`, '"body", delimited, ended'],
    ['without a length', `${HEAD}\r\nbody`, '"body", until the close, ended'],
    ['with a part of its length', `${HEAD}content-length: 4\r\n\r\nbo`, '"bo", delimited, cut'],
    ['with neither a length nor a body', `${HEAD}\r\n`, '"", until the close, cut'],
    ['whose head ends in CR LF LF', `${HEAD}\nbody`, 'no answer'],
    ['within its head', HEAD, 'no answer'],
    ['that denies the key', 'HTTP/1.1 401 Denied\r\ncontent-length: 0\r\n\r\n', 'no answer'],
    ['that denies the model', 'HTTP/1.1 404 Denied\r\ncontent-length: 0\r\n\r\n', 'no answer'],
  ])('%s that is closed in order is told as it is', async (_, wire, told) => {
    expect(await relay(socket => socket.end(wire))).toBe(told)
  })
})
