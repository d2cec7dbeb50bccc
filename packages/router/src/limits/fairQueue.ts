/**
 * A queue of requests that wait for a free slot at an endpoint: decides which request is admitted
 * next, and which one is refused when the queue is full. Without the queue, the team that sends
 * most would get most of the slots. Owns the waiting requests of one model or service.
 */

import { ResultCode, deferred } from '@rackwalk/shared'
import type { Clock, Deferred, Milliseconds, TeamId, Timer } from '@rackwalk/shared'

/** Why a queued request was refused. A refused request was not run. */
export type QueueRefusal = ResultCode.Overloaded | ResultCode.DeadlineUnreachable

/** The outcome of queueing, with the time waited. */
export type QueueOutcome =
  | { readonly kind: 'admitted'; readonly waited: Milliseconds }
  | { readonly kind: 'refused'; readonly code: QueueRefusal; readonly waited: Milliseconds }

/** A request to be admitted. */
export interface QueueRequest {
  readonly teamId: TeamId
  readonly weight: number
  /** Priority; a greater number is more urgent. */
  readonly priority: number
  /**
   * Time at which the request is refused if it still waits, on the clock that includes suspensions.
   */
  readonly startDeadline: Milliseconds
  /** Expected cost, in any unit common to all requests. Teams share it by weight. */
  readonly cost: number
}

interface Entry extends QueueRequest {
  /** Virtual time at which the cost of the request is used up; the smallest goes first. */
  readonly finishTag: number
  readonly queuedAt: Milliseconds
  readonly done: Deferred<QueueOutcome>
  timer: Timer | undefined
}

/** Limits of a queue. */
export interface QueueLimits {
  /** Maximum number of waiting requests. */
  readonly maximumQueue: number
  /** Time after which a request that still waits is refused. */
  readonly maximumWaitMilliseconds: Milliseconds
}

/**
 * The queue of one model or service on this instance. Higher priorities go first; within a
 * priority, teams share by weight, by a variant of start-time fair queueing (Goyal 1996): the
 * request with the smallest finish tag goes first, and virtual time is the greatest finish tag
 * admitted from the queue. When the queue is full, a request of the lowest waiting priority is
 * refused at once, from the team with the most waiting requests of that priority for its weight.
 */
export class FairQueue {
  private entries: Entry[] = []
  private virtualTime = 0
  /** Number of requests that were admitted but are not in progress at an endpoint yet. */
  private pendingDispatch = 0
  /** Finish tag of each team's newest request; cleared when the queue is empty. */
  private readonly lastFinish = new Map<TeamId, number>()

  constructor(
    private readonly clock: Clock,
    /**
     * Returns the number of free slots of the endpoints. The slots of requests that were admitted
     * but are not in progress yet still count as free.
     */
    private readonly freeCapacity: () => number,
  ) {}

  get length(): number {
    return this.entries.length
  }

  /** Admits the request at once if there is capacity and no request waits; queues it otherwise. */
  enqueue(demand: QueueRequest, limits: QueueLimits): Promise<QueueOutcome> {
    if (this.entries.length === 0 && this.hasCapacity) {
      this.pendingDispatch += 1
      return Promise.resolve({ kind: 'admitted', waited: 0 })
    }
    const entry = this.createEntry(demand)
    this.entries.push(entry)
    if (this.entries.length > limits.maximumQueue) this.shedOne()
    this.armTimer(entry, limits)
    this.admitWaiting()
    return entry.done.promise
  }

  /**
   * Admits as many waiting requests as there are free slots. Called whenever a slot may have become
   * free.
   */
  admitWaiting(): void {
    while (this.entries.length > 0 && this.hasCapacity) {
      const next = this.entries.reduce(moreUrgent)
      this.pendingDispatch += 1
      this.virtualTime = Math.max(this.virtualTime, next.finishTag)
      this.finish(next, { kind: 'admitted', waited: this.waitedBy(next) })
    }
  }

  /** Records that an admitted request is being sent to an endpoint or will never be sent. */
  noteDispatched(): void {
    this.pendingDispatch -= 1
  }

  private get hasCapacity(): boolean {
    return this.freeCapacity() > this.pendingDispatch
  }

  private createEntry(demand: QueueRequest): Entry {
    const start = Math.max(this.virtualTime, this.lastFinish.get(demand.teamId) ?? 0)
    const finishTag = start + demand.cost / demand.weight
    this.lastFinish.set(demand.teamId, finishTag)
    const queuedAt = this.clock.sinceStart()
    return {
      ...demand,
      finishTag,
      queuedAt,
      done: deferred<QueueOutcome>(),
      timer: undefined,
    }
  }

  private armTimer(entry: Entry, limits: QueueLimits): void {
    if (!this.entries.includes(entry)) return
    const untilLatest = entry.startDeadline - this.clock.sinceStart()
    const isDeadlineFirst = untilLatest < limits.maximumWaitMilliseconds
    const wait = Math.max(0, Math.min(untilLatest, limits.maximumWaitMilliseconds))
    const code = isDeadlineFirst ? ResultCode.DeadlineUnreachable : ResultCode.Overloaded
    entry.timer = this.clock.after(wait, () => this.refuse(entry, code))
  }

  private shedOne(): void {
    const lowest = Math.min(...this.entries.map(entry => entry.priority))
    const leastUrgent = this.entries.filter(entry => entry.priority === lowest)
    const waiting = countByTeam(leastUrgent)
    const share = (entry: Entry) => (waiting.get(entry.teamId) ?? 0) / entry.weight
    // The newest request of the team with the most waiting requests for its weight, since the
    // newest has waited least.
    const victim = leastUrgent.reduce((worst, entry) =>
      share(entry) >= share(worst) ? entry : worst,
    )
    this.refuse(victim, ResultCode.Overloaded)
  }

  private refuse(entry: Entry, code: QueueRefusal): void {
    this.finish(entry, { kind: 'refused', code, waited: this.waitedBy(entry) })
  }

  private finish(entry: Entry, outcome: QueueOutcome): void {
    entry.timer?.cancel()
    this.entries = this.entries.filter(other => other !== entry)
    if (this.entries.length === 0) this.lastFinish.clear()
    entry.done.resolve(outcome)
  }

  private waitedBy(entry: Entry): Milliseconds {
    return this.clock.sinceStart() - entry.queuedAt
  }
}

function moreUrgent(left: Entry, right: Entry): Entry {
  if (left.priority !== right.priority) return left.priority > right.priority ? left : right
  return left.finishTag <= right.finishTag ? left : right
}

function countByTeam(entries: readonly Entry[]): Map<TeamId, number> {
  const counts = new Map<TeamId, number>()
  for (const { teamId } of entries) counts.set(teamId, (counts.get(teamId) ?? 0) + 1)
  return counts
}
