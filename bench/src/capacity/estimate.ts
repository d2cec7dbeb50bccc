/** Estimates the control work of instances of the OpenAI-style kind from measured slopes. */

import type { FleetSize } from './fleetSize.js'
import type { MeasuredSlopes } from './measuredSlopes.js'
import type { Slope } from './slope.js'

/** Cost of one part of the control work on one node. */
export interface NodeCost {
  readonly part: string
  /** Processor time as a share of one core. */
  readonly coreShare: number
  readonly bytesPerSecond: number
  readonly heapBytes: number
  readonly mechanism: string
}

/** Load of one part of the control work on the platform, from the whole fleet. */
export interface PlatformCost {
  readonly part: string
  readonly writesPerSecond: number
  readonly readsPerSecond: number
  readonly mechanism: string
}

const MICROSECONDS = 1e6
const SECONDS_PER_DAY = 86_400
const HEARTBEATS_PER_SECOND = 1
/** One in five heartbeats within a group carries digests. */
const DIGEST_SHARE = 0.2
const REGION_MESH_LIMIT = 24
const SEGMENT_PERIOD_SECONDS = 10
const CONFIGURATION_PERIOD_SECONDS = 2
const RECORDS_IN_MEMORY = 20_000
const JOURNAL_BACKLOG_ENTRIES = 50_000
const FLEET_JOURNAL_WRITES_PER_SECOND = 60
const EXCHANGE_PERIOD_SECONDS = 30
const REPORT_PERIOD_SECONDS = 1
/** Bytes on the wire of a load exchange with its headers and half an exchange of cache events. */
const REPORT_BYTES = 600
/** Bytes of a budget row, read and written once. */
const EXCHANGE_BYTES = 2_000
const REAPER_PERIOD_SECONDS = 5
const REAPERS_PER_REGION = 2
const LEASE_PERIOD_SECONDS = 2

function valueAt(slope: Slope, size: number): number {
  return Math.max(0, slope.fixed + slope.perUnit * size)
}

/** Returns the size of a node's heartbeat group: a small region, otherwise a failure domain. */
function groupSize(fleet: FleetSize): number {
  const region = fleet.nodes / fleet.regions
  return region <= REGION_MESH_LIMIT ? region : fleet.nodes / fleet.failureDomains
}

/**
 * Returns the number of budgets used at one node. Each budget is used at few nodes, since callers
 * keep the address of their node.
 */
function budgetsPerNode(fleet: FleetSize): number {
  return Math.min(fleet.budgets, Math.max(10, (fleet.budgets * fleet.regions) / fleet.nodes))
}

