/**
 * A table that validates every row it reads against the row's codec. The table is placed between an
 * instance and the client of the platform's table, so that malformed rows are reported in one
 * place, whichever component reads them. The codecs are defined next to the types of the rows.
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

/** Decodes a row's value; returns undefined if the value is malformed. */
interface RowDecoder {
  fromJson(json: unknown): unknown
}

/** Codec per partition, by the part of the partition's name before the first slash. */
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

/** Reports and rejects malformed rows; passes all other calls through. */
export class ValidatingTable implements TableService {
  constructor(
    private readonly table: TableService,
    /** Called for each malformed row; must not throw. */
    private readonly onMalformedRow: (key: RowKey) => void,
  ) {}

  /**
   * Throws `PlatformUnavailable` for a malformed row, which is treated as if it had not been read.
   */
  async get(key: RowKey): Promise<Row | undefined> {
    const row = await this.table.get(key)
    if (row !== undefined) this.check(row)
    return row
  }

  /** Throws `PlatformUnavailable` if one of the rows is malformed. */
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
    const codec = ROW_CODECS[row.key.partition.split('/')[0] ?? '']
    // Rows without a codec are markers: only their keys carry information.
    if (codec === undefined || codec.fromJson(row.value) !== undefined) return
    this.onMalformedRow(row.key)
    throw malformedRowError(row)
  }
}
