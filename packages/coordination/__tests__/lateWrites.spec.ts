import { describe, expect, it } from 'vitest'
import { VirtualClock } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import { MemoryRowStore, startPrepaidMember } from '@rackwalk/stand-ins'

/**
 * Guards against refusals for want of tokens that the pool has, while the event loop is blocked: the answer to the
 * write that covers a request has arrived, and the request's timer fires before it is read.
 */

const BUDGET = 'team'
const LIMITS = { writesPerSecond: 600, partitionWritesPerSecond: 150, reserveShare: 0 }
const PATIENCE_MILLISECONDS = 100
const BLOCKED_MILLISECONDS = 200

/** A clock on which the event loop is blocked once: due timers fire at its end, in the order of their due times. */
class BlockedClock extends VirtualClock {
  blockedUntil: Milliseconds = 0

  override after(delay: Milliseconds, run: () => void) {
    return super.after(Math.max(delay, this.blockedUntil - this.monotonic()), run)
  }
}

describe('a request that waits for a write while the event loop is blocked', () => {
  it.each([10, 50, 90])('is served where the store answered after %i ms', async slow => {
    const clock = new BlockedClock()
    const { ledger, faults } = startPrepaidMember({
      instance: 'instance-1',
      incarnation: 'start-1',
      clock,
      rows: new MemoryRowStore(clock),
      budget: BUDGET,
      limit: 1_000_000,
      limits: LIMITS,
      isActive: true,
      others: () => [],
      loanChannel: { requestLoan: async () => undefined, repay: async () => true },
    })
    faults.slowMilliseconds = slow
    clock.blockedUntil = BLOCKED_MILLISECONDS
    const outcome = ledger.reserve(BUDGET, 1_000, PATIENCE_MILLISECONDS)
    await clock.advance(BLOCKED_MILLISECONDS * 5)
    expect(await outcome).toMatchObject({ kind: 'reserved' })
  })
})
