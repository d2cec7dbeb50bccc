/**
 * Interface of the platform's table service as the OpenAI-style kind uses it: versioned rows and
 * conditional transactions. Implemented over DynamoDB, and in memory for tests.
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

/** A stored row. `version` is 1 when the row is created and increases by one with each put. */
export interface Row<Value = JsonValue> {
  readonly key: RowKey
  readonly version: Version
  /**
   * Id of the transaction that wrote this version. After a write without an answer, the writer
   * reads the row and sees from this id whether the write took effect.
   */
  readonly writtenBy: TransactionId
  readonly value: Value
}

/**
 * A condition that must hold for a transaction to take effect: the row does not exist, or has the
 * version.
 */
export type RowCondition =
  { readonly kind: 'absent' } | { readonly kind: 'version'; readonly version: Version }

/**
 * One write of a transaction; `check` only has a condition. All writes of a transaction take effect
 * or none does. A row may occur only once in a transaction.
 */
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
 * The result of a transaction. `conflicts` holds the positions of the writes whose condition did
 * not hold; for several transactions executed as one, positions count through all their writes.
 */
export type TransactResult =
  | { readonly committed: true }
  | { readonly committed: false; readonly conflicts: readonly number[] }

/** The writes of one transaction, with its id. */
export interface TransactionWrites {
  readonly id: TransactionId
  readonly writes: readonly RowWrite[]
}

/**
 * A range of the sort keys of one partition. `after` is exclusive. `before` is exclusive in memory
 * but inclusive over DynamoDB. `limit` is the maximum number of rows; `reverse` reads in descending
 * order.
 */
export interface QueryRange {
  readonly after?: string
  readonly before?: string
  readonly limit?: number
  readonly reverse?: boolean
}

/** Maximum number of writes in one transaction, set by DynamoDB. */
export const MAXIMUM_TRANSACTION_WRITES = 100

/**
 * The platform's transactional table service. Every operation may throw a RackwalkError. The codes
 * `PlatformUnavailable` and `PlatformThrottled` mean that nothing took effect. `PlatformAmbiguous`
 * means that a write may have taken effect or may take effect later.
 */
export interface TableService {
  /** Reads a row with strong consistency; undefined if the row does not exist. */
  get(key: RowKey): Promise<Row | undefined>
  /**
   * Reads a range with strong consistency, in ascending order of `sort` unless `reverse` is set.
   */
  query(partition: string, range?: QueryRange): Promise<readonly Row[]>
  /** Executes one transaction. A conflict is a result and not an error. */
  transact(id: TransactionId, writes: readonly RowWrite[]): Promise<TransactResult>
  /**
   * Executes several transactions as one: all take effect or none does. Each row is stored with the
   * id of the transaction that holds its write.
   */
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

/** Encodes a number of up to 14 digits as a sort key, so that text order is numeric order. */
export function encodeSortKey(count: number): string {
  return String(count).padStart(14, '0')
}
