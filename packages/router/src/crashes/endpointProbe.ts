/** Looks whether anything listens at an endpoint's address. Sends nothing. */

import { connect } from 'node:net'
import type { Milliseconds } from '@rackwalk/shared'

/** `refused`: the system there answers, and no process listens. `silent`: nothing is known. */
export type ProbeOutcome = 'listening' | 'refused' | 'silent'

/** Whether anything listens is known within this time, or not at all. Chosen: a retry may wait for it. */
const PROBE_MILLISECONDS: Milliseconds = 100

/** Opens a connection to IP:PORT and closes it again. */
export function probeAddress(address: string): Promise<ProbeOutcome> {
  const [host = '', port = ''] = address.split(':')
  return new Promise(resolve => {
    const socket = connect({ host, port: Number(port) })
    const timer = setTimeout(() => finish('silent'), PROBE_MILLISECONDS)
    const finish = (outcome: ProbeOutcome) => {
      clearTimeout(timer)
      socket.destroy()
      resolve(outcome)
    }
    socket.on('connect', () => finish('listening'))
    socket.on('error', (error: NodeJS.ErrnoException) => {
      finish(error.code === 'ECONNREFUSED' ? 'refused' : 'silent')
    })
  })
}
