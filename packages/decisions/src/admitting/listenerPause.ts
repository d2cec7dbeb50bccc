/**
 * Decides when an overloaded instance stops accepting new connections for a moment, and for how
 * long.
 *
 * Load pattern: all callers of a team stay with one instance whose processor or link is too slow
 * for them. A refusal with a status does not make them connect elsewhere, and each refused request
 * has cost the instance a connection, a request head and a part of its link. So the instance serves
 * next to no requests while other instances have room. A connection that is not established costs
 * the instance nothing: a caller that knows other addresses connects to one of them, and a caller
 * that knows none leaves the instance time for the other requests.
 *
 * The listener is closed in short pauses with open windows between them. The larger the share of
 * refused requests, the longer the pauses: the listener is to be closed for the same share of the
 * time, but no pause exceeds a limit that begins at `SHORTEST_PAUSE_MILLISECONDS` and doubles with
 * each pause. Open connections are served as before.
 *
 * Inputs: one sample before each possible pause: the share of requests that this instance refuses
 * for reasons of its own, in [0, 1], the number of other active instances that are heard of and how
 * many of them report overload, and a random number in [0, 1). Times are monotonic milliseconds.
 *
 * Limits: each pause is far shorter than the time after which callers and readiness checks consider
 * an instance lost. An instance keeps its listener open while it hears of no other instance, or
 * while more than half of those it hears of are overloaded, since no other instance would serve the
 * callers that it rejects. Before the first pause of an overload the instance waits for
 * `ONSET_MILLISECONDS`, so that reports of other overloaded instances arrive first. Windows vary at
 * random, and so do pauses that are longer than the shortest one and shorter than their limit, so
 * that instances do not all close at the same time.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** An instance that refuses this share of its requests or more becomes overloaded. */
const OVERLOADED_SHARE = 0.2
/**
 * While the instance is overloaded, a sample of this share or more prolongs the overload and allows
 * a pause; a sample below it does neither. The share is lower than `OVERLOADED_SHARE`, so that
 * overload does not begin and end with each burst.
 */
const RELIEVED_SHARE = 0.05
/**
 * An instance counts as overloaded for this long after the last sample that showed overload: a
 * pause lowers the share for a moment, which does not show that the overload is over.
 */
const OVERLOADED_MILLISECONDS: Milliseconds = 2_000
/**
 * An instance is overloaded for this long before its first pause, so that reports of other
 * overloaded instances arrive first.
 */
const ONSET_MILLISECONDS: Milliseconds = 500
/** Mean time for which the listener is open before a sample, and so between two pauses at least. */
const WINDOW_MILLISECONDS: Milliseconds = 250
/** Shortest pause, and the limit of the first pause of an overload. */
const SHORTEST_PAUSE_MILLISECONDS: Milliseconds = 100
/** Factor by which the limit grows with every pause of an overload, whatever the pause's length. */
const PAUSE_LIMIT_GROWTH = 2
/** The limit of a pause grows no further than this. */
const LONGEST_PAUSE_MILLISECONDS: Milliseconds = 1_000
/** Windows, and pauses before they are limited, are up to this share longer or shorter. */
const SPREAD = 0.25
/** The listener stays open while more than this share of the other instances is overloaded. */
const MAXIMUM_OVERLOADED_PEER_SHARE = 0.5

/** The other active instances that this one hears of. */
export interface PeerOverload {
  /** Number of these instances. */
  readonly count: number
  /** Number of those that lately reported overload. */
  readonly overloaded: number
}

/** Decides when an instance closes its listener, and for how long. */
export class ListenerPause {
  /** Time of the last sample that showed overload. */
  private overloadedAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Start of the present overload, or of the last one. */
  private overloadedSince: Milliseconds = Number.POSITIVE_INFINITY
  /** Limit of the next pause. */
  private pauseLimit = SHORTEST_PAUSE_MILLISECONDS
  /** Share of refused requests in the last sample. */
  private refusedShare = 0

  /** Records one sample: the share of requests that this instance refuses. `now` is monotonic. */
  noteRefusedShare(share: number, now: Milliseconds): void {
    const wasOverloaded = this.isOverloaded(now)
    const limit = wasOverloaded ? RELIEVED_SHARE : OVERLOADED_SHARE
    if (share >= limit && !wasOverloaded) this.beginOverload(now)
    if (share >= limit) this.overloadedAt = now
    this.refusedShare = share
  }

  /** Whether this instance is overloaded. */
  isOverloaded(now: Milliseconds): boolean {
    return now - this.overloadedAt < OVERLOADED_MILLISECONDS
  }

  /**
   * Whether the overload lasts and enough other instances are left that can serve the callers that
   * this one rejects.
   */
  mayPause({ count, overloaded }: PeerOverload, now: Milliseconds): boolean {
    const isLasting = this.isOverloaded(now) && now - this.overloadedSince >= ONSET_MILLISECONDS
    return isLasting && count > 0 && overloaded <= MAXIMUM_OVERLOADED_PEER_SHARE * count
  }

  /**
   * Returns how long to close the listener now; 0 where it stays open. The call doubles the limit
   * of the next pause if it returns a pause. `randomFraction` is a random number in [0, 1).
   */
  pauseMilliseconds(others: PeerOverload, now: Milliseconds, randomFraction: number): Milliseconds {
    if (!this.mayPause(others, now) || this.refusedShare < RELIEVED_SHARE) return 0
    // With s = `refusedShare`, a window of length w and then a pause of w * s / (1 - s), the
    // listener is closed for the share s of the time. `EPSILON` avoids a division by 0 for s = 1.
    const mean =
      (WINDOW_MILLISECONDS * this.refusedShare) / Math.max(Number.EPSILON, 1 - this.refusedShare)
    const pause = Math.max(SHORTEST_PAUSE_MILLISECONDS, spread(mean, randomFraction))
    return this.limitPause(pause)
  }

  private limitPause(pause: Milliseconds): Milliseconds {
    const limit = this.pauseLimit
    this.pauseLimit = Math.min(LONGEST_PAUSE_MILLISECONDS, PAUSE_LIMIT_GROWTH * limit)
    return Math.min(limit, pause)
  }

  private beginOverload(now: Milliseconds): void {
    this.overloadedSince = now
    this.pauseLimit = SHORTEST_PAUSE_MILLISECONDS
  }
}

/**
 * Returns how long the listener stays open before the next sample; `randomFraction` is a random
 * number in [0, 1).
 */
export function listenerOpenMilliseconds(randomFraction: number): Milliseconds {
  return spread(WINDOW_MILLISECONDS, randomFraction)
}

function spread(mean: Milliseconds, randomFraction: number): Milliseconds {
  return mean * (1 - SPREAD + 2 * SPREAD * randomFraction)
}
