import type { Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { ResultCode, asId, toRackwalkError } from '@rackwalk/shared'
import type { TransactionId } from '@rackwalk/shared'
import { SocketEndpoint } from '@rackwalk/stand-ins'
import { DynamodbTableService } from '@rackwalk/stores'
import type { RowWrite } from '@rackwalk/stores'

/** Guards against truncated answers of the table service that are taken for empty rows, empty lists and done writes. */

const KEY = { partition: 'budgets', sort: 'team' }
const WRITE: RowWrite = { kind: 'delete', key: KEY, condition: { kind: 'absent' } }

const LINES = 'HTTP/1.1 200 OK\r\ncontent-type: application/x-amz-json-1.0\r\n'

/** What is sent of an answer whose connection is then closed in order. */
const TRUNCATED: Readonly<Record<string, string>> = {
  'within its head': LINES,
  'after CR LF LF': `${LINES}\n`,
  'after its head, without a length': `${LINES}\r\n`,
  'after its head, with a length': `${LINES}content-length: 2\r\n\r\n`,
  'after its head, in chunks': `${LINES}transfer-encoding: chunked\r\n\r\n`,
  'within its document, without a length': `${LINES}\r\n{`,
}

const CALLS: Readonly<Record<string, (table: DynamodbTableService) => Promise<unknown>>> = {
  get: table => table.get(KEY),
  query: table => table.query(KEY.partition),
  transact: table => table.transact(asId<TransactionId>('transaction'), [WRITE]),
}

let endpoint: SocketEndpoint
let table: DynamodbTableService

afterEach(() => {
  table.close()
  endpoint.stop()
})

async function startTable(answer: (socket: Socket) => void): Promise<void> {
  endpoint = new SocketEndpoint(answer)
  table = new DynamodbTableService({
    endpoint: `http://127.0.0.1:${await endpoint.listen()}`,
    region: 'local',
    tableName: 'table',
    accessKeyId: 'stand-in',
    secretAccessKey: 'stand-in',
    timeoutMilliseconds: 2_000,
  })
}

describe.each(Object.keys(CALLS))('an answer of the table service to the call "%s"', call => {
  it.each(Object.keys(TRUNCATED))('says nothing of its outcome when it ends %s', async part => {
    await startTable(socket => socket.end(TRUNCATED[part] ?? ''))
    const outcome = await CALLS[call]?.(table).catch(toRackwalkError)
    expect(outcome).toMatchObject({ code: ResultCode.PlatformAmbiguous })
  })

  it('is taken with its length', async () => {
    await startTable(socket => socket.write(`${LINES}content-length: 2\r\n\r\n{}`))
    await expect(CALLS[call]?.(table)).resolves.not.toThrow()
  })
})
