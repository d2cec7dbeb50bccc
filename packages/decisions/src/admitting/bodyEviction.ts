/**
 * Decides which request bodies are given up when the memory for bodies is in use.
 *
 * Load pattern: callers that are not under control send many bodies of legal size at once, whole or piece by piece, and
 * most of them stop short of the end and stay connected. Without a bound the process runs out of memory; with a bound
 * alone, bodies that never end would occupy the memory, and other callers would be refused until a time limit ends them.
 *
 * Inputs: the bodies that are held, the oldest first, with the bytes that each occupies and whether it has arrived
 * completely; and the bytes that one of them needs in addition.
 *
 * | body                                              | is given up                              |
 * | ------------------------------------------------- | ---------------------------------------- |
 * | has arrived completely, its request is in progress | never                                    |
 * | is still arriving                                 | the oldest first, as many as are needed  |
 * | asks for the memory                               | if the others that may be given up do not suffice |
 * | is the only one that occupies memory               | never, so that each legal body is served alone |
 *
 * Limits: ordinary bodies arrive within milliseconds, so they are younger than bodies that stay short of their end.
 */

import type { Bytes } from '@rackwalk/shared'

/** A body that occupies memory. */
export interface HeldBody {
  readonly bytes: Bytes
  readonly hasArrived: boolean
}

/**
 * Returns the bodies to give up so that `asking` gets `missing` more bytes: `asking` alone if giving up all others that
 * are still arriving would not suffice. `held` is ordered from the oldest to the newest body.
 */
export function bodiesToGiveUp<Body extends HeldBody>(
  held: Iterable<Body>,
  asking: Body,
  missing: Bytes,
): readonly Body[] {
  const givenUp: Body[] = []
  let freed: Bytes = 0
  let isAlone = true
  for (const body of held) {
    if (freed >= missing) break
    if (body === asking || body.bytes === 0) continue
    isAlone = false
    if (body.hasArrived) continue
    givenUp.push(body)
    freed += body.bytes
  }
  return freed >= missing || isAlone ? givenUp : [asking]
}
