/**
 * Established connections that wait in the kernel's accept queue of a listener. The kernel resets them when the
 * listener closes, and their callers cannot tell whether their requests ran. A listener that still has to answer its
 * callers therefore accepts these connections first. Owns whether that is possible on this system.
 */

import { closeSync } from 'node:fs'
import type { Server } from 'node:http'
import { Socket } from 'node:net'
import { constants } from 'node:os'
import { getSystemErrorName } from 'node:util'
import { loadNativeSockets } from './nativeSockets.js'
import type { NativeSockets } from './nativeSockets.js'

/** Observes which queued connections were accepted and which could not be. */
export interface AcceptQueueObserver {
  /** This many queued connections were accepted and are served. */
  readonly noteAccepted: (count: number) => void
  /**
   * Queued connections may have been reset, for this cause: the name of a system error, `library` (the native library
   * is missing or failed), `many` (more than are accepted at a time) or `descriptor` (no socket could be created from
   * one).
   */
  readonly noteUnaccepted: (cause: string) => void
  /** From now on queued connections are accepted, or may be reset; `detail` is then the error or the cause. */
  readonly noteDrainingChange: (isAccepted: boolean, detail: string) => void
}

/**
 * Maximum number of attempts to accept a connection per close. More connections may arrive while some are accepted, and
 * this limits the time and the memory that one close may take.
 */
const MAXIMUM_ACCEPTED = 1_024

const { EAGAIN, EINTR, ECONNABORTED, EPROTO } = constants.errno
/** Errors of a single connection; others may wait behind it. */
const TRANSIENT_ERRORS: ReadonlySet<number> = new Set([EINTR, ECONNABORTED, EPROTO])

/** For programs and tests that need no observer. */
const NOOP_OBSERVER: AcceptQueueObserver = {
  noteAccepted: () => {},
  noteUnaccepted: () => {},
  noteDrainingChange: () => {},
}

/** Accepts the queued connections of a listener that closes. */
export class AcceptQueue {
  private native: NativeSockets | undefined
  /** Why the library is unavailable; a load that failed is not retried. */
  private loadError: string | undefined
  /** Whether the last close that had to accept connections could do so; changes are reported to the observer. */
  private isDrainable = true
  private acceptedCount = 0

  constructor(
    private readonly observer: AcceptQueueObserver = NOOP_OBSERVER,
    private readonly load: () => NativeSockets = loadNativeSockets,
  ) {}

  /** Number of connections accepted so far, as a log field. */
  get logFields(): { readonly taken: number } {
    return { taken: this.acceptedCount }
  }

  /**
   * Closes a listener with `close`, and lets the listener serve the connections that were queued before the close like
   * any other connection.
   */
  drainAndClose(server: Server, close: () => void): void {
    const accepted: number[] = []
    // Accepting and closing happen in the same turn of the event loop, and sockets are created only afterwards: a
    // connection that arrives between the two is reset.
    try {
      this.acceptAll(server, accepted)
    } finally {
      try {
        close()
      } finally {
        this.handOverAll(server, accepted)
      }
    }
  }

  private acceptAll(server: Server, accepted: number[]): void {
    const listener = descriptorOf(server)
    if (listener === undefined) return
    const native = this.loadOnce()
    if (native === undefined) {
      this.noteOutcome('library', this.loadError)
      return
    }
    try {
      const bound = native.limitBacklog(listener, 0)
      if (bound < 0) this.observer.noteUnaccepted(errorWord(bound))
      this.noteOutcome(acceptUntilEmpty(native, listener, accepted))
    } catch (error) {
      this.noteOutcome('library', String(error))
    }
  }

  private loadOnce(): NativeSockets | undefined {
    if (this.native !== undefined || this.loadError !== undefined) return this.native
    try {
      this.native = this.load()
    } catch (error) {
      this.loadError = String(error)
    }
    return this.native
  }

  private noteOutcome(cause: string | undefined, detail = cause): void {
    if (cause !== undefined) this.observer.noteUnaccepted(cause)
    const isAccepted = cause === undefined
    if (isAccepted === this.isDrainable) return
    this.isDrainable = isAccepted
    this.observer.noteDrainingChange(isAccepted, detail ?? '')
  }

  private handOverAll(server: Server, accepted: readonly number[]): void {
    const before = this.acceptedCount
    try {
      this.handOverEach(server, accepted.values())
    } finally {
      const count = this.acceptedCount - before
      if (count > 0) this.observer.noteAccepted(count)
    }
  }

  /** Hands over all connections even if some fail; throws the error of the last one that failed afterwards. */
  private handOverEach(server: Server, left: IterableIterator<number>): void {
    for (const descriptor of left) {
      try {
        this.handOver(server, descriptor)
      } catch (error) {
        this.handOverEach(server, left)
        throw error
      }
    }
  }

  private handOver(server: Server, descriptor: number): void {
    const socket = this.socketOf(descriptor)
    if (socket === undefined) return
    try {
      socket.setNoDelay(true)
      server.emit('connection', socket)
    } catch (error) {
      // The server may not have taken over the socket, so that nothing else would close it.
      socket.destroy()
      throw error
    }
    this.acceptedCount += 1
  }

  /**
   * Creates a socket with the options that an HTTP server uses for its own; closes a descriptor for which that fails.
   */
  private socketOf(descriptor: number): Socket | undefined {
    try {
      return new Socket({ fd: descriptor, allowHalfOpen: true, readable: true, writable: true })
    } catch (error) {
      closeSync(descriptor)
      this.noteOutcome('descriptor', String(error))
      return undefined
    }
  }
}

/**
 * Node.js has no public access to a listener's descriptor. It is absent unless the server listens, and negative on
 * systems without descriptors.
 */
function descriptorOf(server: Server): number | undefined {
  const { _handle: handle } = server as { readonly _handle?: { readonly fd?: number } | null }
  const descriptor = handle?.fd ?? -1
  return descriptor < 0 ? undefined : descriptor
}

/** Accepts until the queue is empty; returns a cause if connections may be left in it. */
function acceptUntilEmpty(
  native: NativeSockets,
  listener: number,
  accepted: number[],
): string | undefined {
  for (let tries = 0; tries < MAXIMUM_ACCEPTED; tries += 1) {
    const outcome = native.accept(listener)
    if (outcome === -EAGAIN) return undefined
    if (outcome >= 0) accepted.push(outcome)
    else if (!TRANSIENT_ERRORS.has(-outcome)) return errorWord(outcome)
  }
  return 'many'
}

function errorWord(outcome: number): string {
  return getSystemErrorName(outcome)
}
