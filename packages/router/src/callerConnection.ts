/**
 * The caller's side of a request of the OpenAI-style kind, apart from what carries it: filters write to it
 * and learn from it that the caller has left.
 */

import type { Readable } from 'node:stream'
import type { RefusalFactory } from './refusedBodyHandler.js'

/** A caller's side of one request, whatever carries it. */
export interface CallerConnection {
  /** Aborts when the caller is gone. */
  readonly disconnectSignal: AbortSignal
  /**
   * Sends the status and headers; once. An answer that is not delimited ends with the caller's connection, so that
   * nothing says that it is whole.
   */
  writeHead(status: number, headers: Readonly<Record<string, string>>, isDelimited?: boolean): void
  /** Answers without the request's body, of which no more is read than the link bears; resolves as `end` does. */
  refuse(refusal: RefusalFactory): Promise<void>
  /** Whether an answer has begun. */
  readonly hasSentHead: boolean
  /** Sends bytes; false when the caller's side should first be allowed to drain. */
  write(chunk: Buffer): boolean
  /** Resolves when more can be sent, or the caller left. */
  waitForDrain(): Promise<void>
  /** Ends the answer; resolves when all of it was handed to the network, or the caller left. */
  end(chunk?: Buffer): Promise<void>
  /** Breaks the connection off, so that an answer cut short is not taken for a whole one. */
  destroy(): void
}

/** A request as it arrived. */
export interface IncomingRequest {
  readonly method: string
  /** Path and query. */
  readonly requestTarget: string
  /** Lower-case names; the first value of each. */
  readonly headers: ReadonlyMap<string, string>
  /** The body; it can be read once. */
  readonly body: Readable
  readonly caller: CallerConnection
}
