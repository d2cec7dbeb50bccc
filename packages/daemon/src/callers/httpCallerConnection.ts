/**
 * A caller's request and answer over HTTP, in the form that the filters of the request pipeline use. Owns whether the
 * caller has disconnected.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type {
  CallerConnection,
  IncomingRequest,
  RefusalFactory,
  RefusedBodyHandler,
} from '@rackwalk/router'

/** The caller's side of one HTTP exchange. */
class HttpCallerConnection implements CallerConnection {
  private readonly controller = new AbortController()

  constructor(
    private readonly response: ServerResponse,
    private readonly refusedBodies: RefusedBodyHandler,
  ) {
    response.once('close', () => {
      if (!response.writableFinished) this.controller.abort()
    })
  }

  get disconnectSignal(): AbortSignal {
    return this.controller.signal
  }

  get hasSentHead(): boolean {
    return this.response.headersSent
  }

  writeHead(status: number, headers: Readonly<Record<string, string>>, isDelimited = true): void {
    if (this.response.destroyed) return
    if (!isDelimited) this.response.useChunkedEncodingByDefault = false
    this.response.writeHead(status, headers)
  }

  refuse(refusal: RefusalFactory): Promise<void> {
    if (this.response.destroyed) return Promise.resolve()
    this.refusedBodies.refuse(this.response, refusal)
    // If the connection is to be closed while the request's body is still arriving, the refusal is written but the
    // answer does not end before the connection does. This call does not wait for that.
    return this.response.writableEnded ? this.firstOf(['finish', 'close']) : Promise.resolve()
  }

  write(chunk: Buffer): boolean {
    // Writing to a caller that has disconnected always succeeds.
    return this.response.destroyed || this.response.write(chunk)
  }

  /**
   * Resolves once the answer is sent or the caller has disconnected. An instance that stops before would interrupt the
   * answer.
   */
  end(chunk?: Buffer): Promise<void> {
    if (this.response.destroyed) return Promise.resolve()
    this.response.end(chunk)
    return this.firstOf(['finish', 'close'])
  }

  destroy(): void {
    // Without chunked encoding, an orderly close would be taken for the end of the answer.
    if (!this.response.useChunkedEncodingByDefault) this.response.socket?.resetAndDestroy()
    this.response.destroy()
  }

  waitForDrain(): Promise<void> {
    if (this.response.destroyed || !this.response.writableNeedDrain) return Promise.resolve()
    return this.firstOf(['drain', 'close'])
  }

  /** Resolves with the first of the events. */
  private firstOf(events: readonly string[]): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        for (const event of events) this.response.off(event, finish)
        resolve()
      }
      for (const event of events) this.response.once(event, finish)
    })
  }
}

/** Converts an HTTP request to the pipeline's form. */
export function incomingRequest(
  request: IncomingMessage,
  response: ServerResponse,
  refusedBodies: RefusedBodyHandler,
): IncomingRequest {
  const headers = new Map<string, string>()
  for (const [name, value] of Object.entries(request.headers)) {
    if (value !== undefined) headers.set(name, Array.isArray(value) ? value.join(', ') : value)
  }
  return {
    method: request.method ?? 'GET',
    requestTarget: request.url ?? '/',
    headers,
    body: request,
    caller: new HttpCallerConnection(response, refusedBodies),
  }
}
