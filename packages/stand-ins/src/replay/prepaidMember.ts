/** One instance's prepaid ledger over a store in memory, as replays and tests of a budget start it. */

import {
  DemandHoldingPolicy,
  PREPAID_TABLE,
  PrepaidLedger,
  StoreClock,
  TableMirror,
} from '@rackwalk/coordination'
import type { LedgerLimits, LoanChannel } from '@rackwalk/coordination'
import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'
import type { MemoryRowStore, RowStoreFaults } from '../platform/memoryRowStore.js'

/** What a member starts with. */
export interface PrepaidMemberOptions {
  readonly instance: string
  readonly incarnation: string
  readonly clock: Clock
  readonly rows: MemoryRowStore
  readonly budget: string
  readonly limit: TokenCount
  readonly limits: LedgerLimits
  /** Whether callers are sent to this instance; one that stands by follows no rows. */
  readonly isActive: boolean
  /** The others to which callers are sent. */
  readonly others: () => readonly string[]
  readonly loanChannel: LoanChannel
}

/** A ledger that runs, and the parts of it that a test turns. */
export interface PrepaidMember {
  readonly ledger: PrepaidLedger
  readonly faults: RowStoreFaults
  readonly mirror: TableMirror
}

/** Time between two reads of the budgets' rows. */
const FEED_MILLISECONDS = 400

/** Starts a ledger that holds a part of one budget and follows its rows. */
export function startPrepaidMember(options: PrepaidMemberOptions): PrepaidMember {
  const { clock, isActive, budget, limit } = options
  const { store, faults } = options.rows.connect()
  const ledger = new PrepaidLedger({
    instance: options.instance,
    incarnation: options.incarnation,
    store,
    storeClock: new StoreClock(clock),
    clock,
    startedAt: clock.monotonic(),
    policy: new DemandHoldingPolicy(),
    isActive: () => isActive,
    otherInstances: options.others,
    limits: options.limits,
    loanChannel: options.loanChannel,
    onEvent: () => {},
    onMalformedRow: ({ key }) => {
      throw new Error(`malformed row ${key}`)
    },
  })
  ledger.configure([{ budget, limit }], 1)
  ledger.start()
  const mirror = new TableMirror({
    store,
    table: PREPAID_TABLE,
    partitions: () => ledger.budgets,
    clock,
    listener: { onRows: (rows, isWhole) => ledger.observe(rows, isWhole) },
    waitMilliseconds: 0,
    pauseMilliseconds: () => FEED_MILLISECONDS,
    isWanted: () => isActive,
  })
  mirror.start()
  return { ledger, faults, mirror }
}

/** One way of a question between instances, and how long one waits for an answer that does not come. */
export interface LoanTimes {
  readonly oneWayMilliseconds: Milliseconds
  readonly timeoutMilliseconds: Milliseconds
}

/** Carries loans to the ledgers that `find` gives; undefined where the lender is out of reach. */
export function loanChannelTo(
  clock: Clock,
  times: LoanTimes,
  find: (lender: string) => PrepaidLedger | undefined,
): LoanChannel {
  const reach = async (lender: string): Promise<PrepaidLedger | undefined> => {
    const ledger = find(lender)
    const { oneWayMilliseconds, timeoutMilliseconds } = times
    await sleep(clock, ledger === undefined ? timeoutMilliseconds : oneWayMilliseconds)
    return ledger
  }
  return {
    requestLoan: async (lender, request) => (await reach(lender))?.lender.lend(request),
    repay: async (lender, repayment) => {
      const ledger = await reach(lender)
      ledger?.lender.repay(repayment)
      return ledger !== undefined
    },
  }
}
