/**
 * Detects instances that send datagrams before their rows were read, and triggers a read of the member rows. Owns
 * only the limiter of such reads; the rule is in decisions/placing/memberReadLimiter.
 */

import { MemberReadLimiter } from '@rackwalk/decisions'
import type { PeerLoadReport } from '@rackwalk/router'
import type { Clock } from '@rackwalk/shared'

/** What the monitor needs. */
export interface UnknownSenderMonitorParts {
  /** Name of this instance. */
  readonly instance: string
  /** Whether there is a row of this incarnation of an instance. */
  readonly hasIncarnation: (instance: string, incarnation: string) => boolean
  /** Reads the member rows at once instead of at their next interval. */
  readonly readMembers: () => void
  /** A datagram came from an unknown instance. */
  readonly onUnknown: () => void
  readonly clock: Clock
}

/** Reacts to datagrams of instances whose rows were not read yet. */
export class UnknownSenderMonitor {
  private readonly reads = new MemberReadLimiter()

  constructor(private readonly parts: UnknownSenderMonitorParts) {}

  /**
   * A datagram arrived in the name of an instance. The datagram does not prove that the instance exists; only its row
   * in the store does, so an unknown name only triggers a read of the rows.
   */
  note({ instance, incarnation }: Pick<PeerLoadReport, 'instance' | 'incarnation'>): void {
    const { hasIncarnation, onUnknown, readMembers, clock } = this.parts
    if (instance === this.parts.instance || hasIncarnation(instance, incarnation)) return
    onUnknown()
    const delay = this.reads.take(clock.monotonic())
    if (delay === undefined) return
    if (delay === 0) readMembers()
    else clock.after(delay, readMembers)
  }
}
