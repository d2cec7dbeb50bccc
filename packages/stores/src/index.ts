/** Interfaces of the platform's stores, and one implementation per protocol. */
export {
  MAXIMUM_TRANSACTION_WRITES,
  encodeRowKey,
  encodeSortKey,
  nextRowVersion,
} from './tableService.js'
export type {
  TransactionWrites,
  JsonValue,
  QueryRange,
  Row,
  RowCondition,
  RowKey,
  RowWrite,
  TableService,
  TransactResult,
} from './tableService.js'
export type { ObjectStore } from './objectStore.js'
export type { InstanceList, ListedInstance } from './instanceList.js'
export { INSTANCE_LIST_KEY } from './instanceListFormat.js'
export { ObjectStoreInstanceList } from './objectStoreInstanceList.js'
export { DynamodbTableService } from './dynamodbTableService.js'
export { S3ObjectStore } from './s3ObjectStore.js'
export { JsonCodec, parseJson } from './jsonCodec.js'
export type {
  ChangedRow,
  StoreRefusalReason,
  RowAddress,
  ChangeFeedOutcome,
  RowReadOutcome,
  RowStore,
  RowTransaction,
  RowWriteOutcome,
  StoredRow,
} from './rowStore.js'
