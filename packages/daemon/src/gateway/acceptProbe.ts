/**
 * Measures how long a new caller connection waits to be accepted. The event loop accepts one connection per turn,
 * after all events that are ready on open connections, so no timer and no counter sees the wait. A connection that
 * the process opens to its own listener waits in the same queue. Owns that connection.
 */

import { connect } from 'node:net'
import type { Server, Socket } from 'node:net'
import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Time between two probes; each costs about as much as a refused connection. */
const PROBE_MILLISECONDS = 200

/** Measures the accept delay of new connections; probes only while `measure` is called. */
export class AcceptProbe {
  private probe: Socket | undefined
  /** Connections that were accepted before the probe was connected on its client side. */
  private acceptedEarly: { readonly socket: Socket; readonly takenAt: Milliseconds }[] = []
  private madeAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Accept delay of the last probe. */
  private waited: Milliseconds = 0

  constructor(
    /** The listener for callers. */
    listener: Server,
    /** IP:PORT at which the listener listens. */
    private readonly address: string,
    private readonly clock: Clock,
  ) {
    listener.prependListener('connection', (socket: Socket) => this.noteTaken(socket))
  }

  /**
   * Returns the accept delay of the last probe, or the age of a probe that still waits; starts the next probe when it
   * is due.
   */
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
    // A closed listener or a full queue does not show how long other connections wait, nor does a probe that was
    // closed before it was accepted. Counting such a probe as waiting forever would make an instance with spare
    // capacity refuse requests.
    probe.on('error', () => {})
    probe.on('close', () => this.noteClosed(probe))
    probe.unref()
  }

  /**
   * A probe is told apart from a caller by its local port, which is known once the probe is connected. The accepted
   * side of a probe is destroyed.
   */
  private noteTaken(socket: Socket): void {
    const { probe } = this
    if (probe === undefined) return
    const takenAt = this.clock.monotonic()
    if (probe.connecting) this.acceptedEarly.push({ socket, takenAt })
    else this.match(probe, socket, takenAt)
  }

  /** The listener may have accepted the probe before its client side was connected. */
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
