/**
 * The table with every row that is read held against its form. It stands between an instance and
 * the client of the table, so that a malformed row is counted in one place, whoever reads it.
 * Relies on the codecs, which stand beside the types that rows carry.
 */

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
import { budgetRowCodec } from './budget/budgetRow.js'
import { claimRowCodec } from './claims/claimRow.js'
import { crashRowCodec } from './crashes/crashRow.js'
import { changeCodec } from './configuration/configurationChange.js'
import { resourceCodec } from './configuration/resource.js'
import { writeRecordCodec } from './configuration/resourceStore.js'
import { malformedRowError } from './rowCodecs.js'
import { journalSlotCodec } from './journal/journalEntry.js'
import { incarnationRecordCodec } from './membership/incarnationRegistry.js'
import { leaseRowCodec } from './membership/lease.js'
import {
  BUDGETS_PARTITION,
  CHANGES_PARTITION,
  CRASHES_PARTITION,
  INCARNATIONS_PARTITION,
  LEASES_PARTITION,
} from './tableKeys.js'

/** What a form says of a row's value. */
interface RowDecoder {
  fromJson(json: unknown): unknown
}

/** The form of each partition, by the part of its name before a slash. */
const ROW_CODECS: Readonly<Record<string, RowDecoder>> = {
  [BUDGETS_PARTITION]: budgetRowCodec,
  [CHANGES_PARTITION]: changeCodec,
  [CRASHES_PARTITION]: crashRowCodec,
  [INCARNATIONS_PARTITION]: incarnationRecordCodec,
  [LEASES_PARTITION]: leaseRowCodec,
  claim: claimRowCodec,
  journal: journalSlotCodec,
  resources: resourceCodec,
  writes: writeRecordCodec,
}

/** Counts and refuses rows that are not of their form; all other calls pass through. */
export class ValidatingTable implements TableService {
  constructor(
    private readonly table: TableService,
    /** Told of each malformed row; must not throw. */
    private readonly onMalformedRow: (key: RowKey) => void,
  ) {}

  /** Throws `PlatformUnavailable` for a malformed row: it is as good as not given. */
  async get(key: RowKey): Promise<Row | undefined> {
    const row = await this.table.get(key)
    if (row !== undefined) this.check(row)
    return row
  }

  /** Throws `PlatformUnavailable` where one of the rows is malformed. */
  async query(partition: string, range?: QueryRange): Promise<readonly Row[]> {
    const rows = await this.table.query(partition, range)
    for (const row of rows) this.check(row)
    return rows
  }

  transact(id: TransactionId, writes: readonly RowWrite[]): Promise<TransactResult> {
    return this.table.transact(id, writes)
  }

  transactMany(parts: readonly TransactionWrites[]): Promise<TransactResult> {
    return this.table.transactMany(parts)
  }

  private check(row: Row): void {
    const form = ROW_CODECS[row.key.partition.split('/')[0] ?? '']
    // Rows without a form are markers: only their keys say something.
    if (form === undefined || form.fromJson(row.value) !== undefined) return
    this.onMalformedRow(row.key)
    throw malformedRowError(row)
  }
}
