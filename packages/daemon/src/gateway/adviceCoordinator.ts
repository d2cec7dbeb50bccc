/**
 * Joins what endpoints say of themselves with those who must know: the choice of an endpoint here, the other instances,
 * the log. Owns the memory and the permits; relies on the exchange of datagrams to tell at once.
 */

import type { AdviceGossip, RecordedInstance, WarmUpBounds } from '@rackwalk/decisions'
import { EndpointAdviceStore, SendAdmission, RejectionGuard } from '@rackwalk/router'
import type { Clock, EndpointStart, Milliseconds } from '@rackwalk/shared'
import type { GatewayTelemetry } from './gatewayTelemetry.js'

/** What the watch works with. */
export interface AdviceCoordinatorParts {
  readonly clock: Clock
  readonly instance: string
  readonly recordedInstances: () => readonly RecordedInstance[] | undefined
  /** Undefined where the endpoints of a service need no warm-up. */
  readonly boundsOf: (service: string) => WarmUpBounds | undefined
  /** Tells all other instances, whether or not they use endpoints. */
  readonly tell: (news: readonly AdviceGossip[]) => void
  readonly telemetry: GatewayTelemetry
}

/** A datagram may be lost: each is sent again after this time. Who loses both is told by the endpoint itself. */
const REPEAT_MILLISECONDS: Milliseconds = 250

/** What one instance does about what endpoints say of themselves. */
export class AdviceCoordinator {
  readonly advices: EndpointAdviceStore
  readonly permits: SendAdmission
  readonly turnAways: RejectionGuard

  constructor(private readonly parts: AdviceCoordinatorParts) {
    this.advices = new EndpointAdviceStore({
      clock: parts.clock,
      onChange: (start, said) => this.noteChange(start, said),
      broadcast: news => this.share(news),
    })
    this.turnAways = new RejectionGuard(parts)
    this.permits = new SendAdmission({
      ...parts,
      instance: () => parts.instance,
      advices: this.advices,
    })
  }

  /** Another instance told what endpoints say. */
  observe(news: readonly AdviceGossip[]): void {
    for (const one of news) this.advices.observe(one)
  }

  /** Another instance has requests in progress at an endpoint; undefined where none is listed under its id. */
  noteAsked(start: EndpointStart | undefined): void {
    if (start !== undefined) this.advices.notePeerRequests(start)
  }

  private share(news: AdviceGossip): void {
    const { clock, tell } = this.parts
    tell([news])
    clock.after(REPEAT_MILLISECONDS, () => {
      const ageMilliseconds = news.ageMilliseconds + REPEAT_MILLISECONDS
      tell([{ ...news, ageMilliseconds }])
    })
  }

  private noteChange(start: EndpointStart, said: string | undefined): void {
    const fields = { server: start, said: said ?? 'nothing' }
    this.parts.telemetry.noteChange('server_advice', fields.said, fields)
  }
}
