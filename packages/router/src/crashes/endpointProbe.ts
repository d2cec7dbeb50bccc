/** Looks whether an endpoint is still there. Sends no request that would run. */

import { connect } from 'node:net'
import type { ProbeResult } from '@rackwalk/decisions'
import { SystemClock } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import { startStateProbe, settlesWithin } from '../gateway/stateProbe.js'
import type { StateProbe } from '../gateway/stateProbe.js'

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
const CLOCK = new SystemClock()

/** One look at an endpoint. */
export function probeEndpoint({ address, statePath }: ProbedEndpoint): Promise<ProbeResult> {
  const [host = '', port = ''] = address.split(':')
  return new Promise(resolve => {
    const socket = connect({ host, port: Number(port) })
    let isConnected = false
    // On a busy processor the timer is late, and the connection may be up and wait to be seen: that comes first.
    const giveUp = () => setImmediate(() => (isConnected ? undefined : finish('no-connection')))
    const timer = setTimeout(giveUp, CONNECT_MILLISECONDS)
    const finish = (sign: ProbeResult) => {
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
      else void probeState(address, statePath).then(finish)
    })
    socket.on('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === 'ECONNREFUSED' ? 'nobody-listens' : 'no-connection')
    })
  })
}

async function probeState(address: string, path: string): Promise<ProbeResult> {
  const question = startStateProbe(address, path)
  const isAnswered = await isAnsweredInTime(question)
  question.cancel()
  // Whoever was too busy to look knows nothing, nor does whoever could not ask.
  if (isAnswered === undefined || question.sign === 'no-connection') return 'no-connection'
  // What fails at this has no engine behind it.
  return question.sign === 'lives' ? 'lives' : 'does-not-answer'
}

/** The time for the answer begins once the question is written; undefined where this process was too busy to know. */
async function isAnsweredInTime(question: StateProbe): Promise<boolean | undefined> {
  const forConnection = { clock: CLOCK, delay: CONNECT_MILLISECONDS }
  const forState = { clock: CLOCK, delay: STATE_MILLISECONDS }
  const isWritten = await settlesWithin(question, question.written, forConnection)
  return isWritten && settlesWithin(question, question.answered, forState)
}