/** Estimates the control work of one node. */
export function nodeCosts(fleet: FleetSize, slopes: MeasuredSlopes): readonly NodeCost[] {
  const group = groupSize(fleet)
  const groups = fleet.nodes / group
  const requests = fleet.requestsPerSecond / fleet.nodes
  const digestBytes = groups > 1 ? valueAt(slopes.digestBytes, groups) : 0
  const beatBytes =
    2 * HEARTBEATS_PER_SECOND * (group * (slopes.heartbeatBytes + DIGEST_SHARE * digestBytes)) +
    2 * (slopes.heartbeatBytes + digestBytes) * (groups > 1 ? 1 : 0)
  const changes = fleet.changesPerDay / SECONDS_PER_DAY
  const budgets = budgetsPerNode(fleet)
  const share = (microseconds: number) => microseconds / MICROSECONDS
  return [
    {
      part: 'heartbeats and digests',
      coreShare: share(valueAt(slopes.heartbeatRound, fleet.nodes)) * HEARTBEATS_PER_SECOND,
      bytesPerSecond: beatBytes,
      heapBytes: Math.max(0, slopes.memberHeap.perUnit * fleet.nodes),
      mechanism: 'packages/coordination/src/membership/membership.ts',
    },
    {
      part: 'budget holder',
      coreShare: share(valueAt(slopes.budgetMaintain, budgets)),
      bytesPerSecond:
        (EXCHANGE_BYTES * Math.min(budgets, requests * EXCHANGE_PERIOD_SECONDS)) /
        EXCHANGE_PERIOD_SECONDS,
      heapBytes: slopes.budgetHeap.perUnit * budgets,
      mechanism: 'packages/coordination/src/budget/budgetLedger.ts',
    },
    {
      part: 'journal',
      coreShare: share(slopes.journalEntry.perUnit * requests),
      bytesPerSecond: slopes.journalEntryBytes * requests,
      heapBytes: slopes.backlogHeap.perUnit * JOURNAL_BACKLOG_ENTRIES,
      mechanism: 'packages/coordination/src/journal/journal.ts (heap: full backlog)',
    },
    {
      part: 'decision records',
      coreShare: share(slopes.recordAdded.perUnit * requests),
      bytesPerSecond: slopes.recordBytes * requests,
      heapBytes: slopes.recordHeap.perUnit * RECORDS_IN_MEMORY,
      mechanism: 'packages/coordination/src/segmentArchive.ts',
    },
    {
      part: 'configuration',
      coreShare: share(slopes.changeApplied.perUnit * changes),
      bytesPerSecond: changes * 500 + 200 / CONFIGURATION_PERIOD_SECONDS,
      heapBytes: slopes.resourceHeap.perUnit * (fleet.teams + fleet.endpoints + fleet.models),
      mechanism: 'packages/coordination/src/configuration/configurationFollower.ts',
    },
    {
      part: 'endpoint reports and prefix index',
      coreShare: 0,
      bytesPerSecond: (fleet.endpoints * REPORT_BYTES) / REPORT_PERIOD_SECONDS,
      heapBytes: slopes.endpointHeap.perUnit * fleet.endpoints,
      mechanism: 'packages/daemon/src/tasks/endpointMonitor.ts (every node asks every endpoint)',
    },
  ]
}

/** Estimates the whole fleet's operations on the table service and the object store. */
export function platformCosts(fleet: FleetSize): readonly PlatformCost[] {
  const activeHoldings = Math.min(
    fleet.budgets * fleet.regions,
    fleet.requestsPerSecond * EXCHANGE_PERIOD_SECONDS,
  )
  return [
    {
      part: 'journals',
      writesPerSecond: Math.min(FLEET_JOURNAL_WRITES_PER_SECOND, fleet.nodes / 0.025),
      readsPerSecond: 0,
      mechanism: 'group commit; one committer a failure domain (journal/domainCommitter.ts)',
    },
    {
      part: 'budget exchanges',
      writesPerSecond:
        Math.min(activeHoldings, fleet.budgets * fleet.regions) / EXCHANGE_PERIOD_SECONDS,
      readsPerSecond: activeHoldings / EXCHANGE_PERIOD_SECONDS,
      mechanism: 'one exchange for each active budget and holder in 30 s (budget/budgetStore.ts)',
    },
    {
      part: 'configuration',
      writesPerSecond: fleet.changesPerDay / SECONDS_PER_DAY,
      readsPerSecond: fleet.nodes / CONFIGURATION_PERIOD_SECONDS,
      mechanism: 'one query of the log a node in 2 s (configuration/configurationFollower.ts)',
    },
    {
      part: 'decision segments (object store)',
      writesPerSecond: fleet.nodes / SEGMENT_PERIOD_SECONDS,
      readsPerSecond: 0,
      mechanism: 'one segment a node in 10 s (segmentArchive.ts)',
    },
    {
      part: 'reaper, planner lease',
      writesPerSecond: 1 / LEASE_PERIOD_SECONDS,
      readsPerSecond:
        (fleet.regions * REAPERS_PER_REGION) / REAPER_PERIOD_SECONDS +
        fleet.nodes / REAPER_PERIOD_SECONDS +
        fleet.nodes / LEASE_PERIOD_SECONDS,
      mechanism: 'two reapers a region; every node reads the list and the lease',
    },
  ]
}
