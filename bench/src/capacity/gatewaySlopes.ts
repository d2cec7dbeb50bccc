/** Measures the slopes of the gateway kind in this process. */

import { UNKNOWN_SOFTWARE_VERSION, VirtualClock, endpointStart } from '@rackwalk/shared'
import { DemandHoldingPolicy, PrepaidLedger, StoreClock } from '@rackwalk/coordination'
import { decodeReport, encodeReport } from '@rackwalk/daemon'
import { rankEndpoints } from '@rackwalk/decisions'
import { FleetLoad, EndpointDirectory, sharedPartOf, snapshotEndpoint } from '@rackwalk/router'
import type { PeerLoadReport, PromptPart } from '@rackwalk/router'
import { MemoryRowStore } from '@rackwalk/stand-ins'
import { heapBytesOf, medianMicroseconds, slopeOverSizes } from './slope.js'
import type { Slope } from './slope.js'

/** Slopes of an instance that serves generic routes. Times in microseconds, memory in bytes. */
export interface GatewaySlopes {
  readonly choice: Slope
  readonly reportTaken: Slope
  readonly reportBytes: Slope
  readonly cacheHeap: Slope
  /** Time that a second of the ledger takes while its budgets are idle. */
  readonly prepaidMaintain: Slope
  readonly prepaidHeap: Slope
}

const SERVICE = 'model'
const INSTANCE = { instance: 'edge-hall-a-1', incarnation: '0a1b2c3d' }
/** Prompt parts of 1,000 tokens each that a server with a cache of 300,000 tokens holds. */
const PARTS_KEPT = 180
const PART_TOKENS = 1_000
const CAPACITY = 300_000
const LIMIT = 1_000_000

/** Measures all slopes one after another. */
export async function measureGatewaySlopes(): Promise<GatewaySlopes> {
  return {
    choice: await slopeOverSizes([6, 60, 240], measureChoice),
    reportTaken: await slopeOverSizes([1, 4, 16], servers => {
      const { fleetLoad } = createServers(16)
      let sequence = 0
      return medianMicroseconds(() => {
        sequence += 1
        const report = decodeReport(encodeReport(reportOf(servers, sequence)))
        if (report !== undefined) fleetLoad.observe(report)
      }, 200)
    }),
    reportBytes: await slopeOverSizes([1, 4, 16], servers =>
      Promise.resolve(encodeReport(reportOf(servers, 1_000)).length),
    ),
    cacheHeap: await slopeOverSizes([6, 60, 240], size =>
      heapBytesOf(() => {
        const { fleetLoad } = createServers(size)
        for (let server = 0; server < size; server += 1) fillCache(fleetLoad, server)
        return fleetLoad
      }),
    ),
    prepaidMaintain: await slopeOverSizes([100, 400, 1_600], async size => {
      const { clock } = await createLedger(size)
      // Whole recording rounds, so that each size is measured with its share of records.
      const rounds = 10
      return (await medianMicroseconds(() => clock.advance(rounds * 1_000), 1, 5)) / rounds
    }),
    prepaidHeap: await slopeOverSizes([100, 400, 1_600], size =>
      heapBytesOf(() => createLedger(size)),
    ),
  }
}

async function measureChoice(size: number): Promise<number> {
  const { directory, fleetLoad } = createServers(size)
  for (let server = 0; server < size; server += 1) fillCache(fleetLoad, server)
  const prompt = {
    tokens: { prompt: 3 * PART_TOKENS, maximumOutput: 0 },
    promptParts: [part(3), part(7), part(10_000)],
  }
  return medianMicroseconds(() => {
    const available = directory.available(SERVICE)
    return rankEndpoints({
      open: available.map(endpoint => snapshotEndpoint(endpoint, fleetLoad, prompt, 0)),
      serviceIds: available.map(({ record }) => record.id),
      sharedPartId: sharedPartOf(prompt),
      answerTokens: 300,
      pauseStretch: undefined,
      failureDomain: 'hall-a',
      chance: 0.5,
    })
  }, 20)
}

function createServers(size: number) {
  const clock = new VirtualClock()
  const directory = new EndpointDirectory({
    clock,
    instances: () => 7,
    maximumConnections: () => 360,
    coldMilliseconds: () => 0,
    onChange: () => {},
  })
  for (let server = 0; server < size; server += 1) {
    directory.set({
      id: endpointId(server),
      start: endpointStart(endpointId(server), undefined),
      service: SERVICE,
      address: '10.20.30.40:8080',
      failureDomain: 'hall-a',
      softwareVersion: UNKNOWN_SOFTWARE_VERSION,
      slots: 64,
      isLeaving: false,
      coldMilliseconds: 0,
    })
  }
  const fleetLoad = new FleetLoad({
    ...INSTANCE,
    directory,
    clock,
    capacityOf: () => CAPACITY,
    isReported: () => true,
    users: () => 7,
  })
  return { directory, fleetLoad }
}

function fillCache(fleetLoad: FleetLoad, server: number): void {
  const parts = Array.from({ length: PARTS_KEPT }, (_, number) => part(number))
  fleetLoad.noteSent(endpointId(server), parts, PART_TOKENS)
  fleetLoad.nextReport(false)
}

function part(number: number): PromptPart {
  return { id: (0x10000000 + number).toString(16), tokens: PART_TOKENS }
}

function endpointId(number: number): string {
  return `i-${(0x1000000000 + number).toString(16)}`
}

function reportOf(servers: number, sequence: number): PeerLoadReport {
  const loads = Array.from({ length: servers }, (_, server) => ({
    endpoint: endpointId(server),
    running: 2,
    pendingTokens: 1_500,
    parts: [part(server), part(server + 1)],
  }))
  return { ...INSTANCE, sequence, isWhole: false, loads }
}

/** Creates a ledger that is registered with each of its budgets. */
async function createLedger(budgets: number) {
  const clock = new VirtualClock()
  const { store } = new MemoryRowStore(clock).connect()
  const ledger = new PrepaidLedger({
    ...INSTANCE,
    store,
    storeClock: new StoreClock(clock),
    clock,
    startedAt: 0,
    policy: new DemandHoldingPolicy(),
    isActive: () => true,
    otherInstances: () => [],
    limits: { writesPerSecond: 600, partitionWritesPerSecond: 150, reserveShare: 0 },
    onEvent: () => {},
    onMalformedRow: () => {},
  })
  const limits = Array.from({ length: budgets }, (_, number) => ({
    budget: `team-${number}`,
    limit: LIMIT,
  }))
  ledger.configure(limits, 1)
  ledger.start()
  await clock.advance(1_000)
  return { ledger, clock }
}
