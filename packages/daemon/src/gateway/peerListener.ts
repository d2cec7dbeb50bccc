/**
 * The listener for other instances: short questions, and requests that they hand over since they reach no endpoint. Owns
 * nothing.
 */

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { RELAYED_BY } from '@rackwalk/router'
import { handlePlainRequest } from './gatewayListeners.js'
import type { PlainHandler } from './gatewayListeners.js'

/** Serves a request that the instance of this name handed over. */
export type RelayHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  relayedBy: string,
) => void

/** A peer that sends more slowly keeps no connection with it. */
const CALL_MILLISECONDS = 10_000
/** A request carries the headers of its caller. */
const LONGEST_HEADER_BYTES = 64 * 1024

/** A listener that answers peers' questions and serves what they hand over. */
export function createPeerListener(answer: PlainHandler, relayed: RelayHandler): Server {
  const limits = {
    requestTimeout: CALL_MILLISECONDS,
    headersTimeout: CALL_MILLISECONDS,
    maxHeaderSize: LONGEST_HEADER_BYTES,
    noDelay: true,
  }
  return createServer(limits, (request, response) => {
    const relayedBy = request.headers[RELAYED_BY]
    if (typeof relayedBy === 'string') relayed(request, response, relayedBy)
    else handlePlainRequest(request, response, answer)
  })
}
