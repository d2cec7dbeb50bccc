/**
 * The listener for callers, which can be paused: the kernel then refuses new connections, while open connections,
 * including idle ones, are still served. Owns the address of the listener and whether the listener is closed.
 */

import { Server as NetServer } from 'node:net'
import type { Server } from 'node:http'
import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import { AcceptQueue } from '../callers/acceptQueue.js'
import { listenOn, withPort } from '../observe/listenOn.js'

/** Time between two attempts to listen again while the address is taken. */
const REOPEN_MILLISECONDS: Milliseconds = 100

/** A listener that can be paused. */
export class PausableListener {
  private isClosed = false
  private isAddressHeld = false

  constructor(
    readonly server: Server,
    /** IP:PORT. */
    private address: string,
    private readonly clock: Clock,
    /**
     * Listening again after a pause failed, as when another process has taken the address. Called for the first failure
     * after each pause; listening is retried.
     */
    private readonly onAddressTaken: (error: unknown) => void,
    private readonly acceptQueue = new AcceptQueue(),
  ) {}

  /** Whether new connections are accepted. */
  get isListening(): boolean {
    return this.server.listening
  }

  /** Whether listening again after a pause has failed so far, so that no caller is accepted. */
  get isAddressTaken(): boolean {
    return this.isAddressHeld
  }

  /** Begins to listen; rejects with `CannotListen`. */
  async open(): Promise<void> {
    const port = await listenOn(this.server, this.address)
    this.address = withPort(this.address, port)
  }

  /** Accepts no new connections until resumed; connections that wait in the accept queue are served. */
  pause(): void {
    // The close method of an HTTP server would also close the idle connections.
    this.acceptQueue.drainAndClose(this.server, () => NetServer.prototype.close.call(this.server))
  }

  /** Listens again, with retries while that fails; closes the listener if it was closed meanwhile. */
  async resume(): Promise<void> {
    while (!this.isClosed && !this.isListening) {
      try {
        await listenOn(this.server, this.address)
      } catch (error) {
        if (!this.isAddressHeld) this.onAddressTaken(error)
        this.isAddressHeld = true
        await sleep(this.clock, REOPEN_MILLISECONDS)
      }
    }
    this.isAddressHeld = false
    if (this.isClosed) this.close()
  }

  /**
   * Accepts no new connections from now on and closes idle ones; connections that wait in the accept queue are
   * served.
   */
  close(): void {
    this.isClosed = true
    this.acceptQueue.drainAndClose(this.server, () => this.server.close())
  }

  /** Closes the listener and all connections at once, as a crash would. */
  stop(): void {
    this.isClosed = true
    this.server.close()
    this.server.closeAllConnections()
  }
}
