import { describe, expect, it } from 'vitest'
import { CRASH_PARTITION, CRASH_TABLE, CrashRecordStore, TableMirror } from '@rackwalk/coordination'
import { VirtualClock, asId } from '@rackwalk/shared'
import type { EndpointStart, RequestFingerprint } from '@rackwalk/shared'
import { MemoryRowStore } from '@rackwalk/stand-ins'

/**
 * Crash records of a request are written by several instances, read by all, and removed when the
 * request is cleared.
 */

const REQUEST = asId<RequestFingerprint>('request')
const DAY_MILLISECONDS = 24 * 3_600_000

function mark(start: string, wasIsolated = false) {
  return { fingerprint: REQUEST, start: asId<EndpointStart>(start), wasIsolated }
}

/** A clock on which days can pass without simulating each second of them. */
class CalendarClock extends VirtualClock {
  daysLater = 0

  override wallTime(): number {
    return super.wallTime() + this.daysLater * DAY_MILLISECONDS
  }
}

function setUp() {
  const clock = new CalendarClock()
  const store = new MemoryRowStore(clock)
  const startInstance = () => {
    const client = store.connect()
    const reported: string[] = []
    const records = new CrashRecordStore({
      store: client.store,
      clock,
      onMarks: marks =>
        reported.push(...marks.map(({ start, wasIsolated }) => `${start} ${wasIsolated}`)),
      onCleared: fingerprint => reported.push(`${fingerprint} cleared`),
      onMalformedRow: ({ key }) => reported.push(`${key} malformed`),
    })
    const mirror = new TableMirror({
      store: client.store,
      table: CRASH_TABLE,
      partitions: () => [CRASH_PARTITION],
      clock,
      listener: records,
      waitMilliseconds: 200,
      pauseMilliseconds: () => 20,
    })
    mirror.start()
    return { records, reported, faults: client.faults }
  }
  const rows = () => {
    const outcome = store.read(CRASH_TABLE, CRASH_PARTITION)
    return outcome.kind === 'rows' ? outcome.rows.map(({ value }) => value) : []
  }
  return { clock, store, startInstance, rows }
}

describe('crash records', () => {
  it('of two instances that write concurrently are merged, and reach a third', async () => {
    const { clock, startInstance, rows } = setUp()
    const [first, second, third] = [startInstance(), startInstance(), startInstance()]
    await clock.advance(1_000)
    first.records.record([mark('a')])
    second.records.record([mark('b', true)])
    await clock.advance(3_000)
    expect(rows()).toHaveLength(1)
    expect(third.reported).toContain('a false')
    expect(third.reported).toContain('b true')
  })

  it('are written as soon as an unavailable store accepts writes again', async () => {
    const { clock, startInstance, rows } = setUp()
    const { records, faults } = startInstance()
    await clock.advance(1_000)
    faults.isThrottled = true
    records.record([mark('a')])
    await clock.advance(5_000)
    expect(rows()).toHaveLength(0)
    faults.isThrottled = false
    await clock.advance(2_000)
    expect(rows()).toHaveLength(1)
  })

  it('clear the request at every instance when they are removed', async () => {
    const { clock, store, startInstance } = setUp()
    const [first, second] = [startInstance(), startInstance()]
    await clock.advance(1_000)
    first.records.record([mark('a')])
    await clock.advance(1_000)
    store.remove(CRASH_TABLE, REQUEST)
    await clock.advance(1_000)
    expect(first.reported).toContain('request cleared')
    expect(second.reported).toContain('request cleared')
  })

  it('are removed by the instance that saw the request answered', async () => {
    const { clock, startInstance, rows } = setUp()
    const [first, second] = [startInstance(), startInstance()]
    await clock.advance(1_000)
    first.records.record([mark('a')])
    await clock.advance(1_000)
    second.records.remove(REQUEST)
    await clock.advance(1_000)
    expect(rows()).toEqual([])
    expect(first.reported).toContain('request cleared')
  })

  it('are kept for a week, and removed by the first instance that reads them later', async () => {
    const { clock, startInstance, rows } = setUp()
    const { records } = startInstance()
    await clock.advance(1_000)
    records.record([mark('a'), mark('b', true)])
    await clock.advance(1_000)
    expect(rows()).toMatchInlineSnapshot(`
      [
        "{"ends":[{"start":"a","wasIsolated":false},{"start":"b","wasIsolated":true}],"at":1000}",
      ]
    `)
    clock.daysLater = 6
    startInstance()
    await clock.advance(5_000)
    expect(rows()).toHaveLength(1)
    clock.daysLater = 8
    startInstance()
    await clock.advance(5_000)
    expect(rows()).toHaveLength(0)
  })

  it('that are malformed are reported and ignored', async () => {
    const { clock, store, startInstance } = setUp()
    store.put(CRASH_TABLE, 'strange', '{"ends":3}')
    const { reported } = startInstance()
    await clock.advance(1_000)
    expect(reported).toEqual(['strange malformed'])
  })
})
