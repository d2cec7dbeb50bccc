import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { SystemClock, SystemRandom, sleep } from '@rackwalk/shared'
import { TableMirror } from '@rackwalk/coordination'
import { StalenessMonitor, PeerRowClient, handleRowsRequest } from '@rackwalk/daemon'
import { MemoryRowStore } from '@rackwalk/stand-ins'

/**
 * The store is away for all. One instance has a full link: datagrams of others come through, and answers to its own
 * questions come late.
 */

const TABLE = 'op'
const BOUND_MILLISECONDS = 3_000
/** Longer than a peer's answer is usually awaited. */
const SLOW_MILLISECONDS = 500
const STEP_MILLISECONDS = 50

const clock = new SystemClock()
const stops: (() => void)[] = []

afterEach(() => {
  for (const stop of stops.splice(0)) stop()
})

type AskPeers = (
  table: string,
  after: number,
  patience?: number,
) => ReturnType<PeerRowClient['ask']>

function mirrorOn(store: MemoryRowStore, askPeers?: AskPeers) {
  const { store: client, faults } = store.connect()
  const known = { value: undefined as string | undefined }
  const mirror = new TableMirror({
    store: client,
    table: TABLE,
    partitions: () => [''],
    clock,
    listener: { onRows: rows => rows.forEach(({ value }) => (known.value = value)) },
    ...(askPeers === undefined ? {} : { askPeers }),
    waitMilliseconds: BOUND_MILLISECONDS / 2,
    pauseMilliseconds: () => 20,
  })
  mirror.start()
  stops.push(() => mirror.stop())
  return { mirror, faults, known }
}

/** A peer whose answers reach the asker late; undefined ones never do. */
async function listenSlowly(mirror: TableMirror, delay: number | undefined): Promise<string> {
  const server: Server = createServer((request, response) => {
    if (delay === undefined) return
    const { status, json } = handleRowsRequest(request.url ?? '/', new Map([[TABLE, mirror]]))
    setTimeout(() => response.writeHead(status).end(json), delay)
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  stops.push(() => {
    server.closeAllConnections()
    server.close()
  })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

/** An instance that hears datagrams all along and asks peers, of which the given delays are those of the answers. */
async function setUp(delays: readonly (number | undefined)[]) {
  const store = new MemoryRowStore(clock)
  store.put(TABLE, 'config', 'old')
  const peer = mirrorOn(store)
  const seeds = await Promise.all(delays.map(delay => listenSlowly(peer.mirror, delay)))
  const peerRows = new PeerRowClient({
    own: undefined,
    seeds,
    knownAddresses: () => [],
    nearAddresses: () => [],
    random: new SystemRandom(),
    timeoutMilliseconds: 400,
    onMalformed: ({ form }) => expect.unreachable(form),
  })
  const instance = mirrorOn(store, (table, after, patience) => peerRows.ask(table, after, patience))
  const watch = new StalenessMonitor({
    clock,
    tables: new Map([[TABLE, { mirror: instance.mirror, boundMilliseconds: BOUND_MILLISECONDS }]]),
    reachability: () => ({
      heardAgoMilliseconds: 20,
      answeredAgoMilliseconds: Number.POSITIVE_INFINITY,
    }),
    onChange: () => {},
    onFault: error => expect.unreachable(String(error)),
  })
  watch.start()
  stops.push(() => watch.stop())
  while (!instance.mirror.isLoaded || !peer.mirror.isLoaded) await sleep(clock, 10)
  return { store, peer, instance, watch }
}

/** What requests meet for so long: the value by which each would be served, or its refusal. */
async function serve(
  { watch, instance }: Awaited<ReturnType<typeof setUp>>,
  spanMilliseconds: number,
) {
  const met = new Set<string>()
  for (let passed = 0; passed < spanMilliseconds; passed += STEP_MILLISECONDS) {
    try {
      watch.check()
      met.add(instance.known.value ?? 'nothing')
    } catch {
      met.add('refused')
    }
    await sleep(clock, STEP_MILLISECONDS)
  }
  return [...met]
}

describe('an instance whose own link is full while the store is away for all', () => {
  it('serves on by what its peers tell it late', async () => {
    const fleet = await setUp([SLOW_MILLISECONDS])
    fleet.instance.faults.isCut = true
    fleet.peer.faults.isCut = true
    expect(await serve(fleet, 2 * BOUND_MILLISECONDS)).toEqual(['old'])
  }, 15_000)

  it('serves on where one of its peers is silent', async () => {
    const fleet = await setUp([SLOW_MILLISECONDS, undefined])
    fleet.instance.faults.isCut = true
    fleet.peer.faults.isCut = true
    expect(await serve(fleet, 2 * BOUND_MILLISECONDS)).toEqual(['old'])
  }, 15_000)

  it('has what its peers know within the bound, however late they tell it', async () => {
    const fleet = await setUp([SLOW_MILLISECONDS])
    fleet.instance.faults.isCut = true
    await sleep(clock, BOUND_MILLISECONDS)
    fleet.store.put(TABLE, 'config', 'new')
    await sleep(clock, BOUND_MILLISECONDS)
    expect(await serve(fleet, BOUND_MILLISECONDS)).toEqual(['new'])
  }, 15_000)

  it('refuses where answers come too late to speak for the present', async () => {
    const fleet = await setUp([BOUND_MILLISECONDS])
    fleet.instance.faults.isCut = true
    fleet.peer.faults.isCut = true
    await sleep(clock, BOUND_MILLISECONDS)
    expect(await serve(fleet, BOUND_MILLISECONDS)).toEqual(['refused'])
  }, 15_000)
})
