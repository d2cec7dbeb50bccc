/**
 * The store tables that an instance follows, and how often it reads each. Owns nothing: creates a mirror for each
 * table and connects it to its listener.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'
import { maximumFeedWait } from '@rackwalk/decisions'
import type { ChangedRow, RowAddress, RowStore } from '@rackwalk/stores'
import {
  CRASH_PARTITION,
  CRASH_TABLE,
  MEMBER_PARTITION,
  MEMBER_TABLE,
  PREPAID_TABLE,
  TableMirror,
} from '@rackwalk/coordination'
import type {
  CrashRecordStore,
  MemberDirectory,
  MirrorListener,
  UpstreamPeer,
  PrepaidLedger,
} from '@rackwalk/coordination'
import type { EndpointDirectory } from '@rackwalk/router'
import type { PeerRowClient } from './peerRowClient.js'
import type { PlatformAdapter } from './platformAdapter.js'
import { EndpointFollower } from './endpointFollower.js'

/**
 * How long a change query may wait at the store on a table that rarely changes; shorter if the table's staleness bound
 * requires that. A long wait saves calls: each has a price, and the store accepts a bounded number per second.
 */
const FEED_WAIT_MILLISECONDS = 2_000
/** Shortest time between two calls for the configuration and the crash records, whose queries wait at the store. */
const CONFIGURATION_PAUSE_MILLISECONDS = 20
/**
 * How long a change query waits at the store on the table of crash records. While nothing changes, there is one call
 * in this time, and each call has a price; the store answers at once when a row changes.
 */
const CRASH_WAIT_MILLISECONDS = 20_000
/** Each endpoint renews its row about once a second; a list of this age is recent enough. */
const ENDPOINT_PAUSE_MILLISECONDS = 250
/** A standby instance reads less often, since few requests depend on what it knows. */
const STANDBY_ENDPOINT_PAUSE_MILLISECONDS = 800
const STANDBY_MEMBER_PAUSE_MILLISECONDS = 1_400
const MEMBER_PAUSE_MILLISECONDS = 700
const PREPAID_PAUSE_MILLISECONDS = 400
/**
 * A standby instance reads these tables from an active instance of its failure domain if that instance's rows are no
 * older than this. Together with the standby pause, the age of the endpoint list stays well below the time that a
 * leaving endpoint is given.
 */
const NEAR_ENDPOINT_MILLISECONDS = 600
const NEAR_MEMBER_MILLISECONDS = 1_500
/** Time between two reads, as a share of the time between two records of a holding. */
const PREPAID_PAUSE_SHARE = 0.5

/** Maximum ages of the rows of two tables. */
interface FreshnessBounds {
  readonly configurationMilliseconds: Milliseconds
  readonly endpointsMilliseconds: Milliseconds
}

/** What the mirrors are connected to. */
export interface FollowedTablesParts {
  readonly store: RowStore
  readonly clock: Clock
  readonly adapter: PlatformAdapter
  readonly endpoints: EndpointDirectory
  readonly members: MemberDirectory
  readonly ledger: PrepaidLedger
  readonly crashRecords: CrashRecordStore
  readonly peerRows: PeerRowClient
  /** Whether the directory sends callers to this instance. */
  readonly isActive: () => boolean
  readonly freshness: FreshnessBounds
  readonly onConfiguration: (rows: readonly ChangedRow[], isWhole: boolean) => void
  readonly onStoreReachability: (isReachable: boolean) => void
  readonly onFault: (error: unknown) => void
  readonly onMalformedRow: (row: RowAddress) => void
}

interface FollowedTable {
  readonly table: string
  readonly partitions: () => readonly string[]
  /** Shortest time between two calls. */
  readonly pauseMilliseconds: () => Milliseconds
  /** Whether changes of the table are currently needed; always, if absent. */
  readonly isWanted?: () => boolean
  /** How long a change query may wait at the store; 0 for tables that change all the time. */
  readonly waitMilliseconds: Milliseconds
  /** Whether peers may supply its rows while the store is unreachable. */
  readonly isServedByPeers: boolean
  /**
   * While this instance is on standby, an active instance of its failure domain may supply rows that are no older than
   * this; if absent, no peer is asked while the store answers.
   */
  readonly peerStalenessMilliseconds?: Milliseconds
  readonly listener: MirrorListener
}

