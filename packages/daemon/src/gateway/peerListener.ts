/**
 * The listener for other instances: it answers short calls and serves requests that they relay because they reach no
 * endpoint. Owns nothing.
 */

import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { RELAYED_BY } from '@rackwalk/router'
import type { Clock } from '@rackwalk/shared'
import { limitPipelining } from '../callers/pipelining.js'
import { PlainCalls } from './gatewayListeners.js'
import type { PlainHandler } from './gatewayListeners.js'

/** Serves a request that was relayed by the instance of this name. */
export type RelayHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  relayedBy: string,
) => void

/** A peer that takes longer to send a call is disconnected. */
const CALL_MILLISECONDS = 10_000
/** A relayed request carries the headers of its caller. */
const LONGEST_HEADER_BYTES = 64 * 1024

/** Creates a listener that answers peers' calls and serves the requests that they relay. */
export function createPeerListener(
  answer: PlainHandler,
  relayed: RelayHandler,
  clock: Clock,
): Server {
  const limits = {
    requestTimeout: CALL_MILLISECONDS,
    headersTimeout: CALL_MILLISECONDS,
    maxHeaderSize: LONGEST_HEADER_BYTES,
    noDelay: true,
  }
  const calls = new PlainCalls(answer, clock)
  const handle = limitPipelining((request, response) => {
    const relayedBy = request.headers[RELAYED_BY]
    if (typeof relayedBy === 'string') relayed(request, response, relayedBy)
    else calls.handle(request, response)
  })
  return createServer(limits, handle)
}
