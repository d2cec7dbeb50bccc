/** Serves the table service's protocol from an in-memory table. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import * as z from 'zod'
import { asId } from '@rackwalk/shared'
import type { TransactionId } from '@rackwalk/shared'
import type { JsonValue, QueryRange, Row, RowCondition, RowKey, RowWrite } from '@rackwalk/stores'
import type { FaultPlan } from './faultPlan.js'
import { LocalServer } from '../localServer.js'
import type { MemoryTable } from './memoryTable.js'

/**
 * Stands in for the table service. Supports the few operations and the two condition expressions of the
 * DynamoDB API that rackwalk uses, on an in-memory table and with configurable faults.
 */
export class DynamodbStandIn extends LocalServer {
  constructor(
    private readonly table: MemoryTable,
    readonly faults: FaultPlan,
  ) {
    super()
  }

  protected async handle(
    request: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    const target = String(request.headers['x-amz-target'])
    const operation = target.slice(target.indexOf('.') + 1)
    const document = JSON.parse(body.toString('utf8')) as unknown
    const kind = operation === 'TransactWriteItems' ? 'write' : 'read'
    await this.faults.delay()
    if (this.faults.losesRequest()) return void response.destroy()
    if (!this.faults.admits(kind)) {
      return fail(response, 'ProvisionedThroughputExceededException', {})
    }
    const answer = await this.perform(operation, document)
    if (kind === 'write' && this.faults.losesAnswer()) return void response.destroy()
    if ('failure' in answer) return fail(response, answer.failure, answer.details)
    send(response, 200, answer.result)
  }

  private perform(operation: string, body: unknown): Promise<Answer> {
    switch (operation) {
      case 'GetItem':
        return this.getItem(getSchema.parse(body))
      case 'Query':
        return this.query(querySchema.parse(body))
      case 'TransactWriteItems':
        return this.transact(transactSchema.parse(body))
      default:
        return Promise.resolve({ failure: 'UnknownOperationException', details: {} })
    }
  }

  private async getItem({ Key }: z.infer<typeof getSchema>): Promise<Answer> {
    const row = await this.table.get(keyOf(Key))
    return { result: row === undefined ? {} : { Item: encodeRow(row) } }
  }

  private async query(query: z.infer<typeof querySchema>): Promise<Answer> {
    const values = query.ExpressionAttributeValues
    const range: QueryRange = {
      // The client's lower bound is the smallest string after the excluded key.
      after: withoutSuffix(text(values, ':after')),
      before: text(values, ':before'),
      limit: query.Limit,
      reverse: !query.ScanIndexForward,
    }
    const rows = await this.table.query(text(values, ':partition'), range)
    const last = rows.at(-1)
    const hasMore = last !== undefined && rows.length === query.Limit
    const start = query.ExclusiveStartKey && keyOf(query.ExclusiveStartKey)
    const following = rows.filter(row => isFollowing(row, start, range))
    const next = hasMore ? { LastEvaluatedKey: encodeKey(last.key) } : {}
    return { result: { Items: following.map(encodeRow), Count: following.length, ...next } }
  }

  private async transact(transaction: z.infer<typeof transactSchema>): Promise<Answer> {
    const writes = transaction.TransactItems.map(decodeWrite)
    const parts = writes.map(({ id, write }) => ({ id, writes: [write] }))
    const result = await this.table.transactMany(parts)
    if (result.committed) return { result: {} }
    const reasons = writes.map((_, position) => ({
      Code: result.conflicts.includes(position) ? 'ConditionalCheckFailed' : 'None',
    }))
    return {
      failure: 'TransactionCanceledException',
      details: { CancellationReasons: reasons },
    }
  }
}

type Answer =
  | { readonly result: Record<string, unknown> }
  | { readonly failure: string; readonly details: Record<string, unknown> }

const attribute = z.looseObject({ S: z.string().optional(), N: z.string().optional() })
const attributes = z.record(z.string(), attribute)
type Attributes = z.infer<typeof attributes>

const getSchema = z.looseObject({ Key: attributes })

const querySchema = z.looseObject({
  ExpressionAttributeValues: attributes,
  Limit: z.number().int().positive(),
  ScanIndexForward: z.boolean().default(true),
  ExclusiveStartKey: attributes.optional(),
})

const conditioned = {
  ConditionExpression: z.string(),
  ExpressionAttributeValues: attributes.optional(),
}
const keyed = z.looseObject({ Key: attributes, ...conditioned })

const transactSchema = z.looseObject({
  TransactItems: z
    .array(
      z.looseObject({
        Put: z.looseObject({ Item: attributes, ...conditioned }).optional(),
        Delete: keyed.optional(),
        ConditionCheck: keyed.optional(),
      }),
    )
    .max(100),
})

function decodeWrite(item: z.infer<typeof transactSchema>['TransactItems'][number]) {
  const noId = asId<TransactionId>('')
  if (item.Put !== undefined) return decodePut(item.Put)
  const target = item.Delete ?? item.ConditionCheck
  if (target === undefined) throw new Error('unknown kind of write')
  const kind: 'delete' | 'check' = item.Delete === undefined ? 'check' : 'delete'
  const write: RowWrite = { kind, key: keyOf(target.Key), condition: conditionOf(target) }
  return { id: noId, write }
}

function decodePut(put: { Item: Attributes } & Conditioned) {
  const value = JSON.parse(text(put.Item, 'value')) as JsonValue
  const write: RowWrite = { kind: 'put', key: keyOf(put.Item), condition: conditionOf(put), value }
  return { id: asId<TransactionId>(text(put.Item, 'writtenBy')), write }
}

interface Conditioned {
  readonly ConditionExpression: string
  readonly ExpressionAttributeValues?: Attributes
}

function conditionOf(conditioned: Conditioned): RowCondition {
  if (conditioned.ConditionExpression.startsWith('attribute_not_exists')) return { kind: 'absent' }
  const version = conditioned.ExpressionAttributeValues?.[':version']?.N
  return { kind: 'version', version: Number(version) }
}

function isFollowing(row: Row, start: RowKey | undefined, range: QueryRange): boolean {
  if (start === undefined) return true
  return range.reverse ? row.key.sort < start.sort : row.key.sort > start.sort
}

function encodeRow(row: Row) {
  return {
    ...encodeKey(row.key),
    version: { N: String(row.version) },
    writtenBy: { S: row.writtenBy },
    value: { S: JSON.stringify(row.value) },
  }
}

function encodeKey(key: RowKey) {
  return { partition: { S: key.partition }, sort: { S: key.sort } }
}

function keyOf(item: Attributes): RowKey {
  return { partition: text(item, 'partition'), sort: text(item, 'sort') }
}

function text(item: Attributes, name: string): string {
  return item[name]?.S ?? ''
}

/** Removes the smallest suffix, which the client appends to exclude a key from a range. */
function withoutSuffix(key: string): string {
  return key.endsWith('\u0001') ? key.slice(0, -1) : key
}

function fail(response: ServerResponse, type: string, details: Record<string, unknown>): void {
  const name = `com.amazonaws.dynamodb.v20120810#${type}`
  send(response, 400, { __type: name, message: type, ...details })
}

function send(response: ServerResponse, status: number, document: unknown): void {
  const body = JSON.stringify(document)
  response.writeHead(status, {
    'content-type': 'application/x-amz-json-1.0',
    'content-length': String(Buffer.byteLength(body)),
  })
  response.end(body)
}
