/**
 * What becomes of the body of a request that is refused before it was read?
 *
 * Load pattern: callers with kept connections are refused and come again at once, each time with a whole body. What is
 * thrown away fills the link like what is served, and the answers of the store and of other instances wait behind it.
 *
 * Limits: the refusal itself goes out at once. Its connection is read again when the link's budget has covered the body,
 * which holds back a caller who comes again at once; one who would be held for too long is told to leave the connection
 * instead, so that no answer waits long behind a refused body. A body whose end nobody knows, that is larger than a
 * connection is worth, or that nobody sends before it is asked for, ends its connection.
 */

import type { Bytes, Milliseconds } from '@rackwalk/shared'

/** A connection is not left unread for longer: a caller may send another request on it. */
const LONGEST_HOLD_MILLISECONDS: Milliseconds = 3_000
/** Connections held or read in vain at a time, so that callers who send slowly can't take all that there are. */
const MOST_UNREAD_BODIES = 512
/** Larger bodies that are still coming are not read to keep their connections, however much the link carries. */
const LARGEST_READ_BYTES: Bytes = 262_144

/** Time within which a refused body has to end, and a caller who was told to leave has to leave. */
export const REFUSED_BODY_MILLISECONDS: Milliseconds = 3_000
/** Bytes that are read of a body whose connection ends. */
export const REFUSED_BODY_BYTES: Bytes = 65_536

/** The body of a request that is refused. */
export interface RefusedBody {
  /** Whether its reading was given up halfway: it is too large, or comes too slowly. */
  readonly isPartlyRead: boolean
  /** Whether its connection ends with the refusal, whatever becomes of it. */
  readonly mustClose: boolean
  /** Whether its size was told ahead. */
  readonly isSizeKnown: boolean
  /** Its size; 0 where it is not known. */
  readonly bytes: Bytes
  /** Whether all of it has arrived. */
  readonly hasArrived: boolean
  /** Whether its caller sends it only when asked to (`100 Continue`). */
  readonly expectsContinue: boolean
  /** Time after which the link's budget has covered it. */
  readonly waitMilliseconds: Milliseconds
}

/** What becomes of a refused body: its connection goes on after a time, or ends. */
export type RefusedBodyDisposition =
  { readonly kind: 'read'; readonly holdMilliseconds: Milliseconds } | { readonly kind: 'close' }

/** Decides on one body; `unreadBodies` are those of other connections that are held or read in vain. */
export function refusedBodyDisposition(
  body: RefusedBody,
  unreadBodies: number,
): RefusedBodyDisposition {
  const { hasArrived, waitMilliseconds } = body
  if (body.mustClose || !isWorthReading(body)) return { kind: 'close' }
  if (waitMilliseconds > LONGEST_HOLD_MILLISECONDS) return { kind: 'close' }
  const isDone = hasArrived && waitMilliseconds === 0
  if (!isDone && unreadBodies >= MOST_UNREAD_BODIES) return { kind: 'close' }
  return { kind: 'read', holdMilliseconds: waitMilliseconds }
}

/** Whether the rest of the body may be read, so that its connection can go on. */
function isWorthReading(body: RefusedBody): boolean {
  if (body.isPartlyRead || body.expectsContinue) return false
  return body.hasArrived || (body.isSizeKnown && body.bytes <= LARGEST_READ_BYTES)
}
