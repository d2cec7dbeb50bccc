/** The store with its calls counted: each has a price and a limit. Owns nothing. */

import type {
  RowFeedOutcome,
  RowReadOutcome,
  RowStore,
  RowTransaction,
  RowWriteOutcome,
} from '@rackwalk/stores'

/** What a call to the store was for. */
export type StoreCall = 'write' | 'read' | 'feed'

/** Counts the calls to the store by table and outcome: each has a price and a limit. */
export class CountedStore implements RowStore {
  constructor(
    private readonly store: RowStore,
    private readonly count: (call: StoreCall, table: string, outcome: string) => void,
  ) {}

  async write(transaction: RowTransaction): Promise<RowWriteOutcome> {
    const outcome = await this.store.write(transaction)
    const [first] = [...transaction.puts, ...transaction.removals]
    this.count('write', first?.table ?? '', outcome.kind)
    return outcome
  }

  async readPartition(table: string, partition: string): Promise<RowReadOutcome> {
    const outcome = await this.store.readPartition(table, partition)
    this.count('read', table, outcome.kind)
    return outcome
  }

  async readChanges(
    table: string,
    after: number,
    waitMilliseconds: number,
  ): Promise<RowFeedOutcome> {
    const outcome = await this.store.readChanges(table, after, waitMilliseconds)
    this.count('feed', table, outcome.kind)
    return outcome
  }

  close(): void {
    this.store.close()
  }
}
