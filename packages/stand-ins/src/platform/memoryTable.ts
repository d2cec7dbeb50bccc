/** An in-memory table, used directly or behind a protocol stand-in. */

import type { TransactionId } from '@rackwalk/shared'
import { encodeRowKey, nextRowVersion } from '@rackwalk/stores'
import type {
  TransactionWrites,
  QueryRange,
  Row,
  RowCondition,
  RowKey,
  RowWrite,
  TableService,
  TransactResult,
} from '@rackwalk/stores'

/**
 * An in-memory table with the semantics of the table service: each operation is atomic and strongly
 * consistent. Values are stored as JSON text, so that readers never share objects.
 */
export class MemoryTable implements TableService {
  private readonly partitions = new Map<string, Map<string, StoredRow>>()
  reads = 0
  /** Number of attempted transactions. */
  writes = 0
  /** Number of rows in those transactions. */
  itemsWritten = 0

  async get(key: RowKey): Promise<Row | undefined> {
    this.reads += 1
    const stored = this.find(key)
    return stored && decode(key, stored)
  }

  async query(partition: string, range: QueryRange = {}): Promise<readonly Row[]> {
    this.reads += 1
    const rows = [...(this.partitions.get(partition) ?? new Map<string, StoredRow>())]
      .filter(([sort]) => isInRange(sort, range))
      .sort(([left], [right]) => (left < right ? -1 : 1))
    if (range.reverse) rows.reverse()
    return rows
      .slice(0, range.limit ?? rows.length)
      .map(([sort, stored]) => decode({ partition, sort }, stored))
  }

  async transact(id: TransactionId, writes: readonly RowWrite[]): Promise<TransactResult> {
    return this.transactMany([{ id, writes }])
  }

  async transactMany(parts: readonly TransactionWrites[]): Promise<TransactResult> {
    const writes = parts.flatMap(part => part.writes.map(write => ({ id: part.id, write })))
    // The DynamoDB API rejects a transaction that contains a row twice.
    const names = new Set(writes.map(({ write }) => encodeRowKey(write.key)))
    if (names.size < writes.length) throw new Error('a transaction names a row twice')
    this.writes += 1
    this.itemsWritten += writes.length
    const conflicts = writes.flatMap(({ write }, position) =>
      this.holds(write.key, write.condition) ? [] : [position],
    )
    if (conflicts.length > 0) return { committed: false, conflicts }
    for (const { id, write } of writes) this.apply(id, write)
    return { committed: true }
  }

  private holds(key: RowKey, condition: RowCondition): boolean {
    const stored = this.find(key)
    if (condition.kind === 'absent') return stored === undefined
    return stored?.version === condition.version
  }

  private apply(writtenBy: TransactionId, write: RowWrite): void {
    if (write.kind === 'check') return
    const { partition, sort } = write.key
    const rows = this.partitions.get(partition) ?? new Map<string, StoredRow>()
    this.partitions.set(partition, rows)
    if (write.kind === 'delete') {
      rows.delete(sort)
      return
    }
    const version = nextRowVersion(write.condition)
    rows.set(sort, { version, writtenBy, text: JSON.stringify(write.value) })
  }

  private find({ partition, sort }: RowKey): StoredRow | undefined {
    return this.partitions.get(partition)?.get(sort)
  }
}

interface StoredRow {
  readonly version: number
  readonly writtenBy: TransactionId
  readonly text: string
}

function decode(key: RowKey, stored: StoredRow): Row {
  const { version, writtenBy, text } = stored
  return { key, version, writtenBy, value: JSON.parse(text) }
}

function isInRange(sort: string, { after, before }: QueryRange): boolean {
  return (after === undefined || sort > after) && (before === undefined || sort < before)
}
