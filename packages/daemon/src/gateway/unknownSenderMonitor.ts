/**
 * Notices instances that are heard of before their rows were read, and has the members read for them. Owns nothing but the
 * bound on such reads; the rule is in decisions/placing/newcomerReads.
 */

import { MemberReadLimiter } from '@rackwalk/decisions'
import type { PeerLoadReport } from '@rackwalk/router'
import type { Clock } from '@rackwalk/shared'

/** What the watch works with. */
export interface UnknownSenderMonitorParts {
  /** The name of this instance. */
  readonly instance: string
  /** Whether there is a row of this life of an instance. */
  readonly knows: (instance: string, incarnation: string) => boolean
  /** Reads the members without waiting for their time. */
  readonly readMembers: () => void
  /** A datagram came from an instance that is not known. */
  readonly onUnknown: () => void
  readonly clock: Clock
}

/** What one instance does when it hears of others that it does not know. */
export class UnknownSenderMonitor {
  private readonly reads = new MemberReadLimiter()

  constructor(private readonly parts: UnknownSenderMonitorParts) {}

  /** A datagram came in the name of an instance; its address proves nothing, the store's row does. */
  note({ instance, incarnation }: Pick<PeerLoadReport, 'instance' | 'incarnation'>): void {
    const { knows, onUnknown, readMembers, clock } = this.parts
    if (instance === this.parts.instance || knows(instance, incarnation)) return
    onUnknown()
    const delay = this.reads.take(clock.monotonic())
    if (delay === undefined) return
    if (delay === 0) readMembers()
    else clock.after(delay, readMembers)
  }
}
