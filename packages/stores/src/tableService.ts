/**
 * The platform's table service as the OpenAI-style kind uses it: versioned rows and conditional
 * transactions. Implemented over DynamoDB, and in memory for tests.
 */

import type { TransactionId, Version } from '@rackwalk/shared'

/** Any value that JSON can represent. */
export type JsonValue =
  | string
  | number
  | boolean
  | null
  | readonly JsonValue[]
  | { readonly [name: string]: JsonValue | undefined }

/** The key of a row. Rows of one partition are ordered by `sort`. */
export interface RowKey {
  readonly partition: string
  readonly sort: string
}

/** A stored row. `version` starts at 1 and increases by one with each write. */
export interface Row<Value = JsonValue> {
  readonly key: RowKey
  readonly version: Version
  /** The transaction that wrote this version; distinguishes a lost answer from a lost write. */
  readonly writtenBy: TransactionId
  readonly value: Value
}

/** A condition that must hold for a write to take effect. */
export type RowCondition =
  { readonly kind: 'absent' } | { readonly kind: 'version'; readonly version: Version }

/** One write of a transaction. All writes take effect or none; a row may occur only once. */
export type RowWrite =
  | {
      readonly kind: 'put'
      readonly key: RowKey
      readonly condition: RowCondition
      readonly value: JsonValue
    }
  | { readonly kind: 'delete'; readonly key: RowKey; readonly condition: RowCondition }
  | { readonly kind: 'check'; readonly key: RowKey; readonly condition: RowCondition }

/**
 * The result of a transaction. `conflicts` holds the positions of the writes whose condition
 * failed.
 */
export type TransactResult =
  | { readonly committed: true }
  | { readonly committed: false; readonly conflicts: readonly number[] }

/** The writes of one transaction, with its id. */
export interface TransactionWrites {
  readonly id: TransactionId
  readonly writes: readonly RowWrite[]
}

/** A range of one partition; both bounds are exclusive. */
export interface QueryRange {
  readonly after?: string
  readonly before?: string
  readonly limit?: number
  readonly reverse?: boolean
}

/** Maximum number of items in one transaction (the DynamoDB limit). */
export const MAXIMUM_TRANSACTION_WRITES = 100

/**
 * The platform's transactional table service. Every operation may throw a RackwalkError:
 * `PlatformUnavailable` and `PlatformThrottled` mean that nothing took effect; `PlatformAmbiguous`
 * means that a write may have taken effect or may do so later.
 */
export interface TableService {
  /** Reads a row with strong consistency. */
  get(key: RowKey): Promise<Row | undefined>
  /** Reads a range with strong consistency, in order of `sort`. */
  query(partition: string, range?: QueryRange): Promise<readonly Row[]>
  transact(id: TransactionId, writes: readonly RowWrite[]): Promise<TransactResult>
  /** Executes several transactions as one. Each row keeps the id of its own part. */
  transactMany(parts: readonly TransactionWrites[]): Promise<TransactResult>
}

/** Returns the version that a put gives its row. */
export function nextRowVersion(condition: RowCondition): Version {
  return condition.kind === 'absent' ? 1 : condition.version + 1
}

/** Encodes a key as one text, for sets of keys. */
export function encodeRowKey(key: RowKey): string {
  return `${key.partition}\0${key.sort}`
}

/** Encodes a number as a sort key, so that text order is numeric order. */
export function encodeSortKey(count: number): string {
  return String(count).padStart(14, '0')
}