/** Creates a mirror for each table, by table name; none is started. */
export function followTables(parts: FollowedTablesParts): ReadonlyMap<string, TableMirror> {
  const { members, ledger } = parts
  const tables: readonly FollowedTable[] = [
    ...externalTables(parts),
    {
      table: MEMBER_TABLE,
      partitions: () => [MEMBER_PARTITION],
      pauseMilliseconds: () =>
        parts.isActive() ? MEMBER_PAUSE_MILLISECONDS : STANDBY_MEMBER_PAUSE_MILLISECONDS,
      waitMilliseconds: 0,
      // An instance that starts while the store is unreachable would otherwise consider itself the only one and list
      // only itself in the directory.
      isServedByPeers: true,
      peerStalenessMilliseconds: NEAR_MEMBER_MILLISECONDS,
      listener: {
        onRows: (rows, isWhole) => members.observe(rows, isWhole),
        onRead: () => members.noteRead(),
      },
    },
    {
      table: PREPAID_TABLE,
      partitions: () => ledger.budgets,
      pauseMilliseconds: () => prepaidPause(ledger),
      // A standby instance reads the rows of a budget when a caller needs it.
      isWanted: parts.isActive,
      waitMilliseconds: 0,
      // Holdings are valid only as the store has them.
      isServedByPeers: false,
      listener: { onRows: (rows, isWhole) => ledger.observe(rows, isWhole) },
    },
  ]
  return new Map(
    [...tables, crashTable(parts)].map(followed => [followed.table, follow(parts, followed)]),
  )
}

/** Reads the member rows at once instead of at their next interval. */
export function readMembersSoon(mirrors: ReadonlyMap<string, TableMirror>): void {
  mirrors.get(MEMBER_TABLE)?.requestRead()
}

/** The crash records, which hardly ever change: gossip of reachable instances arrives before the store's rows do. */
function crashTable({ crashRecords }: FollowedTablesParts): FollowedTable {
  return {
    table: CRASH_TABLE,
    partitions: () => [CRASH_PARTITION],
    pauseMilliseconds: () => CONFIGURATION_PAUSE_MILLISECONDS,
    waitMilliseconds: CRASH_WAIT_MILLISECONDS,
    isServedByPeers: true,
    listener: crashRecords,
  }
}

/** Returns the time between two reads of the holdings, which need not be read much more often than recorded. */
function prepaidPause(ledger: PrepaidLedger): Milliseconds {
  return Math.max(PREPAID_PAUSE_MILLISECONDS, ledger.recordMilliseconds() * PREPAID_PAUSE_SHARE)
}

/** Returns how long a change query may wait at the store on a table with this staleness bound. */
function feedWait(boundMilliseconds: Milliseconds): Milliseconds {
  return Math.min(FEED_WAIT_MILLISECONDS, maximumFeedWait(boundMilliseconds))
}

/** The tables that the operator and the endpoints write. */
function externalTables(parts: FollowedTablesParts): readonly FollowedTable[] {
  const { configuration, endpoints } = parts.adapter
  const { configurationMilliseconds, endpointsMilliseconds } = parts.freshness
  return [
    {
      table: configuration.table,
      partitions: () => [configuration.partition],
      pauseMilliseconds: () => CONFIGURATION_PAUSE_MILLISECONDS,
      waitMilliseconds: feedWait(configurationMilliseconds),
      isServedByPeers: true,
      listener: { onRows: parts.onConfiguration, onReachabilityChange: parts.onStoreReachability },
    },
    {
      table: endpoints.table,
      partitions: () => [endpoints.partition],
      pauseMilliseconds: () =>
        parts.isActive() ? ENDPOINT_PAUSE_MILLISECONDS : STANDBY_ENDPOINT_PAUSE_MILLISECONDS,
      waitMilliseconds: feedWait(endpointsMilliseconds),
      isServedByPeers: true,
      peerStalenessMilliseconds: NEAR_ENDPOINT_MILLISECONDS,
      listener: new EndpointFollower({
        directory: parts.endpoints,
        clock: parts.clock,
        parse: endpoints.parse,
        onMalformedRow: parts.onMalformedRow,
      }),
    },
  ]
}

function follow(parts: FollowedTablesParts, followed: FollowedTable): TableMirror {
  const { table, partitions, pauseMilliseconds, waitMilliseconds, isWanted, listener } = followed
  return new TableMirror({
    store: parts.store,
    table,
    partitions,
    clock: parts.clock,
    listener: {
      onRows: (rows, isWhole) => listener.onRows(rows, isWhole),
      onRead: () => listener.onRead?.(),
      onReachabilityChange: isReachable => listener.onReachabilityChange?.(isReachable),
      onFault: parts.onFault,
    },
    askPeers: followed.isServedByPeers
      ? (...question) => parts.peerRows.ask(...question)
      : undefined,
    upstreamPeer: nearPeerOf(parts, followed),
    waitMilliseconds,
    pauseMilliseconds,
    isWanted,
  })
}

function nearPeerOf(
  { isActive, peerRows }: FollowedTablesParts,
  { peerStalenessMilliseconds }: FollowedTable,
): UpstreamPeer | undefined {
  if (peerStalenessMilliseconds === undefined) return undefined
  return {
    isPreferred: () => !isActive(),
    ask: (table, after) => peerRows.askNear(table, after),
    maximumAgeMilliseconds: peerStalenessMilliseconds,
  }
}
