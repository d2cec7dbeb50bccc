/**
 * The tables of the store that an instance follows, and how often it reads each. Owns nothing: it makes a
 * mirror for each table and connects it to who listens.
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
 * Times of the feeds: each call to the store has a price, and the store
 * takes a bounded number a second. How long a question for changes waits at the store, on tables
 * that rarely change:
 */
const FEED_WAIT_MILLISECONDS = 2_000
const CONFIGURATION_PAUSE_MILLISECONDS = 20
/** One call in this time: the store answers at once when something changes, and each call has a price. */
const CRASH_WAIT_MILLISECONDS = 20_000
/** Each endpoint renews its row about once a second; a list this old is new enough. */
const ENDPOINT_PAUSE_MILLISECONDS = 250
/** A standby instance reads less often: few requests depend on what it knows. */
const STANDBY_ENDPOINT_PAUSE_MILLISECONDS = 800
const STANDBY_MEMBER_PAUSE_MILLISECONDS = 1_400
const MEMBER_PAUSE_MILLISECONDS = 700
const PREPAID_PAUSE_MILLISECONDS = 400
/**
 * An instance that stands by takes these tables from an active one of its failure domain where what that knows is
 * no older than this: with its own pause the sight of endpoints stays well under the time that a leaving endpoint is
 * given.
 */
const NEAR_ENDPOINT_MILLISECONDS = 600
const NEAR_MEMBER_MILLISECONDS = 1_500
/** Time between two reads, as a share of that between two records of a holding. */
const PREPAID_PAUSE_SHARE = 0.5

/** How old what is known of two tables may be. */
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
  /** Whether callers are sent to this instance. */
  readonly isActive: () => boolean
  readonly freshness: FreshnessBounds
  readonly onConfiguration: (rows: readonly ChangedRow[], isWhole: boolean) => void
  readonly onContact: (isReachable: boolean) => void
  readonly onFault: (error: unknown) => void
  readonly onMalformedRow: (row: RowAddress) => void
}

interface FollowedTable {
  readonly table: string
  readonly partitions: () => readonly string[]
  /** Least time between two calls. */
  readonly pauseMilliseconds: () => Milliseconds
  /** Whether its changes are wanted at present; always where absent. */
  readonly isWanted?: () => boolean
  /** How long a question for changes may wait at the store; 0 where they come all the time. */
  readonly waitMilliseconds: Milliseconds
  /** Whether peers may tell of it while the store is away. */
  readonly isServedByPeers: boolean
  /** A near peer may tell what is no older than this; where absent the store alone is asked. */
  readonly peerStalenessMilliseconds?: Milliseconds
  readonly listener: MirrorListener
}

/** A mirror for each table, by its name; none is started. */
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
      // Who starts while the store is away would take itself for the only one and name itself alone.
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
      // An instance that stands by reads the rows of a budget when a caller comes for it.
      isWanted: parts.isActive,
      waitMilliseconds: 0,
      // Holdings mean something only as the store has them.
      isServedByPeers: false,
      listener: { onRows: (rows, isWhole) => ledger.observe(rows, isWhole) },
    },
  ]
  return new Map(
    [...tables, crashTable(parts)].map(followed => [followed.table, follow(parts, followed)]),
  )
}

/** Reads the members without waiting for their time. */
export function readMembersSoon(mirrors: ReadonlyMap<string, TableMirror>): void {
  mirrors.get(MEMBER_TABLE)?.requestRead()
}

/** Rows that hardly ever change: instances that are heard tell of the news before the store does. */
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

/** Holdings that are recorded less often need not be read more often. */
function prepaidPause(ledger: PrepaidLedger): Milliseconds {
  return Math.max(PREPAID_PAUSE_MILLISECONDS, ledger.recordMilliseconds() * PREPAID_PAUSE_SHARE)
}

/** How long a question for changes of a table with this bound waits at the store. */
function feedWait(boundMilliseconds: Milliseconds): Milliseconds {
  return Math.min(FEED_WAIT_MILLISECONDS, maximumFeedWait(boundMilliseconds))
}

/** What the operator and the endpoints write. */
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
      listener: { onRows: parts.onConfiguration, onReachabilityChange: parts.onContact },
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
