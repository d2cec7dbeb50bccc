/** The table with its calls counted: the platform takes few of them. Owns nothing. */

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

/** Counts what an instance asks of the table, since the platform takes little of it. */
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
