/**
 * Probes whether the link from this instance to an endpoint is up: connects to the endpoint's address and, if the
 * endpoint reports its state, requests that. Any answer counts, since an endpoint that fails is reached as well.
 */

import { connect } from 'node:net'
import { SystemClock } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import { settlesWithin, startStateProbe } from '../gateway/stateProbe.js'

/**
 * A connection that is not established within this time counts as failed. The time is short because
 * a request may be waiting for the check.
 */
const CONNECT_MILLISECONDS: Milliseconds = 150
/** Even a slow endpoint reports its state within this time. */
const STATE_MILLISECONDS: Milliseconds = 500
const CLOCK = new SystemClock()

/** Whether the link to IP:PORT is up; without a state path, a connection is enough. */
export function isLinkUp(address: string, statePath: string | undefined): Promise<boolean> {
  return statePath === undefined ? canConnect(address) : answersState(address, statePath)
}

async function answersState(address: string, path: string): Promise<boolean> {
  const probe = startStateProbe(address, path)
  const forConnection = { clock: CLOCK, delay: CONNECT_MILLISECONDS }
  const forState = { clock: CLOCK, delay: STATE_MILLISECONDS }
  const isWritten = await settlesWithin(probe, probe.written, forConnection)
  const isAnswered = isWritten === true && (await settlesWithin(probe, probe.answered, forState))
  probe.cancel()
  // A process that was too busy to know the answer counts an established connection as up.
  const isUnknown = isWritten === undefined || isAnswered === undefined
  if (isUnknown) return probe.result !== 'no-connection' && probe.result !== 'nobody-listens'
  return (
    isAnswered &&
    (probe.result === 'lives' || probe.result === 'fails' || probe.result === 'turned-away')
  )
}

/** Whether a TCP connection to IP:PORT is established in time. No data is sent on it. */
function canConnect(address: string): Promise<boolean> {
  const [host = '', port = ''] = address.split(':')
  return new Promise(resolve => {
    const socket = connect({ host, port: Number(port) })
    const finish = (isUp: boolean) => {
      clearTimeout(timer)
      socket.destroy()
      resolve(isUp)
    }
    let isConnected = false
    // On a busy CPU the timer may fire late while a `connect` event is already pending.
    // `setImmediate` lets that event be handled first.
    const giveUp = () => setImmediate(() => finish(isConnected))
    const timer = setTimeout(giveUp, CONNECT_MILLISECONDS)
    socket.on('connect', () => {
      isConnected = true
      finish(true)
    })
    socket.on('error', () => finish(false))
  })
}
