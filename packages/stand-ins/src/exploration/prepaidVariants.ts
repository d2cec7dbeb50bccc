/**
 * The prepaid ledger as it ships, and copies with one deliberate defect each. They prove that the checkers
 * detect such defects.
 */

import { POOL_KEY, holderRowCodec } from '@rackwalk/coordination'
import type { LoanChannel, StoreClock } from '@rackwalk/coordination'
import type { RowStore, RowTransaction } from '@rackwalk/stores'

type RowPut = RowTransaction['puts'][number]

/** A ledger whose surroundings may be replaced to introduce a defect. */
export interface PrepaidVariant {
  readonly name: string
  storeOf?(store: RowStore): RowStore
  clockOf?(storeClock: StoreClock): StoreClock
  channelOf?(channel: LoanChannel): LoanChannel
}

export const SOUND_LEDGER: PrepaidVariant = { name: 'sound' }

/** Ledgers that each lack one thing that the spending limit depends on. */
export const BROKEN_LEDGERS: readonly PrepaidVariant[] = [
  {
    name: 'writes whatever others wrote meanwhile',
    storeOf: store => ({
      readPartition: (table, partition) => store.readPartition(table, partition),
      readChanges: (table, after, wait) => store.readChanges(table, after, wait),
      write: transaction => store.write({ ...transaction, conditions: [] }),
      close: () => store.close(),
    }),
  },
  {
    name: 'believes that a dead instance spent only what it recorded',
    clockOf: storeClock => {
      const forgetful = Object.create(storeClock) as StoreClock
      forgetful.upperBoundAt = () => 0
      return forgetful
    },
  },
  {
    name: 'repays loans as if nothing of them had been spent',
    channelOf: channel => ({
      requestLoan: (lender, request) => channel.requestLoan(lender, request),
      repay: (lender, repayment) => channel.repay(lender, { ...repayment, spent: 0 }),
    }),
  },
  {
    name: 'spends a loan that it took for lost and called back',
    channelOf: channel => ({
      requestLoan: async (lender, request) => {
        const lent = await channel.requestLoan(lender, request)
        await channel.repay(lender, { id: request.id, budget: request.budget, spent: 0 })
        return lent
      },
      repay: (lender, repayment) => channel.repay(lender, repayment),
    }),
  },
]

/** Announces no demand and borrows no tokens. The check of the guarantee "reach" must detect this. */
export const UNANNOUNCING_LEDGER: PrepaidVariant = {
  name: 'tells nobody that callers ask, and borrows nothing',
  storeOf: store => ({
    readPartition: (table, partition) => store.readPartition(table, partition),
    readChanges: (table, after, wait) => store.readChanges(table, after, wait),
    write: transaction =>
      store.write({ ...transaction, puts: transaction.puts.map(withoutDemand) }),
    close: () => store.close(),
  }),
  channelOf: channel => ({
    requestLoan: () => Promise.resolve(0),
    repay: (lender, repayment) => channel.repay(lender, repayment),
  }),
}

/** Returns a holder's row with its demand set to zero, and any other row unchanged. */
function withoutDemand(put: RowPut): RowPut {
  const row = put.key === POOL_KEY ? undefined : holderRowCodec.decode(put.value)
  if (row === undefined) return put
  return { ...put, value: holderRowCodec.encode({ ...row, demandPerSecond: 0, wanted: 0 }) }
}
