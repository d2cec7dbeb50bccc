/** Control work of instances of the gateway kind, reckoned from measured slopes. */

import type { NodeCost, PlatformCost } from './estimate.js'
import type { FleetSize } from './fleetSize.js'
import type { GatewaySlopes } from './gatewaySlopes.js'
import type { Slope } from './slope.js'

const MICROSECONDS = 1e6
/** Datagrams: at most so many bytes a second from one instance (daemon/gateway/loadExchange). */
const LOAD_BYTES_PER_SECOND = 12_000
const REPORT_BYTES = 110
const SHORTEST_REPORT_SECONDS = 0.02
/** A row of a member, and of a holder, in a feed. */
const MEMBER_ROW_BYTES = 330
const HOLDER_ROW_BYTES = 420
/** Row of a server, renewed about each 1.2 s. */
const SERVER_ROW_BYTES = 280
const SERVER_HEARTBEATS_PER_SECOND = 0.8
/** Part of the store's writes that records take, and heartbeats of a partition. */
const RECORD_SHARE = 0.3
const HEARTBEAT_SHARE = 0.4
const PARTITION_WRITES_PER_SECOND = 150
/** Calls of one instance on its feeds: configuration, servers, members, budgets. */
const FEED_CALLS_PER_SECOND = 0.5 + 4 + 1.4 + 2.5
/** The same of an instance that stands by: it follows no budgets. */
const STANDBY_CALLS_PER_SECOND = 0.5 + 1.25 + 0.7
/** Requests a second that a node of 0.675 cores bears, and how often that covers the load. */
const NODE_CAPACITY = 40
const HEADROOM = 2
const ACTIVE_IN_DOMAIN = 2
/** A budget without a request for this long is recorded four times less often. */
const ACTIVE_SECONDS = 6

function at(slope: Slope, size: number): number {
  return Math.max(0, slope.fixed + slope.perUnit * size)
}

/** Nodes that take callers. */
function activeNodes(fleet: FleetSize): number {
  const least = ACTIVE_IN_DOMAIN * fleet.failureDomains
  const forLoad = Math.ceil((HEADROOM * fleet.requestsPerSecond) / NODE_CAPACITY)
  return Math.min(fleet.nodes, Math.max(least, forLoad))
}

/** Budgets that see a request at one node within the time that keeps them active. */
function activeBudgets(fleet: FleetSize): number {
  const requests = fleet.requestsPerSecond / activeNodes(fleet)
  return Math.min(fleet.budgets, requests * ACTIVE_SECONDS)
}

/** A node that takes callers; every budget of the configuration has an account there. */
export function gatewayNodeCosts(fleet: FleetSize, slopes: GatewaySlopes): readonly NodeCost[] {
  const requests = fleet.requestsPerSecond / activeNodes(fleet)
  const peers = activeNodes(fleet) - 1
  const interval = Math.max(SHORTEST_REPORT_SECONDS, (peers * REPORT_BYTES) / LOAD_BYTES_PER_SECOND)
  const reports = peers * Math.min(1 / interval, 4 + requests * 3)
  const heartbeats = Math.min(fleet.nodes, HEARTBEAT_SHARE * PARTITION_WRITES_PER_SECOND)
  const holders = Math.min(activeNodes(fleet) * activeBudgets(fleet), recordsOf(fleet))
  const share = (microseconds: number) => microseconds / MICROSECONDS
  return [
    {
      part: 'choice of a server',
      coreShare: share(at(slopes.choice, fleet.endpoints / fleet.models) * requests),
      bytesPerSecond: 0,
      heapBytes: slopes.cacheHeap.perUnit * fleet.endpoints,
      mechanism:
        'decisions/choosing/endpointChoice.ts, promptCaches.ts (every node knows every server)',
    },
    {
      part: 'load datagrams, both ways',
      coreShare: share(at(slopes.reportTaken, 1) * reports),
      bytesPerSecond: 2 * Math.min(LOAD_BYTES_PER_SECOND, reports * at(slopes.reportBytes, 1)),
      heapBytes: 0,
      mechanism: 'daemon/gateway/loadExchange.ts (rarer with more active nodes)',
    },
    {
      part: 'budgets',
      coreShare: share(at(slopes.prepaidMaintain, fleet.budgets)),
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

/** Calls of the whole fleet on the store. */
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
      writesPerSecond: Math.min(recordsOf(fleet), 2 * activeNodes(fleet) * activeBudgets(fleet)),
      readsPerSecond: 0,
      mechanism: 'at most 30 in 100 of the store; more budgets are recorded less often',
    },
    {
      part: 'requests beyond a record',
      writesPerSecond: fleet.requestsPerSecond * WRITTEN_SHARE,
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

/** Requests that waited for a write, of all with tokens: booking office trouble-1, 0.55. */
const WRITTEN_SHARE = 0.55

function recordsOf(fleet: FleetSize): number {
  return RECORD_SHARE * fleet.storeWritesPerSecond
}
