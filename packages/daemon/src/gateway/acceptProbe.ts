/**
 * Tells how long a new connection of a caller waits to be taken. The loop takes one in each turn, after all that is
 * ready on those it has, so what waits is seen by no timer and no count; a connection that the process makes
 * to its own listener waits in the same queue. Owns that connection.
 */

import { connect } from 'node:net'
import type { Server, Socket } from 'node:net'
import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Time between two probes; each costs about what a refused connection does. */
const PROBE_MILLISECONDS = 200

/** Measures the wait of new connections, as long as somebody asks. */
export class AcceptProbe {
  private probe: Socket | undefined
  /** Connections that were taken while the probe was not yet connected on its own side. */
  private acceptedEarly: { readonly socket: Socket; readonly takenAt: Milliseconds }[] = []
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
  measure(): Milliseconds {
    const age = this.clock.monotonic() - this.madeAt
    if (this.probe !== undefined) return age
    if (age >= PROBE_MILLISECONDS) this.startProbe()
    return this.waited
  }

  private startProbe(): void {
    const [host = '', port] = this.address.split(':')
    const probe = connect({ host, port: Number(port) })
    this.probe = probe
    this.acceptedEarly = []
    this.madeAt = this.clock.monotonic()
    probe.on('connect', () => this.noteConnected(probe))
    // A listener that is closed, or a queue that is full, says nothing of how long others wait; nor does a probe that ended
    // unseen: counted as waiting for ever, it would make an instance with time to spare refuse requests.
    probe.on('error', () => {})
    probe.on('close', () => this.noteClosed(probe))
    probe.unref()
  }

  /** A probe is told from a caller by its port, which is known once it is connected; it goes no further. */
  private noteTaken(socket: Socket): void {
    const { probe } = this
    if (probe === undefined) return
    const takenAt = this.clock.monotonic()
    if (probe.connecting) this.acceptedEarly.push({ socket, takenAt })
    else this.match(probe, socket, takenAt)
  }

  /** The listener may have had its side first. */
  private noteConnected(probe: Socket): void {
    const taken = this.acceptedEarly
    this.acceptedEarly = []
    for (const { socket, takenAt } of taken) this.match(probe, socket, takenAt)
  }

  private match(probe: Socket, socket: Socket, takenAt: Milliseconds): void {
    if (probe !== this.probe || socket.remotePort !== probe.localPort) return
    socket.destroy()
    this.end(takenAt - this.madeAt)
  }

  private noteClosed(probe: Socket): void {
    if (probe === this.probe) this.end(0)
  }

  private end(waited: Milliseconds): void {
    this.probe?.destroy()
    this.probe = undefined
    this.acceptedEarly = []
    this.waited = waited
  }
}
