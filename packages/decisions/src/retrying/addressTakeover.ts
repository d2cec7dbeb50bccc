/**
 * Decides whether a refusal as misdirected (status 421) proves that another server has taken over an endpoint's address.
 *
 * Inputs: the id of the server that refused, if it names itself; the endpoint's id; whether the last answer from the address
 * was such a refusal as well.
 *
 * | the refusal names  | last answer             | proof |
 * | ------------------ | ----------------------- | ----- |
 * | another server     | any                     | yes   |
 * | no other server    | refused as misdirected  | yes   |
 * | no other server    | any other               | no    |
 *
 * Load pattern: an endpoint that garbles a byte of some answers, which makes a 421 of the 429 of a full endpoint. A proof ends
 * all requests at the endpoint and keeps new ones away until it restarts, so a single refusal without a name is none.
 */

import type { EndpointId } from '@rackwalk/shared'

/** A refusal as misdirected, and what preceded it at the same address. */
export interface MisdirectedRefusal {
  /** Undefined if the server that refused does not name itself. */
  readonly refusedBy: EndpointId | undefined
  readonly endpoint: EndpointId
  /** Whether the last answer from the address refused its request as misdirected. */
  readonly wasMisdirected: boolean
}

/** Whether another server has taken over the endpoint's address. */
export function provesTakeover(refusal: MisdirectedRefusal): boolean {
  const { refusedBy, endpoint, wasMisdirected } = refusal
  const namesAnother = refusedBy !== undefined && refusedBy !== endpoint
  return namesAnother || wasMisdirected
}
