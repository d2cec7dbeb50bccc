/**
 * Brings an instance to its planned end inside the time that it is given, by the phases of
 * decisions/stopping/drainPhases.ts. Owns nothing; the daemon gives the acts.
 */

import { LINGER_MILLISECONDS, exitDelay, shouldSettle } from '@rackwalk/decisions'
import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Time between two looks at the requests in progress. */
const POLL_MILLISECONDS = 20

/** The acts of a planned stop, and what it asks. */
export interface GracefulShutdownParts {
  readonly clock: Clock
  readonly graceMilliseconds: () => Milliseconds
  /** Requests in progress. */
  readonly inFlight: () => number
  /** No new requests from now on. */
  readonly refuse: () => void
  readonly closeListener: () => void
  /** Gives back what this instance holds; true once the store has all of it. */
  readonly settle: () => Promise<boolean>
}

/** How a planned stop ended. */
export interface GracefulShutdownResult {
  /** Requests that the grace time did not suffice for. */
  readonly cutOff: number
  readonly isSettled: boolean
}

/** Lets callers go elsewhere, ends what is in progress and settles. */
export async function shutDownGracefully(
  parts: GracefulShutdownParts,
): Promise<GracefulShutdownResult> {
  const startedAt = parts.clock.monotonic()
  await sleep(parts.clock, LINGER_MILLISECONDS)
  parts.refuse()
  await waitForRequests(parts, startedAt)
  parts.closeListener()
  const cutOff = parts.inFlight()
  // What the store does not take in time is settled by the next incarnation's bound.
  const isSettled = await Promise.race([parts.settle(), graceEnd(parts, startedAt)])
  return { cutOff, isSettled }
}

async function waitForRequests(
  parts: GracefulShutdownParts,
  startedAt: Milliseconds,
): Promise<void> {
  const grace = parts.graceMilliseconds()
  for (;;) {
    const elapsed = parts.clock.monotonic() - startedAt
    if (shouldSettle({ elapsed, grace, inFlight: parts.inFlight() })) return
    await sleep(parts.clock, POLL_MILLISECONDS)
  }
}

async function graceEnd(parts: GracefulShutdownParts, startedAt: Milliseconds): Promise<boolean> {
  const end = startedAt + exitDelay(parts.graceMilliseconds())
  await sleep(parts.clock, Math.max(0, end - parts.clock.monotonic()))
  return false
}
