import type { Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { ResultCode, toRackwalkError } from '@rackwalk/shared'
import { SocketEndpoint } from '@rackwalk/stand-ins'
import { S3ObjectStore } from '@rackwalk/stores'

/** Which answers the object store's client accepts as whole, by their framing and by the end of the connection. */

const OBJECT = 'a segment of the journal'
const HALF = OBJECT.slice(0, 12)
const LIST = `<?xml version="1.0"?><ListBucketResult><KeyCount>1</KeyCount><Contents><Key>segment</Key></Contents></ListBucketResult>`
const HALF_LIST = LIST.slice(0, LIST.indexOf('</ListBucketResult>'))

type End = (socket: Socket) => void
const closeOrderly: End = socket => socket.end()
const resetLater: End = socket => setTimeout(() => socket.resetAndDestroy(), 20)
const keepOpen: End = () => {}

let endpoint: SocketEndpoint
let store: S3ObjectStore

afterEach(() => {
  store.close()
  endpoint.stop()
})

async function startStore(head: string, body: string, end: End): Promise<void> {
  endpoint = new SocketEndpoint(socket => {
    socket.write(`HTTP/1.1 200 OK\r\n${head}\r\n${body}`)
    end(socket)
  })
  store = new S3ObjectStore({
    endpoint: `http://127.0.0.1:${await endpoint.listen()}`,
    region: 'local',
    bucket: 'bucket',
    accessKeyId: 'stand-in',
    secretAccessKey: 'stand-in',
    timeoutMilliseconds: 2_000,
  })
}

function length(text: string): string {
  return `content-length: ${text.length}\r\n`
}

const CHUNKED = 'transfer-encoding: chunked\r\n'

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

const LAST_CHUNK = '0\r\n\r\n'

describe('an object of the store', () => {
  it.each([
    ['with its length', length(OBJECT), OBJECT, keepOpen],
    ['in chunks with the last one', CHUNKED, chunk(OBJECT) + LAST_CHUNK, keepOpen],
  ])('is taken %s', async (_, head, body, end) => {
    await startStore(head, body, end)
    expect(String(await store.get('segment'))).toBe(OBJECT)
  })

  it.each([
    ['shorter than its length', length(OBJECT), HALF, closeOrderly],
    ['in chunks without the last one', CHUNKED, chunk(HALF), closeOrderly],
    ['up to an orderly end', '', HALF, closeOrderly],
    ['behind a head that ends in CR LF LF', 'x: y\r\n\n', OBJECT, closeOrderly],
    ['up to a reset', '', HALF, resetLater],
  ])('is not accepted %s', async (_, head, body, end) => {
    await startStore(head, body, end)
    const outcome = await store.get('segment').catch(toRackwalkError)
    expect(outcome).toMatchObject({ code: ResultCode.PlatformAmbiguous })
  })

  it('is not silently missing from a list that was interrupted', async () => {
    await startStore('', HALF_LIST, closeOrderly)
    const outcome = await store.list('', 10).catch(toRackwalkError)
    expect(outcome).toMatchObject({ code: ResultCode.PlatformAmbiguous })
  })
})
