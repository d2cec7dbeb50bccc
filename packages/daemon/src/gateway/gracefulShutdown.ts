/**
 * Shuts an instance down within its grace time (the time from SIGTERM to the kill by the platform), in the phases of
 * decisions/stopping/drainPhases.ts: serves callers a while longer, refuses new requests until those in progress have
 * finished, closes the listener, and settles the holdings (prepaid tokens that the instance may spend). Owns nothing;
 * the daemon supplies the actions.
 */

import { LINGER_MILLISECONDS, exitDelay, shouldSettle } from '@rackwalk/decisions'
import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Time between two checks of the requests in progress. */
const POLL_MILLISECONDS = 20

/** The actions of a planned shutdown, and the values it reads. */
export interface GracefulShutdownParts {
  readonly clock: Clock
  readonly graceMilliseconds: () => Milliseconds
  /** Number of requests in progress. */
  readonly inFlight: () => number
  /** Refuses new requests from now on. */
  readonly refuse: () => void
  readonly closeListener: () => void
  /** Gives this instance's holdings back to the store; resolves to whether the store has recorded all of them. */
  readonly settle: () => Promise<boolean>
}

/** The outcome of a planned shutdown. */
export interface GracefulShutdownResult {
  /** Number of requests that were still in progress when the instance began to settle its holdings. */
  readonly cutOff: number
  /** Whether the store recorded all returned holdings before the time at which the process has to exit. */
  readonly isSettled: boolean
}

/** Lets callers move to other instances, finishes the requests in progress and settles the holdings. */
export async function shutDownGracefully(
  parts: GracefulShutdownParts,
): Promise<GracefulShutdownResult> {
  const startedAt = parts.clock.monotonic()
  await sleep(parts.clock, LINGER_MILLISECONDS)
  parts.refuse()
  await waitForRequests(parts, startedAt)
  parts.closeListener()
  const cutOff = parts.inFlight()
  // Holdings that the store does not record in time are settled when the next incarnation takes them over: as much
  // counts as spent as the instance may have spent (the spending bound).
  const isSettled = await Promise.race([parts.settle(), waitForExitTime(parts, startedAt)])
  return { cutOff, isSettled }
}

/** Resolves when the instance has to stop waiting for its requests. */
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

/** Resolves to false at the time at which the process has to exit. */
async function waitForExitTime(
  parts: GracefulShutdownParts,
  startedAt: Milliseconds,
): Promise<boolean> {
  const end = startedAt + exitDelay(parts.graceMilliseconds())
  await sleep(parts.clock, Math.max(0, end - parts.clock.monotonic()))
  return false
}
