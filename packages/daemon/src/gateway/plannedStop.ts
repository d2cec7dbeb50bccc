import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Brings an instance to its planned end inside the time that it is given. */

/** After the notice, callers that still hold an old answer are served for this long. */
const LINGER_MILLISECONDS = 2_600
/** The process lives at least this long after the notice, so that callers learn of it. */
const SHORTEST_DRAIN_MILLISECONDS = 3_200
/** Kept at the end of the grace time for settling budgets. */
const SETTLE_MILLISECONDS = 900
/** The process ends by itself this long before it would be killed. */
const EXIT_MILLISECONDS = 200
const POLL_MILLISECONDS = 20

export interface PlannedStopParts {
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
export interface PlannedStopResult {
  /** Requests that the grace time did not suffice for. */
  readonly cutOff: number
  readonly isSettled: boolean
}

/** Lets callers go elsewhere, ends what is in progress and settles. */
export async function stopAsPlanned(parts: PlannedStopParts): Promise<PlannedStopResult> {
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

async function waitForRequests(parts: PlannedStopParts, startedAt: Milliseconds): Promise<void> {
  const earliest = startedAt + SHORTEST_DRAIN_MILLISECONDS
  const latest = startedAt + parts.graceMilliseconds() - SETTLE_MILLISECONDS
  for (;;) {
    const now = parts.clock.monotonic()
    if (now >= latest) return
    if (parts.inFlight() === 0 && now >= earliest) return
    await sleep(parts.clock, POLL_MILLISECONDS)
  }
}

async function graceEnd(parts: PlannedStopParts, startedAt: Milliseconds): Promise<boolean> {
  const end = startedAt + parts.graceMilliseconds() - EXIT_MILLISECONDS
  await sleep(parts.clock, Math.max(0, end - parts.clock.monotonic()))
  return false
}
