/**
 * Admits requests for which some endpoint has room, and queues the others for a limited time. Owns
 * the queue of each model and service. A chat whose first token is expected after its deadline is
 * refused at once instead of taking a queue place until then.
 */

import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { Clock, Milliseconds, RandomSource } from '@rackwalk/shared'
import { FairQueue } from '../limits/fairQueue.js'
import type { Catalogue } from '../resources/catalogue.js'
import type { EndpointTable } from '../routing/endpointTable.js'
import type { EndpointView } from '../routing/endpointView.js'
import { noCandidateError } from '../routing/noCandidate.js'
import { estimatedRequests, expectedFirstTokenMilliseconds } from '../routing/routingPolicy.js'
import type { AdmittedRequest, Call, DeduplicatedRequest, Filter } from './stages.js'

/** Dependencies of admission. */
export interface AdmitParts {
  readonly catalogue: Catalogue
  readonly endpoints: EndpointTable
  readonly clock: Clock
  readonly random: RandomSource
  /** Returns the number of instances that send to the same endpoints. */
  readonly instances: () => number
  /** Throws if this instance accepts no new requests. */
  readonly checkServing: () => void
}

/**
 * Admits a request if an endpoint has room, and queues the request for a limited time otherwise.
 * Refuses the request at once if no endpoint may get it or if its answer cannot be in time.
 */
export class AdmitFilter implements Filter<DeduplicatedRequest, AdmittedRequest> {
  private readonly queues = new Map<string, FairQueue>()

  constructor(private readonly parts: AdmitParts) {}

  async apply(request: DeduplicatedRequest): Promise<AdmittedRequest> {
    this.parts.checkServing()
    const views = this.candidates(request.call)
    if (views.length === 0) throw noCandidateError(this.parts, request)
    this.checkDeadline(request, views)
    const waited = await this.enter(request)
    request.record.queuedMilliseconds = waited
    const noteDispatched = once(() => this.queueOf(request).noteDispatched())
    request.scope.onEnd(() => this.admitWaiting(request.target))
    request.scope.onEnd(noteDispatched)
    return { ...request, noteDispatched }
  }

  /**
   * Admits as many waiting requests of a model or service as there are free slots. Called whenever
   * a request is over.
   */
  admitWaiting(target: string): void {
    this.queues.get(target)?.admitWaiting()
  }

  /**
   * Admits waiting requests of all models and services. Called after each round of load reports.
   */
  admitAllWaiting(): void {
    for (const queue of this.queues.values()) queue.admitWaiting()
  }

  /** Number of waiting requests in all queues. */
  get queuedRequests(): number {
    return [...this.queues.values()].reduce((sum, queue) => sum + queue.length, 0)
  }

  private async enter(request: DeduplicatedRequest): Promise<Milliseconds> {
    const policy = this.parts.catalogue.policyFor(request.target)
    const cost = request.call.kind === 'chat' ? request.call.chat.promptTokenEstimate : 1
    const outcome = await this.queueOf(request).enqueue(
      {
        teamId: request.team.teamId,
        weight: request.team.spec.weight,
        priority: request.priority,
        startDeadline: request.deadline,
        cost,
      },
      {
        maximumQueue: policy.maximumQueue,
        maximumWaitMilliseconds: policy.maximumQueueMilliseconds,
      },
    )
    if (outcome.kind === 'refused') throw new NotRunError(outcome.code)
    return outcome.waited
  }

  /**
   * Throws if the first token of a chat is expected after the deadline at every endpoint, because
   * the answer cannot be in time then. Service calls are not checked.
   */
  private checkDeadline(request: DeduplicatedRequest, views: readonly EndpointView[]): void {
    if (request.call.kind !== 'chat') return
    const demand = {
      promptTokens: request.call.chat.promptTokenEstimate,
      instances: this.parts.instances(),
    }
    const soonest = Math.min(...views.map(view => expectedFirstTokenMilliseconds(view, demand)))
    if (this.parts.clock.sinceStart() + soonest <= request.deadline) return
    throw new NotRunError(ResultCode.DeadlineUnreachable)
  }

  private queueOf({ call, target }: DeduplicatedRequest): FairQueue {
    const known = this.queues.get(target)
    if (known !== undefined) return known
    const created = new FairQueue(this.parts.clock, () => this.freeSlots(call))
    this.queues.set(target, created)
    return created
  }

  private freeSlots(call: Call): number {
    const demand = { promptTokens: 0, instances: this.parts.instances() }
    return this.candidates(call).reduce((sum, view) => {
      const free = view.maximumInFlight - estimatedRequests(view, demand)
      return sum + Math.max(0, free)
    }, 0)
  }

  private candidates(call: Call): readonly EndpointView[] {
    return call.kind === 'chat'
      ? this.parts.endpoints.modelCandidates(call.chat.modelId, [])
      : this.parts.endpoints.serviceCandidates(call.service)
  }
}

function once(run: () => void): () => void {
  let isDone = false
  return () => {
    if (!isDone) run()
    isDone = true
  }
}
