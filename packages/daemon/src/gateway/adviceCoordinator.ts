/**
 * Connects the advice that endpoints give about themselves (rate limits, leaving) with its consumers: the choice of
 * an endpoint here, the other instances, and the log. Owns the advice store, the send permits and the guard for
 * rejections by endpoints; relies on the datagram exchange for broadcasts.
 */

import type { AdviceGossip, RecordedInstance, WarmUpBounds } from '@rackwalk/decisions'
import { EndpointAdviceStore, SendAdmission, RejectionGuard } from '@rackwalk/router'
import type { Clock, EndpointStart, Milliseconds } from '@rackwalk/shared'
import type { GatewayTelemetry } from './gatewayTelemetry.js'

/** What the coordinator needs. */
export interface AdviceCoordinatorParts {
  readonly clock: Clock
  readonly instance: string
  readonly recordedInstances: () => readonly RecordedInstance[] | undefined
  /** Undefined when the endpoints of a service need no warm-up. */
  readonly boundsOf: (service: string) => WarmUpBounds | undefined
  /** Broadcasts to all other instances, whether or not they use endpoints. */
  readonly broadcast: (gossip: readonly AdviceGossip[]) => void
  readonly telemetry: GatewayTelemetry
}

/**
 * A datagram may be lost, so each one is sent again after this time. An instance that misses both gets the advice
 * from the endpoint itself.
 */
const REPEAT_MILLISECONDS: Milliseconds = 250

/** Applies and shares the advice that endpoints give about themselves. */
export class AdviceCoordinator {
  readonly advices: EndpointAdviceStore
  readonly permits: SendAdmission
  readonly turnAways: RejectionGuard

  constructor(private readonly parts: AdviceCoordinatorParts) {
    this.advices = new EndpointAdviceStore({
      clock: parts.clock,
      onChange: (start, said) => this.noteChange(start, said),
      broadcast: gossip => this.broadcastTwice(gossip),
    })
    this.turnAways = new RejectionGuard(parts)
    this.permits = new SendAdmission({
      ...parts,
      instance: () => parts.instance,
      advices: this.advices,
    })
  }

  /** Another instance reported the advice of endpoints. */
  observe(gossip: readonly AdviceGossip[]): void {
    for (const message of gossip) this.advices.observe(message)
  }

  /** Another instance has requests in progress at an endpoint; undefined when no endpoint is listed under its id. */
  notePeerRequests(start: EndpointStart | undefined): void {
    if (start !== undefined) this.advices.notePeerRequests(start)
  }

  private broadcastTwice(gossip: AdviceGossip): void {
    const { clock, broadcast } = this.parts
    broadcast([gossip])
    clock.after(REPEAT_MILLISECONDS, () => {
      const ageMilliseconds = gossip.ageMilliseconds + REPEAT_MILLISECONDS
      broadcast([{ ...gossip, ageMilliseconds }])
    })
  }

  private noteChange(start: EndpointStart, said: string | undefined): void {
    const fields = { server: start, said: said ?? 'nothing' }
    this.parts.telemetry.noteChange('server_advice', fields.said, fields)
  }
}
