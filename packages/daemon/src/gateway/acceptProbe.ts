/**
 * Measures how long a new caller connection waits to be accepted, in milliseconds. The event loop accepts one
 * connection per turn, after all events that are ready on open connections, so no timer and no counter of the process
 * shows that wait. The probe is a connection that the process opens to its own listener, where it waits in the same
 * queue as callers. Owns the probe and the delay that the last probe measured.
 */

import { connect } from 'node:net'
import type { Server, Socket } from 'node:net'
import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Time between two probes; each costs about as much as a refused connection. */
const PROBE_MILLISECONDS = 200

/** Measures the accept delay of new connections; a probe begins only in a call of `measure`. */
export class AcceptProbe {
  private probe: Socket | undefined
  /** Connections that were accepted before the probe was connected on its client side. */
  private acceptedEarly: { readonly socket: Socket; readonly acceptedAt: Milliseconds }[] = []
  /** Monotonic time at which the last probe began. */
  private startedAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Accept delay of the last probe; 0 if that probe was closed before it was accepted. */
  private acceptDelay: Milliseconds = 0

  constructor(
    /** The listener for callers. */
    listener: Server,
    /** IP:PORT at which the listener listens. */
    private readonly address: string,
    private readonly clock: Clock,
  ) {
    listener.prependListener('connection', (socket: Socket) => this.noteAccepted(socket))
  }

  /**
   * Returns the accept delay of the last probe, or the age of a probe that still waits; starts the next probe when it
   * is due.
   */
  measure(): Milliseconds {
    const age = this.clock.monotonic() - this.startedAt
    if (this.probe !== undefined) return age
    if (age >= PROBE_MILLISECONDS) this.startProbe()
    return this.acceptDelay
  }

  private startProbe(): void {
    const [host = '', port] = this.address.split(':')
    const probe = connect({ host, port: Number(port) })
    this.probe = probe
    this.acceptedEarly = []
    this.startedAt = this.clock.monotonic()
    probe.on('connect', () => this.noteConnected(probe))
    // A probe that fails because the listener is closed or its queue is full does not show how long other connections
    // wait, nor does a probe that was closed before it was accepted. Such a probe counts as a delay of 0: counting it
    // as waiting forever would make an instance with spare capacity refuse requests.
    probe.on('error', () => {})
    probe.on('close', () => this.noteClosed(probe))
    probe.unref()
  }

  /**
   * A probe is distinguished from a caller by its local port, which is known once the probe is connected. The accepted
   * side of a probe is destroyed.
   */
  private noteAccepted(socket: Socket): void {
    const { probe } = this
    if (probe === undefined) return
    const acceptedAt = this.clock.monotonic()
    if (probe.connecting) this.acceptedEarly.push({ socket, acceptedAt })
    else this.match(probe, socket, acceptedAt)
  }

  /** The listener may have accepted the probe before its client side was connected. */
  private noteConnected(probe: Socket): void {
    const accepted = this.acceptedEarly
    this.acceptedEarly = []
    for (const { socket, acceptedAt } of accepted) this.match(probe, socket, acceptedAt)
  }

  private match(probe: Socket, socket: Socket, acceptedAt: Milliseconds): void {
    if (probe !== this.probe || socket.remotePort !== probe.localPort) return
    socket.destroy()
    this.finishProbe(acceptedAt - this.startedAt)
  }

  private noteClosed(probe: Socket): void {
    if (probe === this.probe) this.finishProbe(0)
  }

  private finishProbe(acceptDelay: Milliseconds): void {
    this.probe?.destroy()
    this.probe = undefined
    this.acceptedEarly = []
    this.acceptDelay = acceptDelay
  }
}
