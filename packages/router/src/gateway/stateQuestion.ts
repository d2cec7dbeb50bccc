/** Asks an endpoint for its state, without a bound of time of its own. Sends no request that would run. */

import { request } from 'node:http'
import { isServerError } from '@rackwalk/decisions'
import type { StateSign } from '@rackwalk/decisions'

/** A question that is open until it is answered or withdrawn. */
export interface StateQuestion {
  /** What it has come to so far. */
  readonly sign: StateSign
  /** Resolves once it is answered or has failed. */
  readonly answered: Promise<void>
  /** On a busy processor an answer may be there and wait to be read: resolves after that. */
  readAll(): Promise<void>
  withdraw(): void
}

/** Asks at IP:PORT for the state under a path. */
export function askState(address: string, path: string): StateQuestion {
  const [host, port] = address.split(':')
  const call = request({ host, port: Number(port), path, agent: false })
  let sign: StateSign = 'no-connection'
  const answered = new Promise<void>(resolve => {
    const finish = (found: StateSign) => {
      sign = found
      resolve()
    }
    call.on('socket', socket => socket.once('connect', () => (sign = 'held')))
    call.on('response', response => {
      response.resume()
      finish(isServerError(response.statusCode ?? 0) ? 'fails' : 'lives')
    })
    call.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') finish('nobody-listens')
      else finish(sign === 'held' ? 'turned-away' : sign)
    })
  })
  call.end()
  return {
    get sign() {
      return sign
    },
    answered,
    readAll: () => new Promise(resolve => setImmediate(resolve)),
    withdraw: () => call.destroy(),
  }
}
