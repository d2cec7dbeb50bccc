import { createSocket } from 'node:dgram'
import { expect, it } from 'vitest'
import { LoadExchange } from '@rackwalk/daemon'
import type { FleetLoad, PeerLoadReport } from '@rackwalk/router'
import { VirtualClock } from '@rackwalk/shared'

const IDENTITY = { instance: 'instance-1', incarnation: 'first' }
const REPORT: PeerLoadReport = { ...IDENTITY, sequence: 1, isWhole: true, loads: [] }

// An instance sent no datagram any more, and counted as silent.
it(
  'an exchange of datagrams goes on after a fault between two reports',
  { timeout: 10_000 },
  async () => {
    const sink = createSocket('udp4')
    await new Promise<void>(resolve => sink.bind(0, '127.0.0.1', resolve))
    const address = `127.0.0.1:${sink.address().port}`
    const clock = new VirtualClock()
    let faults = 0
    const fleetLoad = {
      nextReport: () => {
        faults += 1
        if (faults === 1) throw new RangeError('port out of range')
        return REPORT
      },
      fullReport: () => REPORT,
      heartbeatReport: () => REPORT,
      expire: () => {},
    }
    const exchange = new LoadExchange({
      address: '127.0.0.1:0',
      reportPeers: () => [{ instance: 'peer-1', incarnation: 'first', address }],
      heartbeatPeers: () => [],
      fleetLoad: fleetLoad as unknown as FleetLoad,
      identity: IDENTITY,
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
    let thrown = 0
    while (faults === 0) {
      await new Promise(resolve => setTimeout(resolve, 10))
      await clock.advance(1_000).catch(() => (thrown += 1))
    }
    expect(thrown).toBe(1)
    let received = 0
    // The report that preceded the fault may still be on its way.
    await new Promise(resolve => setTimeout(resolve, 50))
    sink.on('message', () => (received += 1))
    await clock.advance(1_000)
    while (received < 3) await new Promise(resolve => setTimeout(resolve, 10))
    exchange.stop()
    sink.close()
  },
)
