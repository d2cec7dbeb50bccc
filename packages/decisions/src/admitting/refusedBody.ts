/**
 * Decides what happens to the body of a request that is refused before the body was read, and to
 * its connection.
 *
 * Load pattern: callers with kept connections are refused and retry at once, each time with a whole
 * body. Discarded bodies fill the link as much as admitted ones, and answers of the store and of
 * other instances queue behind them.
 *
 * Inputs: what is known of the body (size in bytes, how much has arrived), the time in milliseconds
 * after which the link's budget has covered it (`LinkBandwidthBudget`), and the number of other
 * unread bodies.
 *
 * Limits: the refusal itself is sent at once. The connection is read again once the link's budget
 * has covered the body, which holds back a caller that retries at once. A caller that would be held
 * for too long is told to close the connection instead, so that no answer waits long behind a
 * refused body. The connection also ends where the end of the body is unknown, where the body is
 * larger than keeping a connection is worth, or where the caller sends the body only when asked to.
 */

import type { Bytes, Milliseconds } from '@rackwalk/shared'

/** Longest time for which a connection is left unread: a caller may send another request on it. */
const MAXIMUM_HOLD_MILLISECONDS: Milliseconds = 3_000
/**
 * Connections that are held, or whose refused bodies are being read, at a time, so that slow
 * callers cannot take up all connections.
 */
const MAXIMUM_UNREAD_BODIES = 512
/**
 * Larger bodies that are still arriving are not read to keep their connections, however much the
 * link carries.
 */
const MAXIMUM_READ_BYTES: Bytes = 262_144

/**
 * Time within which a refused body has to end, and a caller that was told to close its connection
 * has to close it.
 */
export const REFUSED_BODY_MILLISECONDS: Milliseconds = 3_000
/** Bytes that are read of a body whose connection ends. */
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

/** Whether the connection of a refused body is read again after a time, or closed. */
export type RefusedBodyDisposition =
  { readonly kind: 'read'; readonly holdMilliseconds: Milliseconds } | { readonly kind: 'close' }

/**
 * Decides on one body; `unreadBodies` counts other connections that are held or whose refused
 * bodies are being read.
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

/** Whether the rest of the body may be read, so that its connection can be kept. */
function isWorthReading(body: RefusedBody): boolean {
  if (body.isPartlyRead || body.expectsContinue) return false
  return body.hasArrived || (body.isSizeKnown && body.bytes <= MAXIMUM_READ_BYTES)
}
