import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import type { MemberRow } from '@rackwalk/coordination'
import type { ServiceHistory } from '@rackwalk/decisions'
import { SystemClock, asId } from '@rackwalk/shared'
import { VersionRecordClient, handleRecordRequest } from '../src/gateway/versionRecordClient.js'

/** Reads of the records of versions through another instance. */

const HISTORY: ServiceHistory = {
  service: 'models',
  knownForMilliseconds: 30_000,
  versions: [{ softwareVersion: asId('v1'), seenAgoMilliseconds: 0 }],
}

const KNOWN = { service: 'models', value: '{"knownSince":1,"versions":[]}', version: 7 }

/** Number of questions that peers got. */
let questions = 0
const stops: (() => void)[] = []
afterEach(() => {
  questions = 0
  for (const stop of stops.splice(0)) stop()
})

/** Starts a peer whose store answers with these records, or not at all, or one that answers otherwise. */
async function startPeer(
  records: readonly ServiceHistory[] | undefined,
  raw?: { readonly status: number; readonly body: string },
): Promise<MemberRow> {
  const byService = records && new Map(records.map(history => [history.service, history]))
  const server = createServer((request, response) => {
    questions += 1
    let body = ''
    request.on('data', bytes => (body += String(bytes)))
    request.on('end', () => {
      if (raw !== undefined) return response.writeHead(raw.status).end(raw.body)
      const path = request.url ?? ''
      const source = { readRecords: () => Promise.resolve(byService), knownRecords: [KNOWN] }
      return void handleRecordRequest(path, body, source).then(answer =>
        response.writeHead(answer?.status ?? 404).end(answer?.json),
      )
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  stops.push(() => {
    server.closeAllConnections()
    server.close()
  })
  const { port } = server.address() as AddressInfo
  return {
    instance: `peer-${port}`,
    failureDomain: 'domain',
    peerAddress: `127.0.0.1:${port}`,
  } as MemberRow
}

function clientOf(others: readonly MemberRow[]) {
  const malformed: string[] = []
  const onMalformed = ({ form }: { readonly form: string }) => malformed.push(form)
  const clock = new SystemClock()
  const client = new VersionRecordClient({ clock, others: () => others, onMalformed })
  stops.push(() => client.close())
  return { client, malformed }
}

describe('a read of a record through another instance', () => {
  it('gives what the peer has read, also that there is no record', async () => {
    const { client } = clientOf([await startPeer([HISTORY])])
    const { service, ...history } = HISTORY
    expect([await client.read(service), await client.read('others')]).toEqual([
      { history },
      { history: undefined },
    ])
  })

  it('takes the answer of the one of two peers that reaches the store', async () => {
    const { client } = clientOf([await startPeer(undefined), await startPeer([HISTORY])])
    expect((await client.read('models'))?.history?.versions).toEqual(HISTORY.versions)
  })

  it.each([
    ['a peer whose store does not answer', undefined, []],
    ['a peer of an earlier release', { status: 404, body: '' }, []],
    ['a malformed answer', { status: 200, body: '{"record":3}' }, ['record of versions']],
  ])('gives nothing from %s', async (_, raw, forms) => {
    const { client, malformed } = clientOf([await startPeer(undefined, raw)])
    expect([await client.read('models'), malformed]).toEqual([undefined, forms])
    if (raw !== undefined) expect(await client.knownRecords()).toEqual([])
  })

  it('is shared by all streams that wait, and begins after each of them has asked', async () => {
    const peer = await startPeer([HISTORY])
    const { client } = clientOf([peer])
    const early = client.read('models')
    await new Promise(resolve => setImmediate(resolve))
    const late = Array.from({ length: 40 }, () => client.read('models'))
    const reads = await Promise.all([early, ...late, client.read('others')])
    expect(reads.filter(read => read === undefined)).toEqual([])
    expect(questions).toBe(3)
  })

  it('gives what a peer remembers while no store answers, if that is asked for', async () => {
    const { client } = clientOf([await startPeer(undefined)])
    expect(await client.knownRecords()).toEqual([KNOWN])
  })

  it('gives nothing where there is no other instance', async () => {
    const { client } = clientOf([])
    expect([await client.read('models'), await client.knownRecords()]).toEqual([undefined, []])
  })
})

describe('the question for a record', () => {
  it('is left to others on another path, and refused if it is malformed', async () => {
    const readRecords = () => Promise.resolve(new Map<string, ServiceHistory>())
    const source = { readRecords, knownRecords: [] }
    expect(await handleRecordRequest('/streams/origin', '{}', source)).toBeUndefined()
    expect(await handleRecordRequest('/streams/record', '{}', source)).toEqual({ status: 400 })
  })
})
