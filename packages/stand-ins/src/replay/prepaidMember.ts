/** Starts one instance's prepaid ledger on an in-memory store, for replays and tests of a budget. */

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

/** Options of a member. */
export interface PrepaidMemberOptions {
  readonly instance: string
  readonly incarnation: string
  readonly clock: Clock
  readonly rows: MemoryRowStore
  readonly budget: string
  readonly limit: TokenCount
  readonly limits: LedgerLimits
  /** Whether callers are sent to this instance. A standby doesn't read the budget's rows. */
  readonly isActive: boolean
  /** Returns the other instances to which callers are sent. */
  readonly others: () => readonly string[]
  readonly loanChannel: LoanChannel
}

/** A running ledger, and the parts that a test controls. */
export interface PrepaidMember {
  readonly ledger: PrepaidLedger
  readonly faults: RowStoreFaults
  readonly mirror: TableMirror
}

/** Time between two reads of the budget's rows. */
const READ_INTERVAL_MILLISECONDS = 400

/** Starts a ledger that has a holding of one budget and reads its rows regularly. */
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
    pauseMilliseconds: () => READ_INTERVAL_MILLISECONDS,
    isWanted: () => isActive,
  })
  mirror.start()
  return { ledger, faults, mirror }
}

/** The one-way latency between instances, and the timeout of a call. */
export interface LoanTimes {
  readonly oneWayMilliseconds: Milliseconds
  readonly timeoutMilliseconds: Milliseconds
}

/** Returns a channel to the ledgers that `find` returns; undefined stands for an unreachable lender. */
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
