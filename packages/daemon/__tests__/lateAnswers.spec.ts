import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { PeerLoanClient } from '../src/gateway/peerLoanClient.js'

/** Guards against answers of peers that are given up although they arrived while the event loop was blocked. */

const TIMEOUT_MILLISECONDS = 90
const BLOCKED_MILLISECONDS = 300
const LENT = 7
/** A peer in a process of its own that lends at once, or never answers. */
const PEER = `
  const answer = (_, response) => {
    if (process.argv[1] === 'lends') response.end('{"lent":${LENT}}')
  }
  const server = require('node:http').createServer(answer)
  server.listen(0, '127.0.0.1', () => process.send(server.address().port))
`
const REQUEST = { id: 'loan-1', budget: 'team', tokens: LENT, patienceMilliseconds: 50 }

let peer: ChildProcess | undefined
let address = ''
let client: PeerLoanClient

async function startPeer(behaviour: 'lends' | 'is silent'): Promise<void> {
  peer = spawn(process.execPath, ['-e', PEER, behaviour], {
    stdio: ['ignore', 'inherit', 'inherit', 'ipc'],
  })
  const [port] = (await once(peer, 'message')) as [number]
  address = `127.0.0.1:${port}`
}

function blockFor(milliseconds: number): void {
  const until = performance.now() + milliseconds
  while (performance.now() < until);
}

/** Requests a loan, and blocks the event loop in the turn after that. */
async function borrowWhileBlocked() {
  const lent = client.requestLoan('peer', REQUEST)
  await new Promise(resolve => setImmediate(resolve))
  blockFor(BLOCKED_MILLISECONDS)
  return lent
}

beforeEach(() => {
  client = new PeerLoanClient({
    addressOf: () => address,
    isSilent: () => false,
    timeoutMilliseconds: TIMEOUT_MILLISECONDS,
    onMalformed: ({ form }) => expect.unreachable(form),
  })
})

afterEach(() => {
  client.close()
  peer?.kill()
})

describe('a call to a peer while the event loop is blocked for longer than its time limit', () => {
  it('gets its answer on a new connection', async () => {
    await startPeer('lends')
    expect(await borrowWhileBlocked()).toBe(LENT)
  })

  it('gets its answer on a kept connection', async () => {
    await startPeer('lends')
    await client.requestLoan('peer', REQUEST)
    expect(await borrowWhileBlocked()).toBe(LENT)
  })

  it('is given up if the peer does not answer', async () => {
    await startPeer('is silent')
    expect(await borrowWhileBlocked()).toBeUndefined()
  })
})
