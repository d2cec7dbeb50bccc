import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import type { MemberRow } from '@rackwalk/coordination'
import { RESUMPTION_WINDOW_MILLISECONDS } from '@rackwalk/decisions'
import { StreamOriginClient } from '../src/gateway/streamOriginClient.js'

/** Queries for the origin of a stream, between instances of this release and of an earlier one. */

const OF_AN_EARLIER_RELEASE = { origins: [], versions: ['v1'] }
const OF_A_NEWCOMER = { ...OF_AN_EARLIER_RELEASE, knownForMilliseconds: 800 }
const PROVING = { ...OF_AN_EARLIER_RELEASE, knownForMilliseconds: RESUMPTION_WINDOW_MILLISECONDS }
const REMEMBERING = { ...OF_A_NEWCOMER, origins: [{ service: 'models', softwareVersion: 'v1' }] }

const stops: (() => void)[] = []
afterEach(() => {
  for (const stop of stops.splice(0)) stop()
})

/** Starts six peers that give these answers in turn. */
async function setUp(...answers: readonly unknown[]) {
  let calls = 0
  const malformed: string[] = []
  const server = createServer((_request, response) => {
    response.writeHead(200).end(JSON.stringify(answers[calls % answers.length]))
    calls += 1
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const peerAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const others = Array.from({ length: 6 }, (_, index) => {
    return { instance: `peer-${index}`, failureDomain: 'domain', peerAddress } as MemberRow
  })
  const client = new StreamOriginClient({
    others: () => others,
    timeoutMilliseconds: 3_000,
    onMalformed: ({ form }) => malformed.push(form),
  })
  stops.push(() => {
    client.close()
    server.closeAllConnections()
    server.close()
  })
  const ask = async () => {
    const told = await client.ask({ key: undefined, service: 'models' })
    return told.map(({ knownForMilliseconds }) => knownForMilliseconds)
  }
  return { ask, malformed }
}

describe('the query for the origin of a stream', () => {
  it('takes an answer of an earlier release for one that proves nothing, and asks others', async () => {
    const { ask, malformed } = await setUp(OF_AN_EARLIER_RELEASE)
    expect([await ask(), malformed]).toEqual([[0, 0, 0, 0, 0, 0], []])
  })

  it('goes on to others while nobody who answered remembers the stream', async () => {
    const newcomers = await setUp(OF_A_NEWCOMER)
    expect(await newcomers.ask()).toHaveLength(6)
    const proving = await setUp(OF_A_NEWCOMER, PROVING, OF_A_NEWCOMER)
    expect(await proving.ask()).toHaveLength(6)
    const remembering = await setUp(OF_A_NEWCOMER, REMEMBERING, OF_A_NEWCOMER)
    expect(await remembering.ask()).toHaveLength(3)
  })

  it('leaves out an answer whose time is none', async () => {
    const { ask, malformed } = await setUp({ ...PROVING, knownForMilliseconds: 'long' })
    expect([await ask(), malformed.length]).toEqual([[], 6])
  })
})
