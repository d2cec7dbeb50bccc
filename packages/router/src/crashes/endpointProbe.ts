/**
 * Probes whether an endpoint is alive: connects to its address and requests its state. Sends no request that
 * an engine would run.
 */

import { connect } from 'node:net'
import type { ProbeResult } from '@rackwalk/decisions'
import { SystemClock } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import { startStateProbe, settlesWithin } from '../gateway/stateProbe.js'
import type { StateProbe } from '../gateway/stateProbe.js'

/** What a probe needs to know of an endpoint. */
export interface ProbedEndpoint {
  /** IP:PORT. */
  readonly address: string
  /** Path that reports the endpoint's state without using a request slot; undefined if there is none. */
  readonly statePath: string | undefined
}

/**
 * The probe is inconclusive if no connection is established within this time. It is short, since a retry may
 * be waiting for the result.
 */
const CONNECT_MILLISECONDS: Milliseconds = 100
/** A live endpoint reports its state within this time. */
const STATE_MILLISECONDS: Milliseconds = 100
const CLOCK = new SystemClock()

/** Probes an endpoint once. */
export function probeEndpoint({ address, statePath }: ProbedEndpoint): Promise<ProbeResult> {
  const [host = '', port = ''] = address.split(':')
  return new Promise(resolve => {
    const socket = connect({ host, port: Number(port) })
    let isConnected = false
    // On a busy processor the timer fires late, and an established connection may not have been noticed yet.
    // `setImmediate` lets that event be processed first.
    const giveUp = () => setImmediate(() => (isConnected ? undefined : finish('no-connection')))
    const timer = setTimeout(giveUp, CONNECT_MILLISECONDS)
    const finish = (result: ProbeResult) => {
      clearTimeout(timer)
      socket.destroy()
      // Data that arrived from the endpoint before the result, for other requests, is read first.
      setImmediate(() => resolve(result))
    }
    socket.on('connect', () => {
      isConnected = true
      clearTimeout(timer)
      // Without a state path, an endpoint that accepts connections counts as alive.
      if (statePath === undefined) finish('lives')
      else void probeState(address, statePath).then(finish)
    })
    socket.on('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === 'ECONNREFUSED' ? 'nobody-listens' : 'no-connection')
    })
  })
}

async function probeState(address: string, path: string): Promise<ProbeResult> {
  const stateProbe = startStateProbe(address, path)
  const isAnswered = await isAnsweredInTime(stateProbe)
  stateProbe.cancel()
  // The probe is inconclusive if this process was too busy or could not connect.
  if (isAnswered === undefined || stateProbe.result === 'no-connection') return 'no-connection'
  // An endpoint that fails to report its state has no engine behind it.
  return stateProbe.result === 'lives' ? 'lives' : 'does-not-answer'
}

/**
 * Whether the endpoint answers in time, counted from when the probe request is written; undefined if this
 * process was too busy to know.
 */
async function isAnsweredInTime(stateProbe: StateProbe): Promise<boolean | undefined> {
  const forConnection = { clock: CLOCK, delay: CONNECT_MILLISECONDS }
  const forState = { clock: CLOCK, delay: STATE_MILLISECONDS }
  const isWritten = await settlesWithin(stateProbe, stateProbe.written, forConnection)
  return isWritten && settlesWithin(stateProbe, stateProbe.answered, forState)
}
