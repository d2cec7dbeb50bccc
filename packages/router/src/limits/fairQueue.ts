/**
 * A queue of requests that wait for an endpoint: decides which one goes next, and which one is
 * refused when the queue is full. Owns the waiting requests of one model.
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
  /** Greater is more urgent. */
  readonly priority: number
  /** Time after which admission is useless, on the clock that includes suspensions. */
  readonly startDeadline: Milliseconds
  /** Expected cost, in any unit common to all requests. Teams share it by weight. */
  readonly cost: number
}

interface Entry extends QueueRequest {
  readonly finishTag: number
  readonly queuedAt: Milliseconds
  readonly done: Deferred<QueueOutcome>
  timer: Timer | undefined
}

/** Limits of a queue. */
export interface QueueLimits {
  readonly maximumQueue: number
  readonly maximumWaitMilliseconds: Milliseconds
}

/**
 * The queue of one model on this instance. Higher priorities go first; within a priority, teams
 * share by weight (start-time fair queueing, Goyal 1996). When the queue is full, a request of the
 * lowest priority is refused at once, from the team with the most waiting requests for its weight.
 */
export class FairQueue {
  private entries: Entry[] = []
  private virtualTime = 0
  /** Number of requests that were admitted but have not reached an endpoint yet. */
  private pendingDispatch = 0
  private readonly lastFinish = new Map<TeamId, number>()

  constructor(
    private readonly clock: Clock,
    /**
     * Returns the free slots of the endpoints, in which requests admitted just now do not show yet.
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
   * Admits as many requests as there is capacity for. Called whenever a slot may have become free.
   */
  admitWaiting(): void {
    while (this.entries.length > 0 && this.hasCapacity) {
      const next = this.entries.reduce(moreUrgent)
      this.pendingDispatch += 1
      this.virtualTime = Math.max(this.virtualTime, next.finishTag)
      this.finish(next, { kind: 'admitted', waited: this.waitedBy(next) })
    }
  }

  /** Records that an admitted request has reached an endpoint or never will. */
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
    // The newest request of the team with the greatest share: it has waited least.
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
