/** Looks whether an endpoint is still there. Sends no request that would run. */

import { request } from 'node:http'
import { connect } from 'node:net'
import { isServerError } from '@rackwalk/decisions'
import type { EndSign } from '@rackwalk/decisions'
import type { Milliseconds } from '@rackwalk/shared'

/** Where to look. */
export interface ProbedEndpoint {
  /** IP:PORT. */
  readonly address: string
  /** Where it tells its state without using a slot; undefined where it has no such place. */
  readonly statePath: string | undefined
}

/** A connection comes up within this time, or nothing is known: a retry may wait for it. */
const CONNECT_MILLISECONDS: Milliseconds = 100
/** An endpoint that lives tells its state within this time. */
const STATE_MILLISECONDS: Milliseconds = 100

/** One look at an endpoint. */
export function probeEndpoint({ address, statePath }: ProbedEndpoint): Promise<EndSign> {
  const [host = '', port = ''] = address.split(':')
  return new Promise(resolve => {
    const socket = connect({ host, port: Number(port) })
    let isConnected = false
    // On a busy processor the timer is late, and the connection may be up and wait to be seen: that comes first.
    const giveUp = () => setImmediate(() => (isConnected ? undefined : finish('no-connection')))
    const timer = setTimeout(giveUp, CONNECT_MILLISECONDS)
    const finish = (sign: EndSign) => {
      clearTimeout(timer)
      socket.destroy()
      // What came from the endpoint before this is read first.
      setImmediate(() => resolve(sign))
    }
    socket.on('connect', () => {
      isConnected = true
      clearTimeout(timer)
      // Where there is nothing to ask for, whoever takes connections counts as alive.
      if (statePath === undefined) finish('lives')
      else void askState(host, port, statePath).then(finish)
    })
    socket.on('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === 'ECONNREFUSED' ? 'nobody-listens' : 'no-connection')
    })
  })
}

function askState(host: string, port: string, path: string): Promise<EndSign> {
  return new Promise(resolve => {
    const call = request({ host, port: Number(port), path, agent: false })
    // On a busy processor the answer may be there and wait to be read: that comes first.
    const giveUp = () => setImmediate(() => finish('does-not-answer'))
    const timer = setTimeout(giveUp, STATE_MILLISECONDS)
    const finish = (sign: EndSign) => {
      clearTimeout(timer)
      call.destroy()
      resolve(sign)
    }
    call.on('response', ({ statusCode = 0 }) => {
      // What fails at this has no engine behind it.
      finish(isServerError(statusCode) ? 'does-not-answer' : 'lives')
    })
    call.on('error', () => finish('does-not-answer'))
    call.end()
  })
}
