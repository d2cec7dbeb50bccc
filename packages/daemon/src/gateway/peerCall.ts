/** One HTTP call to another instance, with a timeout. */

import { request } from 'node:http'
import type { Agent } from 'node:http'
import { HeldBytes } from '@rackwalk/router'
import { SystemClock, isSocketAddress, limitAnswer } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import { parseAddress } from '../observe/listenOn.js'

/** One HTTP call to another instance. */
export interface PeerCall {
  /** IP:PORT. */
  readonly address: string
  readonly path: string
  /** JSON to send; without it, the call is a `GET`. */
  readonly body?: string
  /** Keeps connections alive; without it, each call opens its own. */
  readonly agent?: Agent | undefined
  /** Maximum time from the call to the end of its answer, as far as this process was able to read it. */
  readonly timeoutMilliseconds: Milliseconds
}

/** Maximum size of an answer, which limits the memory that a peer's answer can take. */
const LONGEST_ANSWER_BYTES = 8 * 1024 * 1024
const CLOCK = new SystemClock()

/**
 * Returns the text of a complete answer with status 200; undefined if none arrived in time, the call failed, the status
 * is another one, or the answer is too large. A `GET` on a kept connection that the peer has closed meanwhile is sent
 * again on a new one.
 */
export function callPeer(call: PeerCall): Promise<string | undefined> {
  const { address, path, body, agent = false, timeoutMilliseconds } = call
  // `request` throws for such an address, while it reports all other failures by events.
  if (!isSocketAddress(address)) return Promise.resolve(undefined)
  const { host, port } = parseAddress(address)
  const method = body === undefined ? 'GET' : 'POST'
  return new Promise(resolve => {
    const sent = request({ host, port, path, method, agent }, response => {
      const answer = new HeldBytes(LONGEST_ANSWER_BYTES)
      response.on('data', (chunk: Buffer) => {
        answer.append(chunk)
        if (answer.length > LONGEST_ANSWER_BYTES) sent.destroy()
      })
      response.on('error', () => finish(undefined))
      response.on('end', () => {
        const isGood = response.statusCode === 200 && response.complete
        finish(isGood ? answer.take().toString('utf8') : undefined)
      })
    })
    const timer = limitAnswer(CLOCK, timeoutMilliseconds, () => sent.destroy())
    const finish = (text: string | undefined | Promise<string | undefined>) => {
      timer.cancel()
      resolve(text)
    }
    sent.on('error', error => {
      const isStale = sent.reusedSocket && isReset(error) && body === undefined
      finish(isStale ? callPeer({ ...call, agent: undefined }) : undefined)
    })
    sent.on('close', () => finish(undefined))
    sent.end(body)
  })
}

function isReset(error: NodeJS.ErrnoException): boolean {
  return error.code === 'ECONNRESET' || error.code === 'EPIPE'
}
