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
 * | other requests from here go on there                  |                   | yes            |
 * | takes the question and closes, fails, or is silent    | an end, if twice  |                |
 * | no connection comes up: a cut, no power, a full queue | nothing           |                |
 *
 * Limits: two looks in a row must say the same, since one may meet a full endpoint or a lost packet. What is asked takes
 * no slot at an engine, so a full one answers it.
 */

/** What one look at an address shows. */
export type EndSign = 'nobody-listens' | 'lives' | 'does-not-answer' | 'no-connection'

/** What is believed of the endpoint. */
export type EndVerdict = 'ended' | 'lives' | 'look-again' | 'unknown'

/** Looks that must say the same before it counts. */
const LOOKS_THAT_COUNT = 2

/** By the looks so far, the newest last, and whether anything else came from it since the break. */
export function judgeEnd(looks: readonly EndSign[], wasHeardSince: boolean): EndVerdict {
  const newest = looks.at(-1)
  if (newest === 'nobody-listens') return 'ended'
  if (newest === 'lives' || wasHeardSince) return 'lives'
  if (newest === 'no-connection') return 'unknown'
  const sames = looks.slice(-LOOKS_THAT_COUNT).filter(look => look === 'does-not-answer')
  return sames.length === LOOKS_THAT_COUNT ? 'ended' : 'look-again'
}
