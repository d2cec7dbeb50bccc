import { expect, it } from 'vitest'
import { ResultCode, SeededRandom, VirtualClock, asId } from '@rackwalk/shared'
import type { BudgetId, IncarnationId, RegionId, TeamId, TransferId } from '@rackwalk/shared'
import { BudgetLedger } from '@rackwalk/coordination'
import type { BudgetLedgerParts } from '@rackwalk/coordination'

/** Guards against lent tokens, which the borrower may give back, that count as spent for good. */

const BUDGET = asId<BudgetId>('team')
const SELF = asId<IncarnationId>('self')
const BORROWER = asId<IncarnationId>('borrower')
const REGION = asId<RegionId>('region')
const LIMIT = 1_000

/** A ledger that was granted the whole budget and whose table no longer answers. */
async function ledgerWithoutTable(): Promise<BudgetLedger> {
  const clock = new VirtualClock()
  let exchanges = 0
  const holding = {
    region: REGION,
    allocated: LIMIT,
    exchange: 1,
    lastGranted: LIMIT,
    foldedIndex: 0,
  }
  const row = {
    budgetId: BUDGET,
    teamId: asId<TeamId>('team'),
    limit: LIMIT,
    settled: 0,
    holders: { [SELF]: holding },
  }
  const parts = {
    incarnation: SELF,
    region: REGION,
    store: {
      read: () => Promise.resolve(row),
      exchange: () => {
        exchanges += 1
        return Promise.resolve(exchanges === 1 ? { kind: 'applied', row } : { kind: 'unsent' })
      },
    },
    journal: {
      append: () => ({ index: 1, durableOrHeld: Promise.resolve() }),
      hasRoom: true,
      sealed: false,
      durableIndex: 0,
    },
    peers: { call: () => Promise.reject(new Error('unreachable')) },
    clock,
    random: new SeededRandom(1),
    counters: { increment: () => {} },
    policy: {
      patienceMilliseconds: 0,
      target: () => LIMIT,
      tokensToRequest: () => LIMIT,
      tokensToBorrow: () => LIMIT,
      tokensToLend: (_: unknown, tokens: number) => tokens,
      tokensToReturn: () => 0,
    },
    liveIncarnations: () => [SELF, BORROWER],
    onSealed: () => {},
  }
  const ledger = new BudgetLedger(parts as unknown as BudgetLedgerParts)
  await ledger.preallocate([BUDGET])
  return ledger
}

it('a budget is not called too small for a request because of tokens that were lent', async () => {
  const ledger = await ledgerWithoutTable()
  const transferId = asId<TransferId>('transfer')
  const lent = await ledger.lend({ transferId, budgetId: BUDGET, borrower: BORROWER, tokens: 600 })
  expect(lent).toEqual({ tokens: 600 })
  const refused = await ledger.reserve(BUDGET, 500)
  expect(refused).toMatchObject({ kind: 'refused', code: ResultCode.BudgetUnavailable })
})
