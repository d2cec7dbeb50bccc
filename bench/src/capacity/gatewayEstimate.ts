/** Estimates the control work of instances of the gateway kind from measured slopes. */

import type { NodeCost, PlatformCost } from './estimate.js'
import type { FleetSize } from './fleetSize.js'
import type { GatewaySlopes } from './gatewaySlopes.js'
import type { Slope } from './slope.js'

const MICROSECONDS = 1e6
/** Limit on the load datagrams that one instance sends (daemon/gateway/loadExchange). */
const LOAD_BYTES_PER_SECOND = 12_000
const REPORT_BYTES = 110
const SHORTEST_REPORT_SECONDS = 0.02
/** Bytes of a member's row and of a holder's row in a feed. */
const MEMBER_ROW_BYTES = 330
const HOLDER_ROW_BYTES = 420
/** Bytes of a server's row, which is renewed about every 1.2 s. */
const SERVER_ROW_BYTES = 280
const SERVER_HEARTBEATS_PER_SECOND = 0.8
/** Shares of the write rates: the store's for records, a partition's for heartbeats. */
const RECORD_SHARE = 0.3
const HEARTBEAT_SHARE = 0.4
const PARTITION_WRITES_PER_SECOND = 150
/** Calls of an active instance to its feeds: configuration, servers, members, budgets. */
const FEED_CALLS_PER_SECOND = 0.5 + 4 + 1.4 + 2.5
/** Calls of a standby instance, which does not follow budgets. */
const STANDBY_CALLS_PER_SECOND = 0.5 + 1.25 + 0.7
/** Rate that a node of 0.675 cores can serve, and the factor by which capacity exceeds the load. */
const NODE_REQUESTS_PER_SECOND = 40
const HEADROOM = 2
const ACTIVE_NODES_PER_DOMAIN = 2
/** A budget that has had no request for this long is recorded a quarter as often. */
const ACTIVE_SECONDS = 6

function valueAt(slope: Slope, size: number): number {
  return Math.max(0, slope.fixed + slope.perUnit * size)
}

/** Returns the number of active nodes, which serve callers. */
function activeNodes(fleet: FleetSize): number {
  const least = ACTIVE_NODES_PER_DOMAIN * fleet.failureDomains
  const forLoad = Math.ceil((HEADROOM * fleet.requestsPerSecond) / NODE_REQUESTS_PER_SECOND)
  return Math.min(fleet.nodes, Math.max(least, forLoad))
}

/** Returns the number of budgets that get a request at one node within `ACTIVE_SECONDS`. */
function activeBudgets(fleet: FleetSize): number {
  const requests = fleet.requestsPerSecond / activeNodes(fleet)
  return Math.min(fleet.budgets, requests * ACTIVE_SECONDS)
}

/** Estimates the control work of an active node. It has an account for every configured budget. */
export function gatewayNodeCosts(fleet: FleetSize, slopes: GatewaySlopes): readonly NodeCost[] {
  const requests = fleet.requestsPerSecond / activeNodes(fleet)
  const peers = activeNodes(fleet) - 1
  const interval = Math.max(SHORTEST_REPORT_SECONDS, (peers * REPORT_BYTES) / LOAD_BYTES_PER_SECOND)
  const reports = peers * Math.min(1 / interval, 4 + requests * 3)
  const heartbeats = Math.min(fleet.nodes, HEARTBEAT_SHARE * PARTITION_WRITES_PER_SECOND)
  const holders = Math.min(activeNodes(fleet) * activeBudgets(fleet), recordWritesPerSecond(fleet))
  const share = (microseconds: number) => microseconds / MICROSECONDS
  return [
    {
      part: 'choice of a server',
      coreShare: share(valueAt(slopes.choice, fleet.endpoints / fleet.models) * requests),
      bytesPerSecond: 0,
      heapBytes: slopes.cacheHeap.perUnit * fleet.endpoints,
      mechanism:
        'decisions/choosing/endpointChoice.ts, promptCaches.ts (every node knows every server)',
    },
    {
      part: 'load datagrams, both ways',
      coreShare: share(valueAt(slopes.reportTaken, 1) * reports),
      bytesPerSecond: 2 * Math.min(LOAD_BYTES_PER_SECOND, reports * valueAt(slopes.reportBytes, 1)),
      heapBytes: 0,
      mechanism: 'daemon/gateway/loadExchange.ts (rarer with more active nodes)',
    },
    {
      part: 'budgets',
      coreShare: share(valueAt(slopes.prepaidMaintain, fleet.budgets)),
      bytesPerSecond: holders * HOLDER_ROW_BYTES,
      heapBytes: slopes.prepaidHeap.perUnit * fleet.budgets,
      mechanism: 'coordination/prepaid (every active node follows every budget)',
    },
    {
      part: 'members',
      coreShare: 0,
      bytesPerSecond: heartbeats * MEMBER_ROW_BYTES,
      heapBytes: 0,
      mechanism: 'coordination/membership/memberDirectory.ts (every node reads every row)',
    },
    {
      part: 'list of servers',
      coreShare: 0,
      bytesPerSecond: fleet.endpoints * SERVER_HEARTBEATS_PER_SECOND * SERVER_ROW_BYTES,
      heapBytes: 0,
      mechanism: 'daemon/gateway/serverFollower.ts (every node reads every change)',
    },
  ]
}

/** Estimates the whole fleet's calls to the store. */
export function gatewayPlatformCosts(fleet: FleetSize): readonly PlatformCost[] {
  return [
    {
      part: 'heartbeats of members',
      writesPerSecond: Math.min(fleet.nodes, HEARTBEAT_SHARE * PARTITION_WRITES_PER_SECOND),
      readsPerSecond: 0,
      mechanism: 'slower with more nodes, 40 in 100 of a partition',
    },
    {
      part: 'records of holdings',
      writesPerSecond: Math.min(
        recordWritesPerSecond(fleet),
        2 * activeNodes(fleet) * activeBudgets(fleet),
      ),
      readsPerSecond: 0,
      mechanism: 'at most 30 in 100 of the store; more budgets are recorded less often',
    },
    {
      part: 'requests beyond a record',
      writesPerSecond: fleet.requestsPerSecond * TRANSACTION_SHARE,
      readsPerSecond: 0,
      mechanism: 'a transaction where the record allows too little',
    },
    {
      part: 'feeds',
      writesPerSecond: 0,
      readsPerSecond:
        activeNodes(fleet) * FEED_CALLS_PER_SECOND +
        (fleet.nodes - activeNodes(fleet)) * STANDBY_CALLS_PER_SECOND,
      mechanism: 'four feeds a node, rarer where it stands by',
    },
  ]
}

/** Share of requests with tokens that wait for a write: 0.55 under load and faults. */
const TRANSACTION_SHARE = 0.55

function recordWritesPerSecond(fleet: FleetSize): number {
  return RECORD_SHARE * fleet.storeWritesPerSecond
}
