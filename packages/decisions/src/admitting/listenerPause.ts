/**
 * Decides whether an overloaded instance stops accepting new connections for a moment, and for how
 * long.
 *
 * Load pattern: all callers of a team stay with one weak instance. A refusal with a status does not
 * make them move, and each refused request has cost the instance a connection, a request head and a
 * part of its link, so the requests it serves fall to next to nothing while other instances have
 * room. A connection that is not established costs the instance nothing: a caller that knows other
 * addresses connects to one of them, and a caller that does not leaves the instance time to serve
 * the rest.
 *
 * The listener is closed in short pauses between open windows; the larger the share of refused
 * requests, the longer the pauses. Open connections are served as before.
 *
 * Inputs: the share of requests that this instance refuses for reasons of its own, in [0, 1], and
 * how many of the other active instances are heard of and report overload. Times are monotonic
 * milliseconds.
 *
 * Limits: each pause is far shorter than the time after which callers and readiness checks consider
 * an instance lost. An instance keeps its listener open while it hears of no other instance, or
 * while more than half of those it hears of are overloaded themselves, since callers that it
 * rejected would be served nowhere. It waits long enough to hear whether others are overloaded
 * before its first pause, begins with short pauses, and varies pauses and windows, so that
 * instances do not all close at the same time.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** An instance that refuses this share of its requests is overloaded. */
const OVERLOADED_SHARE = 0.2
/**
 * Pauses end below this share: hysteresis keeps the listener from closing and opening with each
 * burst.
 */
const RELIEVED_SHARE = 0.05
/**
 * An instance counts as overloaded for this long after the last sample that showed it, since a
 * pause relieves it for a moment.
 */
const OVERLOADED_MILLISECONDS: Milliseconds = 2_000
/**
 * An instance is overloaded for this long before its first pause, so that reports of other
 * overloaded instances arrive first.
 */
const ONSET_MILLISECONDS: Milliseconds = 500
/** Mean time for which the listener is open between two pauses. */
const WINDOW_MILLISECONDS: Milliseconds = 250
/**
 * The first pause lasts no longer than this, and each later one at most `GROWTH` times the one
 * before it.
 */
const SHORTEST_PAUSE_MILLISECONDS: Milliseconds = 100
const GROWTH = 2
const LONGEST_PAUSE_MILLISECONDS: Milliseconds = 1_000
/** Windows and pauses are up to this share longer or shorter. */
const SPREAD = 0.25
/** The listener stays open where more than this share of the other instances is overloaded too. */
const LARGEST_OVERLOADED_FLEET = 0.5

/** The other active instances that this one hears of. */
export interface PeerOverload {
  readonly count: number
  /** Instances that lately reported overload. */
  readonly overloaded: number
}

/** Decides when an instance closes its listener, and for how long. */
export class ListenerPause {
  private overloadedAt: Milliseconds = Number.NEGATIVE_INFINITY
  private overloadedSince: Milliseconds = Number.POSITIVE_INFINITY
  private longestPause = SHORTEST_PAUSE_MILLISECONDS
  private share = 0

  /** Records one sample: the share of requests that this instance refuses. `now` is monotonic. */
  noteRefusedShare(share: number, now: Milliseconds): void {
    const wasOverloaded = this.isOverloaded(now)
    const limit = wasOverloaded ? RELIEVED_SHARE : OVERLOADED_SHARE
    if (share >= limit && !wasOverloaded) this.beginOverload(now)
    if (share >= limit) this.overloadedAt = now
    this.share = share
  }

  /** Whether this instance is overloaded. */
  isOverloaded(now: Milliseconds): boolean {
    return now - this.overloadedAt < OVERLOADED_MILLISECONDS
  }

  /**
   * Whether overload lasts and callers that are rejected here would be served by other instances.
   */
  mayPause({ count, overloaded }: PeerOverload, now: Milliseconds): boolean {
    const isLasting = this.isOverloaded(now) && now - this.overloadedSince >= ONSET_MILLISECONDS
    return isLasting && count > 0 && overloaded <= LARGEST_OVERLOADED_FLEET * count
  }

  /** Returns how long to close the listener now; 0 where it stays open. `chance` is in [0, 1). */
  pauseMilliseconds(others: PeerOverload, now: Milliseconds, chance: number): Milliseconds {
    if (!this.mayPause(others, now) || this.share < RELIEVED_SHARE) return 0
    const mean = (WINDOW_MILLISECONDS * this.share) / Math.max(Number.EPSILON, 1 - this.share)
    const pause = Math.max(SHORTEST_PAUSE_MILLISECONDS, spread(mean, chance))
    return this.limitPause(pause)
  }

  private limitPause(pause: Milliseconds): Milliseconds {
    const limit = this.longestPause
    this.longestPause = Math.min(LONGEST_PAUSE_MILLISECONDS, GROWTH * limit)
    return Math.min(limit, pause)
  }

  private beginOverload(now: Milliseconds): void {
    this.overloadedSince = now
    this.longestPause = SHORTEST_PAUSE_MILLISECONDS
  }
}

/** Returns how long the listener stays open before the next sample; `chance` is in [0, 1). */
export function listenerOpenMilliseconds(chance: number): Milliseconds {
  return spread(WINDOW_MILLISECONDS, chance)
}

function spread(mean: Milliseconds, chance: number): Milliseconds {
  return mean * (1 - SPREAD + 2 * SPREAD * chance)
}
