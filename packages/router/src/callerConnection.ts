/**
 * The caller's side of a request of the OpenAI-style kind, independent of the transport. Filters
 * write the answer to the caller's connection, which also signals that the caller has disconnected.
 */

import type { Readable } from 'node:stream'
import type { RefusalFactory } from './refusedBodyHandler.js'

/** The caller's side of one request, independent of the transport. */
export interface CallerConnection {
  /** Aborts when the caller disconnects. */
  readonly disconnectSignal: AbortSignal
  /**
   * Sends the status and headers; to be called once. The end of an answer that is not delimited is
   * the end of the caller's connection, so the caller cannot tell whether the answer is complete.
   */
  writeHead(status: number, headers: Readonly<Record<string, string>>, isDelimited?: boolean): void
  /**
   * Sends a refusal without waiting for the request's body, of which no more is read than the
   * bandwidth budget of this instance's link allows. Resolves like `end`.
   */
  refuse(refusal: RefusalFactory): Promise<void>
  /** Whether the head of an answer has been sent. */
  readonly hasSentHead: boolean
  /** Sends bytes. Returns false if the caller's buffer should drain first. */
  write(chunk: Buffer): boolean
  /** Resolves when more can be sent or the caller has disconnected. */
  waitForDrain(): Promise<void>
  /**
   * Ends the answer. Resolves when all of it was handed to the network or the caller has
   * disconnected.
   */
  end(chunk?: Buffer): Promise<void>
  /** Destroys the connection, so that a truncated answer is not mistaken for a complete one. */
  destroy(): void
}

/** A request as received. */
export interface IncomingRequest {
  readonly method: string
  /** Path and query string. */
  readonly requestTarget: string
  /** First value of each header, by lower-case name. */
  readonly headers: ReadonlyMap<string, string>
  /** The body, which can be read only once. */
  readonly body: Readable
  readonly caller: CallerConnection
}
