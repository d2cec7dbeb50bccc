import { describe, expect, it } from 'vitest'
import { NotRunError, ResultCode, VirtualClock } from '@rackwalk/shared'
import { TableMirror } from '@rackwalk/coordination'
import type { MirrorPage } from '@rackwalk/coordination'
import { StalenessMonitor } from '@rackwalk/daemon'
import { MemoryRowStore } from '@rackwalk/stand-ins'

/**
 * Guards against requests that are served by stale data. One instance can't read the store properly because its link is
 * full, because the store doesn't answer this instance, or because the store is unreachable for all. The tests write a change
 * and check which value the instance serves by, or whether it refuses, after its staleness bound has passed.
 */

const TABLE = 'op'
const BOUND_MILLISECONDS = 3_000
const STEP_MILLISECONDS = 50

type AskPeers = (after: number) => MirrorPage | undefined

function startInstance(store: MemoryRowStore, clock: VirtualClock, askPeers?: AskPeers) {
  const { store: client, faults } = store.connect()
  const known = { value: undefined as string | undefined }
  const answered = { at: Number.NEGATIVE_INFINITY }
  /** Whether gossip datagrams of other instances arrive. */
  const gossip = { isArriving: false }
  const mirror = new TableMirror({
    store: client,
    table: TABLE,
    partitions: () => [''],
    clock,
    listener: { onRows: rows => rows.forEach(({ value }) => (known.value = value)) },
    askPeers: (_, after) => Promise.resolve(askPeers?.(after)),
    waitMilliseconds: BOUND_MILLISECONDS / 2,
    pauseMilliseconds: () => 20,
  })
  const changes: boolean[] = []
  const monitor = new StalenessMonitor({
    clock,
    tables: new Map([[TABLE, { mirror, boundMilliseconds: BOUND_MILLISECONDS }]]),
    reachability: () => ({
      heardAgoMilliseconds: gossip.isArriving ? 20 : Number.POSITIVE_INFINITY,
      answeredAgoMilliseconds: clock.monotonic() - answered.at,
    }),
    onChange: ({ isRefusing }) => changes.push(isRefusing),
    onFault: error => expect.unreachable(String(error)),
  })
  mirror.start()
  monitor.start()
  return { known, answered, gossip, faults, mirror, monitor, changes, clock }
}

type MonitoredInstance = ReturnType<typeof startInstance>

/** Returns the value by which a request is served, or the code of its refusal. */
function serve({ monitor, known }: MonitoredInstance): string | ResultCode {
  try {
    monitor.check()
    return known.value ?? 'nothing'
  } catch (thrown) {
    expect(thrown).toBeInstanceOf(NotRunError)
    return (thrown as NotRunError).code
  }
}

/** Returns the distinct results of requests after the staleness bound has passed since a change. */
async function servedAfterBound(instance: MonitoredInstance, spanMilliseconds: number) {
  await instance.clock.advance(BOUND_MILLISECONDS)
  const met = new Set<string | ResultCode>()
  for (let passed = 0; passed < spanMilliseconds; passed += STEP_MILLISECONDS) {
    met.add(serve(instance))
    await instance.clock.advance(STEP_MILLISECONDS)
  }
  return [...met]
}

async function setUp(
  askPeers?: (peer: MonitoredInstance, after: number) => MirrorPage | undefined,
) {
  const clock = new VirtualClock()
  const store = new MemoryRowStore(clock)
  store.put(TABLE, 'config', 'old')
  const peer = startInstance(store, clock)
  const instance = startInstance(store, clock, after => askPeers?.(peer, after))
  await clock.advance(4_000)
  return { clock, store, peer, instance }
}

describe('an instance whose view of the configuration is stale', () => {
  it('gets a change from a peer in time if the store answers too late', async () => {
    const { store, instance } = await setUp((peer, after) => peer.mirror.since(after))
    instance.faults.slowMilliseconds = 20_000
    store.put(TABLE, 'config', 'new')
    expect(await servedAfterBound(instance, 5_000)).toEqual(['new'])
  })

  it('refuses while its link is so slow that gossip arrives but no calls are answered', async () => {
    const { clock, store, instance } = await setUp()
    instance.faults.slowMilliseconds = 20_000
    store.put(TABLE, 'config', 'new')
    instance.gossip.isArriving = true
    expect(await servedAfterBound(instance, 5_000)).toEqual([ResultCode.KnowledgeTooOld])
    instance.faults.slowMilliseconds = 0
    await clock.advance(30_000)
    expect(serve(instance)).toBe('new')
    expect(instance.changes).toEqual([true, false])
  })

  it('refuses while the store answers its other calls and no peer sends changes', async () => {
    const { clock, store, instance } = await setUp()
    instance.faults.isCut = true
    store.put(TABLE, 'config', 'new')
    const answering = async () => {
      for (let call = 0; call < 160; call += 1) {
        instance.answered.at = clock.monotonic()
        await clock.advance(STEP_MILLISECONDS)
        if (call * STEP_MILLISECONDS >= BOUND_MILLISECONDS) {
          expect(serve(instance)).toBe(ResultCode.KnowledgeTooOld)
        }
      }
    }
    await answering()
  })

  it('keeps serving while the store is unreachable for all, if its peers answer', async () => {
    const { peer, instance } = await setUp((other, after) => other.mirror.since(after))
    instance.faults.isCut = true
    peer.faults.isCut = true
    instance.gossip.isArriving = true
    expect(await servedAfterBound(instance, 8_000)).toEqual(['old'])
  })

  it('keeps serving if it is cut off from the store and all peers', async () => {
    const { instance } = await setUp()
    instance.faults.isCut = true
    expect(await servedAfterBound(instance, 8_000)).toEqual(['old'])
    expect(instance.changes).toEqual([])
  })
})
