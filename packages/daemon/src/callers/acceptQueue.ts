/**
 * Connections that are up and wait in the kernel's queue before a listener. The kernel resets them when the listener closes, and
 * their callers can't tell whether their requests ran; so a listener that owes its callers an answer takes them first. Owns whether
 * that can be done here.
 */

import { closeSync } from 'node:fs'
import type { Server } from 'node:http'
import { Socket } from 'node:net'
import { constants } from 'node:os'
import { getSystemErrorName } from 'node:util'
import { loadNativeSockets } from './nativeSockets.js'
import type { NativeSockets } from './nativeSockets.js'

/** Who is told of what was taken and what could not be. */
export interface AcceptQueueObserver {
  /** This many connections that waited were taken, and are served. */
  readonly noteAccepted: (count: number) => void
  /**
   * Connections that waited may have been reset, for this cause: the system's word of an error, `library` (there is none to take
   * with, or it failed), `many` (more than are taken at a time) or `descriptor` (no socket could be made of one).
   */
  readonly noteUnaccepted: (cause: string) => void
  /** From now on what waits is taken, or is reset for this cause. */
  readonly noteDrainingChange: (isTaken: boolean, detail: string) => void
}

/** More come while some are taken; this bounds the time and the memory that one close may cost. */
const MAXIMUM_ACCEPTED = 1_024

const { EAGAIN, EINTR, ECONNABORTED, EPROTO } = constants.errno
/** Errors of one connection; others may wait behind it. */
const TRANSIENT_ERRORS: ReadonlySet<number> = new Set([EINTR, ECONNABORTED, EPROTO])

/** For programs and tests that ask for nothing. */
const NOOP_OBSERVER: AcceptQueueObserver = {
  noteAccepted: () => {},
  noteUnaccepted: () => {},
  noteDrainingChange: () => {},
}

/** Takes what waits before a listener that closes. */
export class AcceptQueue {
  private native: NativeSockets | undefined
  /** Why there is no library; a load that failed is not tried again. */
  private missing: string | undefined
  private isDrainable = true
  private acceptedCount = 0

  constructor(
    private readonly observer: AcceptQueueObserver = NOOP_OBSERVER,
    private readonly load: () => NativeSockets = loadNativeSockets,
  ) {}

  /** How many were taken so far, as a field of a line. */
  get logFields(): { readonly taken: number } {
    return { taken: this.acceptedCount }
  }

  /** Closes a listener by `close`; what waited before it is served by it as any other connection is. */
  drainAndClose(server: Server, close: () => void): void {
    const taken: number[] = []
    // In the same turn and before they are made sockets: whatever comes in between is reset.
    try {
      this.take(server, taken)
    } finally {
      try {
        close()
      } finally {
        this.handOverAll(server, taken)
      }
    }
  }

  private take(server: Server, taken: number[]): void {
    const listener = descriptorOf(server)
    if (listener === undefined) return
    const native = this.findNative()
    if (native === undefined) {
      this.noteOutcome('library', this.missing)
      return
    }
    try {
      const bound = native.limitBacklog(listener, 0)
      if (bound < 0) this.observer.noteUnaccepted(errorWord(bound))
      this.noteOutcome(takeAll(native, listener, taken))
    } catch (error) {
      this.noteOutcome('library', String(error))
    }
  }

  private findNative(): NativeSockets | undefined {
    if (this.native !== undefined || this.missing !== undefined) return this.native
    try {
      this.native = this.load()
    } catch (error) {
      this.missing = String(error)
    }
    return this.native
  }

  private noteOutcome(cause: string | undefined, detail = cause): void {
    if (cause !== undefined) this.observer.noteUnaccepted(cause)
    const isTaken = cause === undefined
    if (isTaken === this.isDrainable) return
    this.isDrainable = isTaken
    this.observer.noteDrainingChange(isTaken, detail ?? '')
  }

  private handOverAll(server: Server, taken: readonly number[]): void {
    const before = this.acceptedCount
    try {
      this.handOverEach(server, taken.values())
    } finally {
      const count = this.acceptedCount - before
      if (count > 0) this.observer.noteAccepted(count)
    }
  }

  /** One that fails keeps none of the others from being served; its error is thrown after them. */
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
      // Nobody may have it by now who would end it.
      socket.destroy()
      throw error
    }
    this.acceptedCount += 1
  }

  /** With the properties that an HTTP server gives its own; closes a descriptor of which none can be made. */
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

/** Node.js has no public way to the descriptor of a listener; it is absent where it doesn't listen, and elsewhere negative. */
function descriptorOf(server: Server): number | undefined {
  const { _handle: handle } = server as { readonly _handle?: { readonly fd?: number } | null }
  const descriptor = handle?.fd ?? -1
  return descriptor < 0 ? undefined : descriptor
}

/** Takes until nothing waits; tells why some may be left. */
function takeAll(native: NativeSockets, listener: number, taken: number[]): string | undefined {
  for (let tries = 0; tries < MAXIMUM_ACCEPTED; tries += 1) {
    const outcome = native.accept(listener)
    if (outcome === -EAGAIN) return undefined
    if (outcome >= 0) taken.push(outcome)
    else if (!TRANSIENT_ERRORS.has(-outcome)) return errorWord(outcome)
  }
  return 'many'
}

function errorWord(outcome: number): string {
  return getSystemErrorName(outcome)
}
