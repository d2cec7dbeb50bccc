/**
 * Does this instance's own processor bear one more request, and if not, which are let go?
 *
 * Load pattern: all callers of a team stay with one weak instance while the team sends twice its usual.
 * What comes takes more processor time than there is, so everything waits in one queue: first events are
 * late, connections to endpoints are not made in time, and requests end at their deadlines that could
 * have been refused at once, so that their callers turn elsewhere.
 *
 * Three signs tell of it. The delay of a timer: work that is ready waits for as long. The wait of new connections: the
 * process takes one in each turn of its loop, after all that is ready on those it has, so callers wait before
 * it unseen, for seconds where no timer is late. And callers that had left before their requests were read. A queue
 * that does not empty for some looks in a row stands, and then a growing part of the requests is refused before
 * anything of them is read: the least urgent first, and of equally urgent ones those with the longest answers,
 * which take the most of the processor. The part shrinks again once the queue is gone.
 *
 * Limits: a single long delay, as of a process that was paused, refuses nothing; a part of the most
 * urgent work is always taken, since only work tells that the processor bears it again.
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'

/** Time between two looks at the signs. */
export const SAMPLE_INTERVAL_MILLISECONDS = 50
/** A queue stands where each of so many looks shows it: a fifth of a second. */
const STANDING_QUEUE_SAMPLES = 4
/** New connections that wait so long make a queue; shorter waits come with every burst. */
const LONGEST_ACCEPT_MILLISECONDS = 200
/** Above this share of callers that had left a queue stands: more than those who leave by themselves. */
const ABANDONED_SHARE = 0.1
/**
 * A standing queue of this length delays first events noticeably beside the goals of callers, which are
 * some hundreds of milliseconds.
 */
const LONGEST_DELAY_MILLISECONDS = 40
/** By how much the part that is let go grows with a look at a standing queue, and shrinks without. */
const GROWTH = 0.04
const SHRINKAGE = 0.02
/** At most this part is let go. */
const MAXIMUM_SHED_SHARE = 0.95
/** Requests by which the usual work is known: a second or two of a weak instance. */
const REMEMBERED_REQUESTS = 64

/** How much a request's caller would lose, and what it takes. */
export interface ShedRank {
  /** 0 is the most urgent. */
  readonly priority: number
  readonly answerTokens: TokenCount
}

/** What one look shows of the process. */
export interface ProcessorSample {
  /** A timer ran so much later than it was set. */
  readonly delayMilliseconds: Milliseconds
  /** A new connection waited so long to be taken. */
  readonly acceptMilliseconds: Milliseconds
  /** Share of the requests read lately whose callers had left before, in [0, 1]. */
  readonly abandonedShare: number
}

/** What the own processor still bears, by what looks showed. */
export class ProcessorLoadShedder {
  /** Whether each of the last looks showed a queue. */
  private readonly queued: boolean[] = []
  private readonly recent: ShedRank[] = []
  private part = 0

  /** Call it at each look. */
  noteSample(look: ProcessorSample): void {
    this.queued.push(showsQueue(look))
    if (this.queued.length > STANDING_QUEUE_SAMPLES) this.queued.shift()
    const isStanding = this.queued.length === STANDING_QUEUE_SAMPLES && this.queued.every(Boolean)
    const change = isStanding ? GROWTH : -SHRINKAGE
    this.part = Math.max(0, Math.min(MAXIMUM_SHED_SHARE, this.part + change))
  }

  /** The part of the requests that is let go at present, in [0, 1]. */
  get shedShare(): number {
    return this.part
  }

  /** Time after which nothing is let go any more if no queue stands; 0 where nothing is. */
  get recoveryMilliseconds(): Milliseconds {
    return (this.part / SHRINKAGE) * SAMPLE_INTERVAL_MILLISECONDS
  }

  /** Whether a request is taken; `chance` in [0, 1) decides among equals. */
  admits(rank: ShedRank, chance: number): boolean {
    const position = this.positionOf(rank, chance)
    this.recent.push(rank)
    if (this.recent.length > REMEMBERED_REQUESTS) this.recent.shift()
    return position >= this.part
  }

  /** The share of recent requests that are let go before this one. */
  private positionOf(rank: ShedRank, chance: number): number {
    const count = this.recent.length + 1
    const before = this.recent.filter(other => compareRanks(other, rank) < 0).length
    const equal = this.recent.filter(other => compareRanks(other, rank) === 0).length + 1
    return (before + chance * equal) / count
  }
}

function showsQueue(look: ProcessorSample): boolean {
  const isLate = look.delayMilliseconds > LONGEST_DELAY_MILLISECONDS
  const waitsUnseen = look.acceptMilliseconds > LONGEST_ACCEPT_MILLISECONDS
  return isLate || waitsUnseen || look.abandonedShare > ABANDONED_SHARE
}

/** Negative where `left` is let go first. */
function compareRanks(left: ShedRank, right: ShedRank): number {
  return right.priority - left.priority || right.answerTokens - left.answerTokens
}
