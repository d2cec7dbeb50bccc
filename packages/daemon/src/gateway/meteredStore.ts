/** A store that counts its calls, since each has a price and a limit. Owns the time of the last answer. */

import type { Clock, Milliseconds } from '@rackwalk/shared'
import type {
  ChangeFeedOutcome,
  RowReadOutcome,
  RowStore,
  RowTransaction,
  RowWriteOutcome,
} from '@rackwalk/stores'

/** The kind of a call to the store. */
export type StoreCall = 'write' | 'read' | 'feed'

type OutcomeKind = (RowWriteOutcome | RowReadOutcome | ChangeFeedOutcome)['kind']

/** Outcomes that do not show that the store serves this instance. */
const FAILED_OUTCOMES: ReadonlySet<OutcomeKind> = new Set<OutcomeKind>([
  'failed',
  'not-done',
  'unknown',
])

/** Counts the calls to the store by table and outcome, since each has a price and a limit. */
export class MeteredStore implements RowStore {
  private answeredAt: Milliseconds = Number.NEGATIVE_INFINITY

  constructor(
    private readonly store: RowStore,
    private readonly clock: Clock,
    private readonly count: (call: StoreCall, table: string, outcome: string) => void,
  ) {}

  /** Time since the store last carried out a call; a rejected call does not count as an answer. */
  get answeredAgoMilliseconds(): Milliseconds {
    return this.clock.sinceStart() - this.answeredAt
  }

  async write(transaction: RowTransaction): Promise<RowWriteOutcome> {
    const outcome = await this.store.write(transaction)
    const [first] = [...transaction.puts, ...transaction.removals]
    this.note('write', first?.table ?? '', outcome.kind)
    return outcome
  }

  async readPartition(table: string, partition: string): Promise<RowReadOutcome> {
    const outcome = await this.store.readPartition(table, partition)
    this.note('read', table, outcome.kind)
    return outcome
  }

  async readChanges(
    table: string,
    after: number,
    waitMilliseconds: number,
  ): Promise<ChangeFeedOutcome> {
    const outcome = await this.store.readChanges(table, after, waitMilliseconds)
    this.note('feed', table, outcome.kind)
    return outcome
  }

  close(): void {
    this.store.close()
  }

  private note(call: StoreCall, table: string, outcome: OutcomeKind): void {
    if (!FAILED_OUTCOMES.has(outcome)) this.answeredAt = this.clock.sinceStart()
    this.count(call, table, outcome)
  }
}
