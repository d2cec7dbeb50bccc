/**
 * The platform's table service as the OpenAI-style kind uses it: rows with versions, and transactions
 * with conditions. Implemented over DynamoDB, and in memory for tests.
 */

import type { TransactionId, Version } from '@rackwalk/shared'

/** Any value that JSON can hold. */
export type JsonValue =
  | string
  | number
  | boolean
  | null
  | readonly JsonValue[]
  | { readonly [name: string]: JsonValue | undefined }

/** Rows of one partition are ordered by `sort`. */
export interface RowKey {
  readonly partition: string
  readonly sort: string
}

/** One stored row; `version` starts at 1 and grows by one with each write. */
export interface Row<Value = JsonValue> {
  readonly key: RowKey
  readonly version: Version
  /** The transaction that wrote this version; tells a lost answer from a lost write. */
  readonly writtenBy: TransactionId
  readonly value: Value
}

/** What must hold for a write to take effect. */
export type RowCondition =
  { readonly kind: 'absent' } | { readonly kind: 'version'; readonly version: Version }

/** One part of a transaction; all take effect or none, and a row is named once only. */
export type RowWrite =
  | {
      readonly kind: 'put'
      readonly key: RowKey
      readonly condition: RowCondition
      readonly value: JsonValue
    }
  | { readonly kind: 'delete'; readonly key: RowKey; readonly condition: RowCondition }
  | { readonly kind: 'check'; readonly key: RowKey; readonly condition: RowCondition }

/** `conflicts` holds the positions of the writes whose condition failed. */
export type TransactResult =
  | { readonly committed: true }
  | { readonly committed: false; readonly conflicts: readonly number[] }

/** The writes of one transaction with its id. */
export interface TransactionWrites {
  readonly id: TransactionId
  readonly writes: readonly RowWrite[]
}

/** A range of one partition, both bounds exclusive. */
export interface QueryRange {
  readonly after?: string
  readonly before?: string
  readonly limit?: number
  readonly reverse?: boolean
}

/** Items that one transaction may hold (the DynamoDB limit). */
export const MAXIMUM_TRANSACTION_WRITES = 100

/**
 * The platform's transactional table service. Every operation may throw a RackwalkError:
 * `PlatformUnavailable` and `PlatformThrottled` say that nothing took effect,
 * `PlatformAmbiguous` says that a write may have, now or later.
 */
export interface TableService {
  /** A strongly consistent read. */
  get(key: RowKey): Promise<Row | undefined>
  /** A strongly consistent read of a range in order of `sort`. */
  query(partition: string, range?: QueryRange): Promise<readonly Row[]>
  transact(id: TransactionId, writes: readonly RowWrite[]): Promise<TransactResult>
  /** Several transactions as one; each row keeps the id of its own part. */
  transactMany(parts: readonly TransactionWrites[]): Promise<TransactResult>
}

/** The version that a put gives its row. */
export function nextRowVersion(condition: RowCondition): Version {
  return condition.kind === 'absent' ? 1 : condition.version + 1
}

/** One text for a key, for sets of keys. */
export function encodeRowKey(key: RowKey): string {
  return `${key.partition}\0${key.sort}`
}

/** A sort key for a count, so that text order is number order. */
export function encodeSortKey(count: number): string {
  return String(count).padStart(14, '0')
}
