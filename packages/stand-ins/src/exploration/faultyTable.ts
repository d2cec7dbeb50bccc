/** A node's connection to the table of a run: delays and drops requests and replies as the script demands. */

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

/** Faults of one node's connection to the table. */
export interface TableFaults {
  /** Whether no operation reaches the table. */
  isCut: boolean
  /** Share of operations whose request or reply is lost. */
  lossShare: number
}

/** Resolves when the node may continue: never if the node is dead, after its resumption if it is paused. */
export type Gate = () => Promise<void>

/**
 * One node's view of the shared table. The scheduler decides when each request and each reply arrives.
 * A write whose reply is lost stays in force, and a write that the node has given up on may still arrive
 * later.
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

  /** Fails the call as ambiguous and lets the write reach the table at a later time. */
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
