/**
 * Decides whether this instance's own processor can serve one more request, and if not, which
 * requests are refused.
 *
 * Load pattern: all callers of a team stay with one instance while the team sends twice its usual
 * load. The requests take more processor time than there is, so all work waits in one queue: first
 * events are late, connections to endpoints are not established in time, and requests end at their
 * deadlines. Had these been refused at once, their callers could have turned to other instances.
 *
 * Each of three signals shows such a queue:
 *
 * - The delay of a timer: work that is ready waits for as long.
 * - The wait of a new connection: the process accepts one connection in each turn of its event
 *   loop, after all work that is ready on open connections. So callers may wait for seconds to be
 *   accepted while no timer is late.
 * - The share of requests whose callers had left before the requests were read.
 *
 * The queue is standing where each of the last `STANDING_QUEUE_SAMPLES` samples shows one. While it
 * stands, a growing part of the requests is refused before any of their content is read: the least
 * urgent first, among equally urgent ones new requests before those that were refused before, and
 * among these the ones with the longest answers, which take the most processor time. The part
 * shrinks again once the queue is gone.
 *
 * Inputs: one `ProcessorSample` every `SAMPLE_INTERVAL_MILLISECONDS`; for each request its
 * priority, the length of its answer in tokens and a random number.
 *
 * Limits: a single long delay, such as after a pause of the process, refuses nothing. A part of the
 * most urgent work is always admitted, since only served work shows that the processor has
 * recovered.
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'

/** Time in milliseconds between two samples of the signals. */
export const SAMPLE_INTERVAL_MILLISECONDS = 50
/** Samples in a row that show a queue before it counts as standing: a fifth of a second. */
const STANDING_QUEUE_SAMPLES = 4
/**
 * A new connection that waits longer than this, in milliseconds, shows a queue; shorter waits occur
 * with every burst.
 */
const MAXIMUM_ACCEPT_MILLISECONDS = 200
/**
 * A larger share of callers that had left before their requests were read shows a queue; under
 * normal load a smaller share leaves.
 */
const ABANDONED_SHARE = 0.1
/**
 * A timer that is later than this, in milliseconds, shows a queue. A longer queue delays first
 * events noticeably, compared with the goals of callers, which are some hundreds of milliseconds.
 */
const MAXIMUM_DELAY_MILLISECONDS = 40
/** How much the refused part of the requests grows with each sample while a queue is standing. */
const GROWTH = 0.04
/** How much the refused part shrinks with any other sample. */
const SHRINKAGE = 0.02
/** Largest part of the requests that is refused; the rest shows whether the processor recovers. */
const MAXIMUM_SHED_SHARE = 0.95
/**
 * Number of recent requests that a new one is ranked against: what an instance with a slow
 * processor gets in a second or two.
 */
const RECENT_REQUESTS = 64

/** How urgent a request is, and how much processor time it is expected to take. */
export interface ShedRank {
  /** 0 is the most urgent; larger numbers are less urgent. */
  readonly priority: number
  /** Expected length of the answer. */
  readonly answerTokens: TokenCount
  /** Whether it was refused before and came back as its caller was told; `false` by default. */
  readonly isReturning?: boolean
}

/** One sample of the process. */
export interface ProcessorSample {
  /** How late the timer ran that takes this sample. */
  readonly delayMilliseconds: Milliseconds
  /** How long new connections wait to be accepted. */
  readonly acceptMilliseconds: Milliseconds
  /** Share of recently read requests whose callers had left before, in [0, 1]. */
  readonly abandonedShare: number
}

/** Sheds load while samples show that the instance's own processor is overloaded. */
export class ProcessorLoadShedder {
  /** Whether each of the last samples showed a queue. */
  private readonly sampledQueues: boolean[] = []
  /** Ranks of the latest requests, whether or not they were admitted. */
  private readonly recentRanks: ShedRank[] = []
  private refusedPart = 0

  /** Records one sample. */
  noteSample(sample: ProcessorSample): void {
    this.sampledQueues.push(showsQueue(sample))
    if (this.sampledQueues.length > STANDING_QUEUE_SAMPLES) this.sampledQueues.shift()
    const hasStandingQueue =
      this.sampledQueues.length === STANDING_QUEUE_SAMPLES && this.sampledQueues.every(Boolean)
    const change = hasStandingQueue ? GROWTH : -SHRINKAGE
    this.refusedPart = Math.max(0, Math.min(MAXIMUM_SHED_SHARE, this.refusedPart + change))
  }

  /** The part of the requests that is refused at present, in [0, 1]. */
  get shedShare(): number {
    return this.refusedPart
  }

  /**
   * Time after which no request is refused any more if no sample until then finds a standing queue;
   * 0 where none is refused now.
   */
  get recoveryMilliseconds(): Milliseconds {
    return (this.refusedPart / SHRINKAGE) * SAMPLE_INTERVAL_MILLISECONDS
  }

  /**
   * Whether a request is admitted. `randomFraction`, a random number in [0, 1), decides among
   * requests of the same rank.
   */
  admits(rank: ShedRank, randomFraction: number): boolean {
    const position = this.positionOf(rank, randomFraction)
    this.recentRanks.push(rank)
    if (this.recentRanks.length > RECENT_REQUESTS) this.recentRanks.shift()
    return position >= this.refusedPart
  }

  /**
   * Returns the share of recent requests, this one included, that are to be refused before this
   * one.
   */
  private positionOf(rank: ShedRank, randomFraction: number): number {
    const count = this.recentRanks.length + 1
    const before = this.recentRanks.filter(other => compareRanks(other, rank) < 0).length
    const equal = this.recentRanks.filter(other => compareRanks(other, rank) === 0).length + 1
    return (before + randomFraction * equal) / count
  }
}

function showsQueue(sample: ProcessorSample): boolean {
  const isLate = sample.delayMilliseconds > MAXIMUM_DELAY_MILLISECONDS
  const acceptsLate = sample.acceptMilliseconds > MAXIMUM_ACCEPT_MILLISECONDS
  return isLate || acceptsLate || sample.abandonedShare > ABANDONED_SHARE
}

/** Returns a negative number where `left` is refused first, 0 for equal ranks. */
function compareRanks(left: ShedRank, right: ShedRank): number {
  return (
    right.priority - left.priority ||
    Number(left.isReturning ?? false) - Number(right.isReturning ?? false) ||
    right.answerTokens - left.answerTokens
  )
}
