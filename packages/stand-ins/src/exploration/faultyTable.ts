/** The way of a node to the table of a run: delayed, lost, answered late, as the script says. */

import type { Scheduler } from 'fast-check'
import { RackwalkError, ResultCode } from '@rackwalk/shared'
import type { RandomSource, TransactionId } from '@rackwalk/shared'
import type {
  TransactionWrites,
  QueryRange,
  Row,
  RowKey,
  RowWrite,
  TableService,
  TransactResult,
} from '@rackwalk/stores'
import type { MemoryTable } from '../platform/memoryTable.js'

/** Faults of one node's way to the table. */
export interface TableFaults {
  /** Nothing gets through. */
  isCut: boolean
  /** Share of operations of which the question or the answer is lost. */
  lossShare: number
}

/** Resolves when its node may go on: not at all when it is dead, later when it is paused. */
export type Gate = () => Promise<void>

/**
 * One node's view of the common table. The scheduler decides when each question arrives
 * and when each answer does; a lost answer leaves the write in force, and a question that
 * the node has given up on may still arrive later.
 */
export class FaultyTable implements TableService {
  constructor(
    private readonly table: MemoryTable,
    private readonly scheduler: Scheduler,
    private readonly random: RandomSource,
    private readonly faults: TableFaults,
    private readonly gate: Gate,
  ) {}

  get(key: RowKey): Promise<Row | undefined> {
    return this.read(() => this.table.get(key))
  }

  query(partition: string, range?: QueryRange): Promise<readonly Row[]> {
    return this.read(() => this.table.query(partition, range))
  }

  transact(id: TransactionId, writes: readonly RowWrite[]): Promise<TransactResult> {
    return this.transactMany([{ id, writes }])
  }

  async transactMany(parts: readonly TransactionWrites[]): Promise<TransactResult> {
    await this.gate()
    if (this.faults.isCut) return this.fail(ResultCode.PlatformUnavailable)
    if (this.loses()) return this.fail(ResultCode.PlatformAmbiguous)
    if (this.loses()) return this.lateWrite(parts)
    await this.step('write')
    const result = await this.table.transactMany(parts)
    await this.step('answer')
    if (this.faults.isCut || this.loses()) return this.fail(ResultCode.PlatformAmbiguous)
    return result
  }

  /** The node hears nothing, and the write arrives at some later time. */
  private async lateWrite(parts: readonly TransactionWrites[]): Promise<TransactResult> {
    void this.step('late write').then(() => this.table.transactMany(parts))
    return this.fail(ResultCode.PlatformAmbiguous)
  }

  private async read<Result>(operation: () => Promise<Result>): Promise<Result> {
    await this.gate()
    await this.step('read')
    if (this.faults.isCut || this.loses()) return this.fail(ResultCode.PlatformUnavailable)
    const result = await operation()
    await this.step('answer')
    if (this.faults.isCut) return this.fail(ResultCode.PlatformUnavailable)
    return result
  }

  private async fail(code: ResultCode): Promise<never> {
    await this.step('no answer')
    await this.gate()
    throw new RackwalkError(code)
  }

  private loses(): boolean {
    return this.random.next() < this.faults.lossShare
  }

  private async step(label: string): Promise<void> {
    await this.scheduler.schedule(Promise.resolve(), label)
    await this.gate()
  }
}
