import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { SystemClock, SystemRandom, sleep } from '@rackwalk/shared'
import { TableMirror } from '@rackwalk/coordination'
import { StalenessMonitor, PeerRowClient, handleRowsRequest } from '@rackwalk/daemon'
import { MemoryRowStore } from '@rackwalk/stand-ins'

/**
 * Guards against an instance that refuses requests although its peers keep it up to date. The store is unreachable for all
 * instances. One instance has a full link: gossip of other instances arrives, but answers to its own calls are slow.
 */

const TABLE = 'op'
const BOUND_MILLISECONDS = 3_000
/** Longer than the usual timeout of a peer's answer. */
const SLOW_MILLISECONDS = 500
const STEP_MILLISECONDS = 50

const clock = new SystemClock()
const stops: (() => void)[] = []

afterEach(() => {
  for (const stop of stops.splice(0)) stop()
})

type AskPeers = (table: string, after: number, timeout?: number) => ReturnType<PeerRowClient['ask']>

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

/** Starts a peer that answers after a delay, or never if the delay is undefined. Returns its address. */
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

/** Starts an instance that always receives gossip, and peers that answer its calls with the given delays. */
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
  const instance = mirrorOn(store, (table, after, timeout) => peerRows.ask(table, after, timeout))
  const monitor = new StalenessMonitor({
    clock,
    tables: new Map([[TABLE, { mirror: instance.mirror, boundMilliseconds: BOUND_MILLISECONDS }]]),
    reachability: () => ({
      heardAgoMilliseconds: 20,
      answeredAgoMilliseconds: Number.POSITIVE_INFINITY,
    }),
    onChange: () => {},
    onFault: error => expect.unreachable(String(error)),
  })
  monitor.start()
  stops.push(() => monitor.stop())
  while (!instance.mirror.isLoaded || !peer.mirror.isLoaded) await sleep(clock, 10)
  return { store, peer, instance, monitor }
}

/** Returns the distinct results of requests in the given time: the values they are served by, or refusals. */
async function serve(
  { monitor, instance }: Awaited<ReturnType<typeof setUp>>,
  spanMilliseconds: number,
) {
  const met = new Set<string>()
  for (let passed = 0; passed < spanMilliseconds; passed += STEP_MILLISECONDS) {
    try {
      monitor.check()
      met.add(instance.known.value ?? 'nothing')
    } catch {
      met.add('refused')
    }
    await sleep(clock, STEP_MILLISECONDS)
  }
  return [...met]
}

describe('an instance whose own link is full while the store is unreachable for all', () => {
  it('keeps serving by late answers of its peers', async () => {
    const fleet = await setUp([SLOW_MILLISECONDS])
    fleet.instance.faults.isCut = true
    fleet.peer.faults.isCut = true
    expect(await serve(fleet, 2 * BOUND_MILLISECONDS)).toEqual(['old'])
  }, 15_000)

  it('keeps serving if one of its peers does not answer', async () => {
    const fleet = await setUp([SLOW_MILLISECONDS, undefined])
    fleet.instance.faults.isCut = true
    fleet.peer.faults.isCut = true
    expect(await serve(fleet, 2 * BOUND_MILLISECONDS)).toEqual(['old'])
  }, 15_000)

  it('learns a change from its peers within the bound, although they answer late', async () => {
    const fleet = await setUp([SLOW_MILLISECONDS])
    fleet.instance.faults.isCut = true
    await sleep(clock, BOUND_MILLISECONDS)
    fleet.store.put(TABLE, 'config', 'new')
    await sleep(clock, BOUND_MILLISECONDS)
    expect(await serve(fleet, BOUND_MILLISECONDS)).toEqual(['new'])
  }, 15_000)

  it('refuses if the answers of peers arrive too late to prove that its data is fresh', async () => {
    const fleet = await setUp([BOUND_MILLISECONDS])
    fleet.instance.faults.isCut = true
    fleet.peer.faults.isCut = true
    await sleep(clock, BOUND_MILLISECONDS)
    expect(await serve(fleet, BOUND_MILLISECONDS)).toEqual(['refused'])
  }, 15_000)
})
