/** What one route of the operator API is made of; routes and their description share it. */

import type { IncomingMessage, ServerResponse } from 'node:http'

/** One operator's request. */
export interface OperatorRequest {
  readonly operator: string
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly url: URL
}

/** Method, path pattern and handler; the description of the API lists the same. */
export interface OperatorRoute {
  readonly method: string
  /** Parts in braces are names. */
  readonly path: string
  /** Called with the names of the path, in their order. */
  readonly handle: (request: OperatorRequest, ...names: string[]) => Promise<void> | void
}
