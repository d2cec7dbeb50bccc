/**
 * Should an instance that gets more than it bears take no new connections for a moment?
 *
 * Load pattern: all callers of a team stay with one weak instance. A refusal with a status does not move them, and
 * each refused request has cost the instance a connection, a head and a part of its link, so what it serves falls to
 * next to nothing while the others have room. A connection that does not come up costs it nothing: a caller that
 * knows other addresses goes to one of them, and one that stays leaves it the time to serve the rest.
 *
 * The listener is closed in short pauses between open windows; the larger the share of the requests that is
 * refused, the longer the pauses. Open connections are served on.
 *
 * Limits: each pause is far shorter than callers and readiness checks take an instance for lost by; an
 * instance keeps its listener open while it hears nobody, or while half of those whom it hears are overloaded
 * themselves, since callers that are turned away there would be served nowhere. It waits until it has heard whether they
 * are, and begins with short pauses; pauses and windows vary. So instances do not all close together.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** An instance that refuses this share of the requests gets more than it bears. */
const OVERLOADED_SHARE = 0.2
/** Pauses end below this share: hysteresis keeps the listener from closing and opening with each burst. */
const RELIEVED_SHARE = 0.05
/** An instance stays overloaded for so long after its last sign of it, since a pause relieves it for a moment. */
const OVERLOADED_MILLISECONDS: Milliseconds = 2_000
/** An instance has been overloaded for so long before its first pause, so that others who are overloaded as well are heard first. */
const ONSET_MILLISECONDS: Milliseconds = 500
/** Mean time for which the listener is open between two pauses. */
const WINDOW_MILLISECONDS: Milliseconds = 250
/** The first pause lasts no longer than this, and each may be twice as long as the one before it. */
const SHORTEST_PAUSE_MILLISECONDS: Milliseconds = 100
const GROWTH = 2
const LONGEST_PAUSE_MILLISECONDS: Milliseconds = 1_000
/** Windows and pauses are up to this share longer or shorter. */
const SPREAD = 0.25
/** The listener stays open where more than this share of the others is overloaded too. */
const LARGEST_OVERLOADED_FLEET = 0.5

/** The other instances that take callers and are heard of. */
export interface PeerOverload {
  readonly count: number
  /** Those that said lately that they get more than they bear. */
  readonly overloaded: number
}

/** When an instance closes its listener, and for how long. */
export class ListenerPause {
  private overloadedAt: Milliseconds = Number.NEGATIVE_INFINITY
  private overloadedSince: Milliseconds = Number.POSITIVE_INFINITY
  private longestPause = SHORTEST_PAUSE_MILLISECONDS
  private share = 0

  /** Call it at each look; `share` of the requests is refused, and `now` is monotonic. */
  noteRefusedShare(share: number, now: Milliseconds): void {
    const wasOverloaded = this.isOverloaded(now)
    const limit = wasOverloaded ? RELIEVED_SHARE : OVERLOADED_SHARE
    if (share >= limit && !wasOverloaded) this.beginOverload(now)
    if (share >= limit) this.overloadedAt = now
    this.share = share
  }

  /** Whether this instance gets more than it bears. */
  isOverloaded(now: Milliseconds): boolean {
    return now - this.overloadedAt < OVERLOADED_MILLISECONDS
  }

  /** Whether callers who are turned away are served elsewhere. */
  mayPause({ count, overloaded }: PeerOverload, now: Milliseconds): boolean {
    const isLasting = this.isOverloaded(now) && now - this.overloadedSince >= ONSET_MILLISECONDS
    return isLasting && count > 0 && overloaded <= LARGEST_OVERLOADED_FLEET * count
  }

  /** How long to close the listener now; 0 where it stays open. `chance` is in [0, 1). */
  pauseMilliseconds(others: PeerOverload, now: Milliseconds, chance: number): Milliseconds {
    if (!this.mayPause(others, now) || this.share < RELIEVED_SHARE) return 0
    const mean = (WINDOW_MILLISECONDS * this.share) / Math.max(Number.EPSILON, 1 - this.share)
    const pause = Math.max(SHORTEST_PAUSE_MILLISECONDS, spread(mean, chance))
    return this.limited(pause)
  }

  private limited(pause: Milliseconds): Milliseconds {
    const limit = this.longestPause
    this.longestPause = Math.min(LONGEST_PAUSE_MILLISECONDS, GROWTH * limit)
    return Math.min(limit, pause)
  }

  private beginOverload(now: Milliseconds): void {
    this.overloadedSince = now
    this.longestPause = SHORTEST_PAUSE_MILLISECONDS
  }
}

/** How long the listener is open before the next look. */
export function listenerOpenMilliseconds(chance: number): Milliseconds {
  return spread(WINDOW_MILLISECONDS, chance)
}

function spread(mean: Milliseconds, chance: number): Milliseconds {
  return mean * (1 - SPREAD + 2 * SPREAD * chance)
}
