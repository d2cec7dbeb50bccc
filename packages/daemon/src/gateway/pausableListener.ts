/**
 * The listener for callers, which can stop taking new connections for a while: the kernel refuses them then, and open ones
 * are served on, idle ones included. Owns whether and where it listens.
 */

import { Server as NetServer } from 'node:net'
import type { Server } from 'node:http'
import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import { AcceptQueue } from '../callers/acceptQueue.js'
import { listenOn, withPort } from '../observe/listenOn.js'

/** Time between two tries to listen again where the address is taken. */
const REOPEN_MILLISECONDS: Milliseconds = 100

/** A listener that can be paused. */
export class PausableListener {
  private isClosed = false
  private isPortHeld = false

  constructor(
    readonly server: Server,
    /** IP:PORT. */
    private address: string,
    private readonly clock: Clock,
    /** The address was taken while the listener was paused; it is tried again. */
    private readonly onTaken: (error: unknown) => void,
    private readonly waiting = new AcceptQueue(),
  ) {}

  /** Whether new connections are taken. */
  get isListening(): boolean {
    return this.server.listening
  }

  /** Whether another process holds the address, so that no caller is taken until it gives it back. */
  get isAddressTaken(): boolean {
    return this.isPortHeld
  }

  /** Begins to listen; fails with `CannotListen`. */
  async open(): Promise<void> {
    const port = await listenOn(this.server, this.address)
    this.address = withPort(this.address, port)
  }

  /** Takes no new connections until it is resumed; those that wait are served. */
  pause(): void {
    // Closing it as an HTTP server would end the idle connections as well.
    this.waiting.drainAndClose(this.server, () => NetServer.prototype.close.call(this.server))
  }

  /** Listens again, as soon as the address is free; not after a close. */
  async resume(): Promise<void> {
    while (!this.isClosed && !this.isListening) {
      try {
        await listenOn(this.server, this.address)
      } catch (error) {
        if (!this.isPortHeld) this.onTaken(error)
        this.isPortHeld = true
        await sleep(this.clock, REOPEN_MILLISECONDS)
      }
    }
    this.isPortHeld = false
    if (this.isClosed) this.close()
  }

  /** Takes no new connections any more, and ends idle ones; those that wait are served. */
  close(): void {
    this.isClosed = true
    this.waiting.drainAndClose(this.server, () => this.server.close())
  }

  /** Ends at once with all connections, as a death would. */
  stop(): void {
    this.isClosed = true
    this.server.close()
    this.server.closeAllConnections()
  }
}
