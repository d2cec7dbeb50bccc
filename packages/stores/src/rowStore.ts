/**
 * A transactional store of versioned rows, as the coordination parts need it: conditional
 * transactions inside one partition, ordered reads and a feed of changes. Every outcome is
 * typed, because "no answer" and "not done" call for different reactions.
 */

/** Where a row lies. */
export interface RowAddress {
  readonly table: string
  /** Rows of one partition can change together in one transaction. */
  readonly partition: string
  readonly key: string
}

/** A row as a read gives it. */
export interface StoredRow extends RowAddress {
  readonly value: string
  /** Version of the transaction that wrote it; greater is newer. */
  readonly version: number
}

/** A row as the feed shows it; a removed one has no value. */
export interface ChangedRow extends RowAddress {
  readonly value: string | undefined
  readonly version: number
}

/** A row that must have exactly this version; 0 means that it must not be there. */
interface VersionCondition extends RowAddress {
  readonly version: number
}

interface RowPut extends RowAddress {
  readonly value: string
}

/** All or nothing; every address in it has the same partition. */
export interface RowTransaction {
  readonly conditions: readonly VersionCondition[]
  readonly puts: readonly RowPut[]
  readonly removals: readonly RowAddress[]
}

/** Why the store did not do what it was asked; in both cases nothing was done. */
export type StoreRefusalReason = 'throttled' | 'unavailable'

/** What became of a transaction. */
export type RowWriteOutcome =
  /** `storeTime` is the store's steady clock, in milliseconds. */
  | { readonly kind: 'done'; readonly version: number; readonly storeTime: number }
  /** A condition did not hold; `rows` are the rows of the conditions as they are now. */
  | { readonly kind: 'conflict'; readonly rows: readonly StoredRow[]; readonly storeTime: number }
  | { readonly kind: 'not-done'; readonly reason: StoreRefusalReason }
  /** No answer: it may have been done, or may be done later while its conditions hold. */
  | { readonly kind: 'unknown' }

/** What became of a read of one partition. */
export type RowReadOutcome =
  | {
      readonly kind: 'rows'
      readonly rows: readonly StoredRow[]
      /** Newest version of the store when it read; the feed continues from here. */
      readonly version: number
      readonly storeTime: number
    }
  | { readonly kind: 'failed'; readonly reason: StoreRefusalReason | 'unknown' }

/** What became of a question for changes. */
export type ChangeFeedOutcome =
  | {
      readonly kind: 'changes'
      readonly rows: readonly ChangedRow[]
      readonly version: number
      readonly storeTime: number
    }
  /** The store forgot the changes after the version asked for; all rows must be read anew. */
  | { readonly kind: 'history-gone' }
  | { readonly kind: 'failed'; readonly reason: StoreRefusalReason | 'unknown' }

/** The store; no method throws for a store that fails, since failures are outcomes. */
export interface RowStore {
  write(transaction: RowTransaction): Promise<RowWriteOutcome>
  /** All rows of one partition of a table, in the order of their keys. */
  readPartition(table: string, partition: string): Promise<RowReadOutcome>
  /** Changes of a table after a version; waits up to `waitMilliseconds` for the first. */
  readChanges(table: string, after: number, waitMilliseconds: number): Promise<ChangeFeedOutcome>
  close(): void
}
