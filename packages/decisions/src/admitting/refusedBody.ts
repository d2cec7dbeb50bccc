/**
 * Decides what happens to the body of a request that is refused before its whole body was read, and
 * to the connection.
 *
 * Load pattern: callers that keep their connections open are refused and retry at once, each time
 * with a whole body. Discarded bodies fill the link as much as admitted ones, and answers of the
 * store and of other instances queue behind them.
 *
 * Inputs: the body's size in bytes, where it is known; whether the whole body has arrived; whether
 * reading it was stopped midway; whether its caller awaits `100 Continue`; whether the connection
 * ends with the refusal in any case; the time in milliseconds after which the link's budget has
 * covered the body (`LinkBandwidthBudget`); and the number of other unread bodies.
 *
 * Limits: the refusal itself is sent at once. The connection is read again only once the link's
 * budget has covered the body, which holds back a caller that retries at once. In these cases the
 * connection is closed instead:
 *
 * - The connection, and with it the caller's next request, would stay unread for longer than
 *   `MAXIMUM_HOLD_MILLISECONDS`.
 * - `MAXIMUM_UNREAD_BODIES` other refused bodies are unread, and this one has not arrived or is not
 *   covered yet.
 * - Reading the body was stopped midway.
 * - The body has not arrived, and its size is unknown or above `MAXIMUM_READ_BYTES`.
 * - The caller sends the body only after `100 Continue`.
 * - The connection ends with the refusal in any case (`mustClose`).
 */

import type { Bytes, Milliseconds } from '@rackwalk/shared'

/**
 * Longest time for which a connection is left unread: its caller may send another request on the
 * connection, which then waits as well.
 */
const MAXIMUM_HOLD_MILLISECONDS: Milliseconds = 3_000
/**
 * Number of connections that are left unread, or whose refused bodies are being read, from which
 * further connections are closed, so that slow callers cannot take up all connections. It is no
 * upper limit: a connection that is being closed counts too while its body arrives.
 */
const MAXIMUM_UNREAD_BODIES = 512
/** Connections are not kept for larger bodies that are still arriving, however fast the link is. */
const MAXIMUM_READ_BYTES: Bytes = 262_144

/**
 * Time within which a refused body has to end, counted from the end of the hold, and within which a
 * caller that was told to close its connection has to do so, counted from the refusal. The
 * connection is destroyed otherwise.
 */
export const REFUSED_BODY_MILLISECONDS: Milliseconds = 3_000
/** Largest number of bytes that are read of a body whose connection is to be closed. */
export const REFUSED_BODY_BYTES: Bytes = 65_536

/** The body of a request that is refused. */
export interface RefusedBody {
  /** Whether reading the body was stopped midway because it is too large or arrives too slowly. */
  readonly isPartlyRead: boolean
  /** Whether the connection ends with the refusal, whatever happens to the body. */
  readonly mustClose: boolean
  /** Whether the size was announced ahead of the body. */
  readonly isSizeKnown: boolean
  /** Size of the body; 0 where it is not known. */
  readonly bytes: Bytes
  /** Whether the whole body has arrived. */
  readonly hasArrived: boolean
  /** Whether the caller sends the body only when asked to (`100 Continue`). */
  readonly expectsContinue: boolean
  /** Time after which the link's budget has covered the body. */
  readonly waitMilliseconds: Milliseconds
}

/**
 * What happens to the connection of a refused body: the connection is read again after
 * `holdMilliseconds`, or closed.
 */
export type RefusedBodyDisposition =
  { readonly kind: 'read'; readonly holdMilliseconds: Milliseconds } | { readonly kind: 'close' }

/**
 * Returns what happens to the connection of one refused body. `unreadBodies` is the number of other
 * connections that are left unread or whose refused bodies are being read.
 */
export function refusedBodyDisposition(
  body: RefusedBody,
  unreadBodies: number,
): RefusedBodyDisposition {
  const { hasArrived, waitMilliseconds } = body
  if (body.mustClose || !isWorthReading(body)) return { kind: 'close' }
  if (waitMilliseconds > MAXIMUM_HOLD_MILLISECONDS) return { kind: 'close' }
  const isSettled = hasArrived && waitMilliseconds === 0
  if (!isSettled && unreadBodies >= MAXIMUM_UNREAD_BODIES) return { kind: 'close' }
  return { kind: 'read', holdMilliseconds: waitMilliseconds }
}

/** Whether the rest of the body may be read, so that the connection can be kept. */
function isWorthReading(body: RefusedBody): boolean {
  if (body.isPartlyRead || body.expectsContinue) return false
  return body.hasArrived || (body.isSizeKnown && body.bytes <= MAXIMUM_READ_BYTES)
}
