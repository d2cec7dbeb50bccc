/** The table service over the DynamoDB API. Owns the connections to DynamoDB; caches no rows. */

import {
  DynamoDBClient,
  GetItemCommand,
  QueryCommand,
  TransactWriteItemsCommand,
  TransactionCanceledException,
} from '@aws-sdk/client-dynamodb'
import type { AttributeValue, ConditionCheck, TransactWriteItem } from '@aws-sdk/client-dynamodb'
import { RackwalkError, ResultCode, asId } from '@rackwalk/shared'
import type { Milliseconds, TransactionId } from '@rackwalk/shared'
import { classifyServiceError } from './awsErrors.js'
import { FRAMING_CHECK, refuseUnframedAnswers } from './framedAnswers.js'
import type {
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
import { nextRowVersion } from './tableService.js'

/** Address of the table and the credentials for it. */
export interface DynamodbOptions {
  readonly endpoint: string
  readonly region: string
  readonly tableName: string
  readonly accessKeyId: string
  readonly secretAccessKey: string
  readonly timeoutMilliseconds: Milliseconds
}

type Item = Record<string, AttributeValue>

/** The table service over the DynamoDB API (version 2012-08-10). */
export class DynamodbTableService implements TableService {
  private readonly client: DynamoDBClient
  private readonly tableName: string

  constructor(private readonly options: DynamodbOptions) {
    this.tableName = options.tableName
    this.client = new DynamoDBClient({
      endpoint: options.endpoint,
      region: options.region,
      credentials: {
        accessKeyId: options.accessKeyId,
        secretAccessKey: options.secretAccessKey,
      },
      // The client must not retry: if the first attempt of a write took effect and its answer was
      // lost, a second attempt would report a conflict although the write took effect.
      maxAttempts: 1,
    })
    this.client.middlewareStack.add(refuseUnframedAnswers, FRAMING_CHECK)
  }

  async get(key: RowKey): Promise<Row | undefined> {
    const command = new GetItemCommand({
      TableName: this.tableName,
      Key: encodeKey(key),
      ConsistentRead: true,
    })
    const answer = await this.guarded(signal => this.client.send(command, { abortSignal: signal }))
    return answer.Item === undefined ? undefined : decodeRow(answer.Item)
  }

  async query(partition: string, range: QueryRange = {}): Promise<readonly Row[]> {
    const limit = range.limit ?? Number.MAX_SAFE_INTEGER
    const rows: Row[] = []
    let startKey: Item | undefined
    do {
      const page = await this.queryPage(partition, range, limit - rows.length, startKey)
      rows.push(...(page.Items ?? []).map(decodeRow))
      startKey = page.LastEvaluatedKey
    } while (startKey !== undefined && rows.length < limit)
    return rows
  }

  transact(id: TransactionId, writes: readonly RowWrite[]): Promise<TransactResult> {
    return this.transactMany([{ id, writes }])
  }

  async transactMany(parts: readonly TransactionWrites[]): Promise<TransactResult> {
    const command = new TransactWriteItemsCommand({
      TransactItems: parts.flatMap(({ id, writes }) =>
        writes.map(write => this.encodeWrite(id, write)),
      ),
    })
    try {
      await this.guarded(signal => this.client.send(command, { abortSignal: signal }))
      return { committed: true }
    } catch (thrown) {
      return cancellationOf(thrown)
    }
  }

  /** Closes the connections. */
  close(): void {
    this.client.destroy()
  }

  private queryPage(partition: string, range: QueryRange, limit: number, startKey?: Item) {
    const after = range.after ?? ' '
    const before = range.before ?? '~'
    const command = new QueryCommand({
      TableName: this.tableName,
      ConsistentRead: true,
      KeyConditionExpression: '#partition = :partition AND #sort BETWEEN :after AND :before',
      ExpressionAttributeNames: { '#partition': 'partition', '#sort': 'sort' },
      ExpressionAttributeValues: {
        ':partition': { S: partition },
        // BETWEEN includes both bounds. The suffix excludes the row with the key `after` itself; a
        // row with the key `before` is included.
        ':after': { S: range.after === undefined ? after : `${after}\u0001` },
        ':before': { S: before },
      },
      ScanIndexForward: range.reverse !== true,
      Limit: Math.min(limit, 1000),
      ExclusiveStartKey: startKey,
    })
    return this.guarded(signal => this.client.send(command, { abortSignal: signal }))
  }

  private encodeWrite(id: TransactionId, write: RowWrite): TransactWriteItem {
    const condition = encodeCondition(write.condition)
    if (write.kind === 'put') {
      return { Put: { TableName: this.tableName, Item: encodeItem(id, write), ...condition } }
    }
    const target = { TableName: this.tableName, Key: encodeKey(write.key), ...condition }
    return write.kind === 'delete' ? { Delete: target } : { ConditionCheck: target }
  }

  private async guarded<Answer>(send: (signal: AbortSignal) => Promise<Answer>): Promise<Answer> {
    try {
      return await send(AbortSignal.timeout(this.options.timeoutMilliseconds))
    } catch (thrown) {
      if (thrown instanceof TransactionCanceledException) throw thrown
      throw classifyServiceError(thrown)
    }
  }
}

function encodeKey(key: RowKey): Item {
  return { partition: { S: key.partition }, sort: { S: key.sort } }
}

function encodeItem(id: TransactionId, write: RowWrite & { kind: 'put' }): Item {
  return {
    ...encodeKey(write.key),
    version: { N: String(nextRowVersion(write.condition)) },
    writtenBy: { S: id },
    value: { S: JSON.stringify(write.value) },
  }
}

type EncodedCondition = Pick<
  ConditionCheck,
  'ConditionExpression' | 'ExpressionAttributeNames' | 'ExpressionAttributeValues'
> & { readonly ConditionExpression: string }

function encodeCondition(condition: RowCondition): EncodedCondition {
  if (condition.kind === 'absent') {
    return {
      ConditionExpression: 'attribute_not_exists(#partition)',
      ExpressionAttributeNames: { '#partition': 'partition' },
    }
  }
  return {
    ConditionExpression: '#version = :version',
    ExpressionAttributeNames: { '#version': 'version' },
    ExpressionAttributeValues: { ':version': { N: String(condition.version) } },
  }
}

function decodeRow(item: Item): Row {
  return {
    key: { partition: item.partition?.S ?? '', sort: item.sort?.S ?? '' },
    version: Number(item.version?.N),
    writtenBy: asId<TransactionId>(item.writtenBy?.S ?? ''),
    value: JSON.parse(item.value?.S ?? 'null') as JsonValue,
  }
}

function cancellationOf(thrown: unknown): TransactResult {
  if (!(thrown instanceof TransactionCanceledException)) throw thrown
  const reasons = thrown.CancellationReasons ?? []
  const conflicts = reasons.flatMap((reason, position) =>
    reason.Code === 'ConditionalCheckFailed' ? [position] : [],
  )
  if (conflicts.length > 0) return { committed: false, conflicts }
  // The transaction was cancelled for another reason, such as throttling or a concurrent
  // transaction on the same rows, so nothing was applied.
  const detail = reasons.map(reason => reason.Code).join(',')
  throw new RackwalkError(ResultCode.PlatformThrottled, detail, thrown)
}
