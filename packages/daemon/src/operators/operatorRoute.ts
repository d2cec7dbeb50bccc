/** The type of an operator API route, shared by the routes and their description. */

import type { IncomingMessage, ServerResponse } from 'node:http'

/** One operator's request. */
export interface OperatorRequest {
  readonly operator: string
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly url: URL
}

/** Method, path pattern and handler; the API description is generated from the same routes. */
export interface OperatorRoute {
  readonly method: string
  /** Segments in braces are parameters. */
  readonly path: string
  /** Called with the path's parameters, in their order. */
  readonly handle: (request: OperatorRequest, ...names: string[]) => Promise<void> | void
}
