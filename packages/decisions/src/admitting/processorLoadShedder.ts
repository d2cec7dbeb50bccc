/**
 * Decides whether this instance's own processor can serve one more request, and if not, which
 * requests are refused.
 *
 * Load pattern: all callers of a team stay with one weak instance while the team sends twice its
 * usual load. The requests take more processor time than there is, so all work waits in one queue:
 * first events are late, connections to endpoints are not established in time, and requests end at
 * their deadlines that could have been refused at once, so that their callers turn to other
 * instances.
 *
 * Three signals show such a queue:
 *
 * - The delay of a timer: work that is ready waits for as long.
 * - The wait of a new connection: the process accepts one in each turn of its event loop, after all
 *   work that is ready on open connections, so callers may wait unseen for seconds while no timer
 *   is late.
 * - The share of requests whose callers had left before the requests were read.
 *
 * A queue that shows in `STANDING_QUEUE_SAMPLES` samples in a row is standing. While it stands, a
 * growing part of the requests is refused before any of their content is read: the least urgent
 * first, and among equally urgent ones those with the longest answers, which take the most
 * processor time. The part shrinks again once the queue is gone.
 *
 * Inputs: one `ProcessorSample` every `SAMPLE_INTERVAL_MILLISECONDS`, and the priority and answer
 * length in tokens of each request.
 *
 * Limits: a single long delay, as after a pause of the process, refuses nothing. A part of the most
 * urgent work is always admitted, since only served work shows that the processor has recovered.
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'

/** Time between two samples of the signals. */
export const SAMPLE_INTERVAL_MILLISECONDS = 50
/** A queue is standing where this many samples in a row show one: a fifth of a second. */
const STANDING_QUEUE_SAMPLES = 4
/**
 * New connections that wait longer than this form a queue; shorter waits occur with every burst.
 */
const MAXIMUM_ACCEPT_MILLISECONDS = 200
/** Above this share of callers that had left there is a queue; fewer leave of their own accord. */
const ABANDONED_SHARE = 0.1
/**
 * A standing queue of this length delays first events noticeably, compared with the goals of
 * callers, which are some hundreds of milliseconds.
 */
const MAXIMUM_DELAY_MILLISECONDS = 40
/**
 * How much the refused part grows with a sample of a standing queue, and shrinks with any other
 * sample.
 */
const GROWTH = 0.04
const SHRINKAGE = 0.02
/** Largest part of the requests that is refused. */
const MAXIMUM_SHED_SHARE = 0.95
/**
 * Number of recent requests that new ones are ranked against: a second or two of a weak instance's
 * load.
 */
const RECENT_REQUESTS = 64

/** How urgent a request is, and how much processor time it is expected to take. */
export interface ShedRank {
  /** 0 is the most urgent. */
  readonly priority: number
  readonly answerTokens: TokenCount
}

/** One sample of the process. */
export interface ProcessorSample {
  /** How late a timer ran. */
  readonly delayMilliseconds: Milliseconds
  /** How long a new connection waited to be accepted. */
  readonly acceptMilliseconds: Milliseconds
  /** Share of recently read requests whose callers had left before, in [0, 1]. */
  readonly abandonedShare: number
}

/** Sheds load while samples show that the instance's own processor is overloaded. */
export class ProcessorLoadShedder {
  /** Whether each of the last samples showed a queue. */
  private readonly sampledQueues: boolean[] = []
  private readonly recent: ShedRank[] = []
  private part = 0

  /** Records one sample. */
  noteSample(sample: ProcessorSample): void {
    this.sampledQueues.push(showsQueue(sample))
    if (this.sampledQueues.length > STANDING_QUEUE_SAMPLES) this.sampledQueues.shift()
    const hasStandingQueue =
      this.sampledQueues.length === STANDING_QUEUE_SAMPLES && this.sampledQueues.every(Boolean)
    const change = hasStandingQueue ? GROWTH : -SHRINKAGE
    this.part = Math.max(0, Math.min(MAXIMUM_SHED_SHARE, this.part + change))
  }

  /** The part of the requests that is refused at present, in [0, 1]. */
  get shedShare(): number {
    return this.part
  }

  /**
   * Time after which no request is refused any more if there is no standing queue; 0 where none is
   * refused.
   */
  get recoveryMilliseconds(): Milliseconds {
    return (this.part / SHRINKAGE) * SAMPLE_INTERVAL_MILLISECONDS
  }

  /** Whether a request is admitted; `chance` in [0, 1) decides among equals. */
  admits(rank: ShedRank, chance: number): boolean {
    const position = this.positionOf(rank, chance)
    this.recent.push(rank)
    if (this.recent.length > RECENT_REQUESTS) this.recent.shift()
    return position >= this.part
  }

  /** Returns the share of recent requests that are refused before this one. */
  private positionOf(rank: ShedRank, chance: number): number {
    const count = this.recent.length + 1
    const before = this.recent.filter(other => compareRanks(other, rank) < 0).length
    const equal = this.recent.filter(other => compareRanks(other, rank) === 0).length + 1
    return (before + chance * equal) / count
  }
}

function showsQueue(sample: ProcessorSample): boolean {
  const isLate = sample.delayMilliseconds > MAXIMUM_DELAY_MILLISECONDS
  const acceptsLate = sample.acceptMilliseconds > MAXIMUM_ACCEPT_MILLISECONDS
  return isLate || acceptsLate || sample.abandonedShare > ABANDONED_SHARE
}

/** Negative where `left` is refused first. */
function compareRanks(left: ShedRank, right: ShedRank): number {
  return right.priority - left.priority || right.answerTokens - left.answerTokens
}
