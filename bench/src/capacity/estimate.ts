/** Control work of instances of the OpenAI-style kind, reckoned from measured slopes. */

import type { FleetSize } from './fleetSize.js'
import type { MeasuredSlopes } from './measuredSlopes.js'
import type { Slope } from './slope.js'

/** What one node spends on one part of the control work. */
export interface NodeCost {
  readonly part: string
  /** Processor time as a share of one core. */
  readonly coreShare: number
  readonly bytesPerSecond: number
  readonly heapBytes: number
  readonly mechanism: string
}

/** What the whole fleet asks of the platform. */
export interface PlatformCost {
  readonly part: string
  readonly writesPerSecond: number
  readonly readsPerSecond: number
  readonly mechanism: string
}

const MICROSECONDS = 1e6
const SECONDS_PER_DAY = 86_400
const HEARTBEATS_PER_SECOND = 1
/** In-group heartbeats that carry digests: one in five. */
const DIGEST_SHARE = 0.2
const REGION_MESH_LIMIT = 24
const SEGMENT_SECONDS = 10
const CONFIGURATION_PERIOD_SECONDS = 2
const RECORDS_IN_MEMORY = 20_000
const BACKLOG_BOUND = 50_000
const FLEET_JOURNAL_WRITES = 60
const FOLD_SECONDS = 30
const REPORT_PERIOD_SECONDS = 1
/** A load exchange with its headers, and half of one of cache events, as seen on the wire. */
const REPORT_BYTES = 600
/** A budget row read and written. */
const EXCHANGE_BYTES = 2_000
const REAP_SECONDS = 5
const REAPERS_PER_REGION = 2
const LEASE_ROUND_SECONDS = 2

function at(slope: Slope, size: number): number {
  return Math.max(0, slope.fixed + slope.perUnit * size)
}

/** Members of a node's heartbeat group: a small region, or else a failure domain. */
function groupSize(fleet: FleetSize): number {
  const region = fleet.nodes / fleet.regions
  return region <= REGION_MESH_LIMIT ? region : fleet.nodes / fleet.failureDomains
}

/** Budgets that a node touches: each belongs to few nodes when callers keep their address. */
function budgetsPerNode(fleet: FleetSize): number {
  return Math.min(fleet.budgets, Math.max(10, (fleet.budgets * fleet.regions) / fleet.nodes))
}

/** Control work of one node. */
export function nodeCosts(fleet: FleetSize, slopes: MeasuredSlopes): readonly NodeCost[] {
  const group = groupSize(fleet)
  const groups = fleet.nodes / group
  const requests = fleet.requestsPerSecond / fleet.nodes
  const digestBytes = groups > 1 ? at(slopes.digestBytes, groups) : 0
  const beatBytes =
    2 * HEARTBEATS_PER_SECOND * (group * (slopes.heartbeatBytes + DIGEST_SHARE * digestBytes)) +
    2 * (slopes.heartbeatBytes + digestBytes) * (groups > 1 ? 1 : 0)
  const changes = fleet.changesPerDay / SECONDS_PER_DAY
  const budgets = budgetsPerNode(fleet)
  const share = (microseconds: number) => microseconds / MICROSECONDS
  return [
    {
      part: 'heartbeats and digests',
      coreShare: share(at(slopes.heartbeatRound, fleet.nodes)) * HEARTBEATS_PER_SECOND,
      bytesPerSecond: beatBytes,
      heapBytes: Math.max(0, slopes.memberHeap.perUnit * fleet.nodes),
      mechanism: 'packages/coordination/src/membership/membership.ts',
    },
    {
      part: 'budget holder',
      coreShare: share(at(slopes.budgetMaintain, budgets)),
      bytesPerSecond: (EXCHANGE_BYTES * Math.min(budgets, requests * FOLD_SECONDS)) / FOLD_SECONDS,
      heapBytes: slopes.budgetHeap.perUnit * budgets,
      mechanism: 'packages/coordination/src/budget/budgetLedger.ts',
    },
    {
      part: 'journal',
      coreShare: share(slopes.journalEntry.perUnit * requests),
      bytesPerSecond: slopes.journalEntryBytes * requests,
      heapBytes: slopes.backlogHeap.perUnit * BACKLOG_BOUND,
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

/** Operations of the whole fleet on the table service and the object store. */
export function platformCosts(fleet: FleetSize): readonly PlatformCost[] {
  const activeHoldings = Math.min(
    fleet.budgets * fleet.regions,
    fleet.requestsPerSecond * FOLD_SECONDS,
  )
  return [
    {
      part: 'journals',
      writesPerSecond: Math.min(FLEET_JOURNAL_WRITES, fleet.nodes / 0.025),
      readsPerSecond: 0,
      mechanism: 'group commit; one committer a failure domain (journal/domainCommitter.ts)',
    },
    {
      part: 'budget exchanges',
      writesPerSecond: Math.min(activeHoldings, fleet.budgets * fleet.regions) / FOLD_SECONDS,
      readsPerSecond: activeHoldings / FOLD_SECONDS,
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
      writesPerSecond: fleet.nodes / SEGMENT_SECONDS,
      readsPerSecond: 0,
      mechanism: 'one segment a node in 10 s (segmentArchive.ts)',
    },
    {
      part: 'reaper, planner lease',
      writesPerSecond: 1 / LEASE_ROUND_SECONDS,
      readsPerSecond:
        (fleet.regions * REAPERS_PER_REGION) / REAP_SECONDS +
        fleet.nodes / REAP_SECONDS +
        fleet.nodes / LEASE_ROUND_SECONDS,
      mechanism: 'two reapers a region; every node reads the list and the lease',
    },
  ]
}
