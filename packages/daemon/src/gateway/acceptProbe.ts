/**
 * Tells how long a new connection of a caller waits to be taken. The loop takes one in each turn, after all that is
 * ready on those it has, so what waits is seen by no timer and no count; a connection that the process makes
 * to its own listener waits in the same queue. Owns that connection.
 */

import { connect } from 'node:net'
import type { Server, Socket } from 'node:net'
import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Time between two probes; each costs about what a refused connection does. Chosen; what it costs was not measured. */
const PROBE_MILLISECONDS = 200

/** Measures the wait of new connections, as long as somebody asks. */
export class AcceptProbe {
  private probe: Socket | undefined
  private madeAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** How long the last probe waited. */
  private waited: Milliseconds = 0

  constructor(
    /** For callers. */
    listener: Server,
    /** IP:PORT at which it listens. */
    private readonly address: string,
    private readonly clock: Clock,
  ) {
    listener.prependListener('connection', (socket: Socket) => this.noteTaken(socket))
  }

  /** How long the last probe waited, or the one that still waits has; makes the next one where it is due. */
  look(): Milliseconds {
    const age = this.clock.monotonic() - this.madeAt
    if (this.probe !== undefined) return age
    if (age >= PROBE_MILLISECONDS) this.make()
    return this.waited
  }

  private make(): void {
    const [host = '', port] = this.address.split(':')
    const probe = connect({ host, port: Number(port) })
    this.probe = probe
    this.madeAt = this.clock.monotonic()
    // A listener that is closed, or a queue that is full, says nothing of how long others wait.
    probe.on('error', () => this.end(0))
    probe.unref()
  }

  /** A probe is told from a caller by its port; it goes no further. */
  private noteTaken(socket: Socket): void {
    const { probe } = this
    if (probe === undefined || socket.remotePort !== probe.localPort) return
    socket.destroy()
    this.end(this.clock.monotonic() - this.madeAt)
  }

  private end(waited: Milliseconds): void {
    this.probe?.destroy()
    this.probe = undefined
    this.waited = waited
  }
}
