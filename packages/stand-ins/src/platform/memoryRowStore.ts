/** An in-memory row store of the gateway kind, on the clock of the test and with faults per client. */

import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import type {
  ChangedRow,
  ChangeFeedOutcome,
  RowReadOutcome,
  RowStore,
  RowTransaction,
  RowWriteOutcome,
  StoredRow,
} from '@rackwalk/stores'

/** The faults of the next calls of one client. */
export interface RowStoreFaults {
  /** Calls don't reach the store and time out; the client can't tell whether a write took effect. */
  isCut: boolean
  /** Connections fail, so that the client knows that nothing was sent. */
  isUnreachable: boolean
  /** The store throttles the client: calls fail without an effect. */
  isThrottled: boolean
  /** Writes take effect, but their answers are lost. */
  losesAnswers: boolean
  /** Additional delay of each answer. */
  slowMilliseconds: Milliseconds
  /** Writes take effect only after this time, if their conditions still hold. */
  lateMilliseconds: Milliseconds
}

const CALL_MILLISECONDS = 5
/** Time after which a client gives up a call without an answer. */
const TIMEOUT_MILLISECONDS = 1_000
/** The store's time at the start of a test; not 0, because a real store's clock starts earlier. */
const STORE_EPOCH_MILLISECONDS = 50_000

interface HistoryEntry extends ChangedRow {
  readonly version: number
}

/** The store that all clients of a test share. */
export class MemoryRowStore {
  private readonly rows = new Map<string, StoredRow>()
  private history: HistoryEntry[] = []
  private version = 0
  private forgottenVersion = 0

  constructor(private readonly clock: Clock) {}

  /** Returns a client of the store with its own faults. */
  connect(): { readonly store: RowStore; readonly faults: RowStoreFaults } {
    const faults: RowStoreFaults = {
      isCut: false,
      isUnreachable: false,
      isThrottled: false,
      losesAnswers: false,
      slowMilliseconds: 0,
      lateMilliseconds: 0,
    }
    return { store: new MemoryRowClient(this, this.clock, faults), faults }
  }

  get now(): Milliseconds {
    return STORE_EPOCH_MILLISECONDS + this.clock.monotonic()
  }

  /** Drops the change history, so that clients can't read changes from before this call. */
  forgetHistory(): void {
    this.forgottenVersion = this.version
    this.history = []
  }

  /** Writes a row unconditionally, without a client and its faults. */
  put(table: string, key: string, value: string, partition = ''): void {
    this.apply({ conditions: [], puts: [{ table, partition, key, value }], removals: [] })
  }

  remove(table: string, key: string, partition = ''): void {
    this.apply({ conditions: [], puts: [], removals: [{ table, partition, key }] })
  }

  apply(transaction: RowTransaction): RowWriteOutcome {
    const current = transaction.conditions.map(row => this.rows.get(nameOf(row)))
    const holds = transaction.conditions.every(
      (condition, index) => (current[index]?.version ?? 0) === condition.version,
    )
    if (!holds) {
      const rows = current.filter(row => row !== undefined)
      return { kind: 'conflict', rows, storeTime: this.now }
    }
    this.version += 1
    for (const put of transaction.puts) this.store({ ...put, version: this.version })
    for (const removal of transaction.removals) {
      this.rows.delete(nameOf(removal))
      this.history.push({ ...removal, value: undefined, version: this.version })
    }
    return { kind: 'done', version: this.version, storeTime: this.now }
  }

  read(table: string, partition: string): RowReadOutcome {
    const rows = [...this.rows.values()]
      .filter(row => row.table === table && row.partition === partition)
      .sort((left, right) => (left.key < right.key ? -1 : 1))
    return { kind: 'rows', rows, version: this.version, storeTime: this.now }
  }

  changes(table: string, after: number): ChangeFeedOutcome {
    if (after < this.forgottenVersion) return { kind: 'history-gone' }
    const rows: HistoryEntry[] = []
    for (let index = this.history.length - 1; index >= 0; index -= 1) {
      const row = this.history[index]
      if (row === undefined || row.version <= after) break
      if (row.table === table) rows.push(row)
    }
    rows.reverse()
    return { kind: 'changes', rows, version: this.version, storeTime: this.now }
  }

  private store(row: StoredRow): void {
    this.rows.set(nameOf(row), row)
    this.history.push(row)
  }
}

class MemoryRowClient implements RowStore {
  constructor(
    private readonly target: MemoryRowStore,
    private readonly clock: Clock,
    private readonly faults: RowStoreFaults,
  ) {}

  async write(transaction: RowTransaction): Promise<RowWriteOutcome> {
    const { faults, target } = this
    if (faults.isCut) return this.timeOut({ kind: 'unknown' })
    if (faults.isUnreachable) return this.timeOut({ kind: 'not-done', reason: 'unavailable' })
    if (faults.isThrottled) return this.answer({ kind: 'not-done', reason: 'throttled' })
    if (faults.lateMilliseconds > 0) {
      this.clock.after(faults.lateMilliseconds, () => target.apply(transaction))
      return this.timeOut({ kind: 'unknown' })
    }
    const outcome = target.apply(transaction)
    return faults.losesAnswers ? this.timeOut({ kind: 'unknown' }) : this.answer(outcome)
  }

  readPartition(table: string, partition: string): Promise<RowReadOutcome> {
    return this.performRead(() => this.target.read(table, partition))
  }

  async readChanges(
    table: string,
    after: number,
    waitMilliseconds: Milliseconds,
  ): Promise<ChangeFeedOutcome> {
    const outcome = await this.performRead(() => this.target.changes(table, after))
    if (outcome.kind !== 'changes' || outcome.rows.length > 0) return outcome
    await sleep(this.clock, waitMilliseconds)
    return this.performRead(() => this.target.changes(table, after))
  }

  close(): void {}

  private performRead<Outcome>(
    read: () => Outcome,
  ): Promise<Outcome | { kind: 'failed'; reason: 'unknown' | 'throttled' }> {
    if (this.faults.isCut || this.faults.isUnreachable) {
      return this.timeOut({ kind: 'failed', reason: 'unknown' })
    }
    if (this.faults.isThrottled) return this.answer({ kind: 'failed', reason: 'throttled' })
    return this.answer(read())
  }

  private async answer<Outcome>(outcome: Outcome): Promise<Outcome> {
    await sleep(this.clock, CALL_MILLISECONDS + this.faults.slowMilliseconds)
    return outcome
  }

  private async timeOut<Outcome>(outcome: Outcome): Promise<Outcome> {
    await sleep(this.clock, TIMEOUT_MILLISECONDS)
    return outcome
  }
}

function nameOf(row: { table: string; partition: string; key: string }): string {
  return `${row.table}\0${row.partition}\0${row.key}`
}
