/** A table that counts its calls, since the platform limits their rate. Keeps no state. */

import type { TransactionId } from '@rackwalk/shared'
import type {
  TransactionWrites,
  QueryRange,
  Row,
  RowKey,
  RowWrite,
  TableService,
  TransactResult,
} from '@rackwalk/stores'
import type { Counters } from './counters.js'

/** Counts an instance's calls to the table, reads and writes apart, and passes them on. */
export class CountingTable implements TableService {
  constructor(
    private readonly table: TableService,
    private readonly counters: Counters,
  ) {}

  get(key: RowKey): Promise<Row | undefined> {
    this.counters.increment('table_reads')
    return this.table.get(key)
  }

  query(partition: string, range?: QueryRange): Promise<readonly Row[]> {
    this.counters.increment('table_reads')
    return this.table.query(partition, range)
  }

  transact(id: TransactionId, writes: readonly RowWrite[]): Promise<TransactResult> {
    this.counters.increment('table_writes')
    return this.table.transact(id, writes)
  }

  transactMany(parts: readonly TransactionWrites[]): Promise<TransactResult> {
    this.counters.increment('table_writes')
    return this.table.transactMany(parts)
  }
}
