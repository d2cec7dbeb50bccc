/**
 * Who carries a journal's batch to the table: the interface, and the committer that writes by itself.
 */

import type { TransactionId } from '@rackwalk/shared'
import type { RowWrite, TableService, TransactResult } from '@rackwalk/stores'

/**
 * Carries a journal's transaction to the table. Who carries it is a matter of efficiency:
 * the conditions in the writes keep it safe, whoever commits.
 */
export interface BatchCommitter {
  commit(id: TransactionId, writes: readonly RowWrite[]): Promise<TransactResult>
}

/** Writes each batch by itself; right for small fleets. */
export class DirectCommitter implements BatchCommitter {
  constructor(private readonly table: TableService) {}

  commit(id: TransactionId, writes: readonly RowWrite[]): Promise<TransactResult> {
    return this.table.transact(id, writes)
  }
}
