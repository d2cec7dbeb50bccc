/**
 * Has an endpoint ended that broke a request off before any part of an answer?
 *
 * Load pattern: a request ends what begins to run it, and comes again. Where nobody listens afterwards one look tells; but
 * an API server may live on beside its dead engine, a sidecar or a load balancer accepts for it, a supervisor holds the
 * socket. Then the address goes on taking connections, and every request that is sent there is lost. On the other side a
 * sound endpoint resets a connection when it is full, and a grey one breaks requests off while it lives.
 *
 * | sign                                                  | proves            | refutes an end |
 * | ----------------------------------------------------- | ----------------- | -------------- |
 * | nobody listens                                        | an end            |                |
 * | it tells its state                                    |                   | yes            |
 * | a report of its state that was asked for after the break |                | yes            |
 * | other requests' bytes, read after the first look was over |               | yes            |
 * | the same, read before                                 | nothing           |                |
 * | takes the question and closes, fails, or is silent    | an end, if twice  |                |
 * | no connection comes up: a cut, no power, a full queue | nothing           |                |
 * | the same, and another instance tells of the end       | an end            |                |
 *
 * Limits: two looks in a row must say the same, since one may meet a full endpoint or a lost packet. What is asked takes
 * no slot at an engine, so a full one answers it. What left before the end may be read after the break: the first look goes
 * there and back, which lets it be read before, but not what a caller who reads slowly holds up.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** What one look at an address shows. */
export type ProbeResult = 'nobody-listens' | 'lives' | 'does-not-answer' | 'no-connection'

/** What is believed of the endpoint. */
export type LivenessVerdict = 'ended' | 'lives' | 'look-again' | 'unknown'

/** Looks that must say the same before it counts. */
const REQUIRED_PROBES = 2

/**
 * What left an endpoint before its end is read within this time, where no look at it says when: a busy processor reads
 * nothing for a good part of it.
 */
const READ_DELAY_MILLISECONDS: Milliseconds = 1_000

/** When something last came from an endpoint; monotonic. */
export interface LastContactTimes {
  /** When the newest report of its state was asked for. */
  readonly askedAt: Milliseconds
  /** When bytes of any request were last read. */
  readonly readAt: Milliseconds
}

/** A break at which it is looked; monotonic. */
interface ProbedReset {
  readonly brokenAt: Milliseconds
  /** When the first look was over. */
  readonly lookedAt: Milliseconds
}

/** Whether what came from an endpoint proves that it lived after a break. */
export function wasAliveAfterReset(
  { brokenAt, lookedAt }: ProbedReset,
  heard: LastContactTimes,
): boolean {
  return heard.askedAt > brokenAt || heard.readAt > lookedAt
}

/** A time at which an endpoint certainly lived, by what came from it. */
export function lastAliveAt({ askedAt, readAt }: LastContactTimes): Milliseconds {
  return Math.max(askedAt, readAt - READ_DELAY_MILLISECONDS)
}

/**
 * By the looks so far, the newest last, whether anything else came from it since the break, and whether another instance
 * told that it has ended.
 */
export function judgeLiveness(
  looks: readonly ProbeResult[],
  wasHeardSince: boolean,
  wasTold = false,
): LivenessVerdict {
  const newest = looks.at(-1)
  if (newest === 'nobody-listens') return 'ended'
  if (newest === 'lives' || wasHeardSince) return 'lives'
  if (newest === 'no-connection') return wasTold ? 'ended' : 'unknown'
  const sames = looks.slice(-REQUIRED_PROBES).filter(look => look === 'does-not-answer')
  return sames.length === REQUIRED_PROBES ? 'ended' : 'look-again'
}
