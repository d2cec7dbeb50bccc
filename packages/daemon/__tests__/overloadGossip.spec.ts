import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { describe, expect, it } from 'vitest'
import type { FleetLoad, PeerLoadReport } from '@rackwalk/router'
import {
  LoadExchange,
  OverloadedInstances,
  decodeAdviceGossip,
  decodeReport,
  encodeReport,
  decodeCrashGossip,
  encodeOverloadGossip,
  reportsOverload,
} from '@rackwalk/daemon'
import { VirtualClock } from '@rackwalk/shared'

const SENDER = { instance: 'instance-1', incarnation: 'life-1' }
const NOTHING_NEW: PeerLoadReport = { ...SENDER, sequence: 1, isWhole: true, loads: [] }
const IDLE_LOAD = {
  nextReport: () => undefined,
  fullReport: () => NOTHING_NEW,
  heartbeatReport: () => NOTHING_NEW,
  expire: () => {},
}

describe('overload gossip', () => {
  it('is encoded as an outdated report, which an earlier version drops', () => {
    const [report] = encodeOverloadGossip(SENDER)
    const bytes = report === undefined ? Buffer.of() : encodeReport(report)
    expect(bytes.toString()).toMatchInlineSnapshot(
      `"["instance-1","life-1",0,false,[["instance overloaded",0,0,[]]]]"`,
    )
    const decoded = decodeReport(bytes)
    expect(decoded && reportsOverload(decoded)).toBe(true)
    expect(decoded && [decodeCrashGossip(decoded), decodeAdviceGossip(decoded)]).toEqual([
      { marks: [], cleared: [] },
      [],
    ])
  })

  it('holds despite lost datagrams, and expires', async () => {
    const clock = new VirtualClock()
    const overloaded = new OverloadedInstances(clock, () => 1_000)
    overloaded.note('instance-1')
    await clock.advance(3_000)
    expect([overloaded.has('instance-1'), overloaded.has('instance-2')]).toEqual([true, false])
    await clock.advance(1_000)
    expect(overloaded.has('instance-1')).toBe(false)
  })
})

describe('overload gossip in a large fleet', () => {
  const PEERS = 299
  const SPAN_SECONDS = 60
  /** Bandwidth of an instance for everything that it sends to other instances besides its reports. */
  const BYTES_PER_SECOND = 5_000
  /** Bytes of a datagram's headers. */
  const HEAD_BYTES = 28

  it('costs each instance no more than the heartbeat bandwidth, and holds until the next message', async () => {
    const sink = createSocket('udp4')
    let bytes = 0
    sink.on('message', message => (bytes += message.length + HEAD_BYTES))
    await new Promise<void>(resolve => sink.bind(0, '127.0.0.1', resolve))
    const clock = new VirtualClock()
    const address = `127.0.0.1:${sink.address().port}`
    const peers = Array.from({ length: PEERS }, (_, index) => {
      return { instance: `i-${index}`, incarnation: 'life', address }
    })
    const exchange = new LoadExchange({
      address: '127.0.0.1:0',
      reportPeers: () => peers,
      heartbeatPeers: () => [],
      fleetLoad: IDLE_LOAD as unknown as FleetLoad,
      identity: SENDER,
      onCrashGossip: () => {},
      onAdviceGossip: () => {},
      onOverloaded: () => {},
      onCutOff: () => {},
      onSender: () => {},
      standingAdvice: () => [],
      standingCrashes: () => ({ marks: [], cleared: [] }),
      standingVersions: () => [],
      onStreamGossip: () => {},
      clock,
      onMalformed: () => {},
    })
    exchange.start()
    const overloaded = new OverloadedInstances(clock, () => exchange.overloadGossipMilliseconds)
    sink.on('message', () => overloaded.note(SENDER.instance))
    let missing = 0
    for (let second = 0; second < SPAN_SECONDS; second += 1) {
      exchange.gossipOverload()
      // The sockets are real: on a busy machine the first datagram takes longer than any fixed time.
      if (second === 0) await once(sink, 'message')
      await new Promise(resolve => setTimeout(resolve, 20))
      if (!overloaded.has(SENDER.instance)) missing += 1
      await clock.advance(1_000)
    }
    exchange.stop()
    sink.close()
    expect(bytes).toBeGreaterThan(0)
    expect(bytes / SPAN_SECONDS).toBeLessThan(BYTES_PER_SECOND)
    expect(missing).toBe(0)
  })
})
