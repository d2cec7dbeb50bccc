/**
 * Exchanges datagrams between instances: reports of their load at the endpoints, heartbeats, and gossip, that is,
 * messages about crashes, advice of endpoints, streams, overload and lost connections to endpoints. Load reports go to
 * the instances that use endpoints, heartbeats to all others, gossip to both. A lost load report causes a worse choice
 * of endpoint, never a wrong answer; without any, instances would send requests to endpoints that others already load.
 *
 * Decides when to send: intervals in milliseconds grow with the number of receivers, so that the bytes sent per second
 * stay bounded. Owns the socket and the send times; relies on FleetLoad for the contents of load reports and for
 * handling received ones.
 */

import { createSocket } from 'node:dgram'
import type { RemoteInfo, Socket, SocketOptions } from 'node:dgram'
import { repeat } from '@rackwalk/shared'
import type { Clock, Milliseconds, Timer } from '@rackwalk/shared'
import type { MemberRow } from '@rackwalk/coordination'
import type { AdviceGossip, CrashGossip, StreamOrigin } from '@rackwalk/decisions'
import type { FleetLoad, PeerLoadReport } from '@rackwalk/router'
import { parseAddress } from '../observe/listenOn.js'
import type { MalformedInput } from '../observe/malformedInputLog.js'
import { decodeAdviceGossip, encodeAdviceGossip } from './adviceGossip.js'
import { isGossip, decodeCrashGossip, encodeCrashGossip } from './crashGossip.js'
import { encodeCutOffGossip, decodeCutOffGossip } from './cutOffGossip.js'
import { decodeReport, encodeReport } from './loadReport.js'
import { encodeOverloadGossip, reportsOverload } from './overloadGossip.js'
import { encodeVersionGossip } from './streamGossip.js'

/**
 * Time between two reports in a small fleet. In any fleet, the delay before an urgent report and before a new instance
 * is sent the current state.
 */
const SHORTEST_INTERVAL_MILLISECONDS = 20
/** Bytes per second that one instance sends in reports, to all receivers together. */
const REPORT_BYTES_PER_SECOND = 12_000
/** Bytes per second that one instance sends in heartbeats to the other instances. */
const HEARTBEAT_BYTES_PER_SECOND = 5_000
/** Typical size of a report under low load, with its datagram headers. */
const REPORT_BYTES = 110
/** Size of a heartbeat with its datagram headers. */
const HEARTBEAT_BYTES = 80
/** Shortest time between two overload messages of an instance that stays overloaded; longer in a large fleet. */
export const OVERLOAD_GOSSIP_MILLISECONDS: Milliseconds = 1_000
/** Shortest time between two heartbeats; longer in a large fleet. */
const HEARTBEAT_MILLISECONDS = 250
/** Number of successive heartbeats that have to be missing before an instance counts as silent. */
const MISSED_HEARTBEATS = 4

/** Another instance, as the exchange reaches it. */
export interface LoadPeer {
  readonly instance: string
  readonly incarnation: string
  /** IP:PORT at which the instance takes datagrams. */
  readonly address: string
}

/** Returns the members that take datagrams, as peers of the exchange. */
export function loadPeersOf(members: readonly MemberRow[]): readonly LoadPeer[] {
  return members
    .filter(({ loadAddress }) => loadAddress !== '')
    .map(({ instance, incarnation, loadAddress }) => {
      return { instance, incarnation, address: loadAddress }
    })
}

/**
 * Keeps the list of peers of one kind. The fleet's view is recomputed several times a second and mostly names the same
 * instances; the list is then the same object, by which the exchange recognizes that no peer is new.
 */
export class LoadPeerList {
  private members: readonly MemberRow[] = []
  private peers: readonly LoadPeer[] = []

  /** Returns the members that take datagrams; the same list as in the last call if none of them has changed. */
  of(members: readonly MemberRow[]): readonly LoadPeer[] {
    if (members === this.members) return this.peers
    this.members = members
    const peers = loadPeersOf(members)
    const isSame =
      peers.length === this.peers.length &&
      peers.every((peer, index) => isSamePeer(peer, this.peers[index]))
    if (!isSame) this.peers = peers
    return this.peers
  }
}

function isSamePeer(peer: LoadPeer, other: LoadPeer | undefined): boolean {
  return (
    peer.instance === other?.instance &&
    peer.incarnation === other.incarnation &&
    peer.address === other.address
  )
}

/**
 * Returns a key of one incarnation (run of the process) at its address: an instance that restarts at the same address
 * does not know what its earlier incarnation was sent.
 */
function incarnationKeyOf({ address, incarnation }: LoadPeer): string {
  return `${address} ${incarnation}`
}

/**
 * Addresses of peers are IP addresses, so there is nothing to resolve. The resolver of Node.js would delay each datagram
 * to a later turn of the event loop, at a cost comparable to that of sending it.
 */
const takeAsResolved: NonNullable<SocketOptions['lookup']> = (host, _options, callback) => {
  callback(null, host, 4)
}

/** A datagram that could not be sent counts as lost; without a callback the socket would report an error. */
function ignoreSendResult(): void {}

/** What the exchange needs. */
export interface LoadExchangeParts {
  /** IP:PORT at which this instance takes reports. */
  readonly address: string
  /**
   * Other instances that use endpoints; every report is sent to them. While no peer changes, each of the two lists is
   * the same object as in the last call, and a changed list is another object: changes are detected by that.
   */
  readonly reportPeers: () => readonly LoadPeer[]
  /** All other instances, which get heartbeats only. */
  readonly heartbeatPeers: () => readonly LoadPeer[]
  readonly fleetLoad: FleetLoad
  /** Identifies this instance in gossip. */
  readonly identity: Pick<PeerLoadReport, 'instance' | 'incarnation'>
  /** Another instance reported requests that crash endpoints. */
  readonly onCrashGossip: (gossip: CrashGossip) => void
  /** Another instance reported the advice of endpoints. */
  readonly onAdviceGossip: (gossip: readonly AdviceGossip[]) => void
  /** Another instance reported the origins of streams, software versions or their records. */
  readonly onStreamGossip: (report: PeerLoadReport) => void
  /** Another instance reported that it is overloaded. */
  readonly onOverloaded: (instance: string) => void
  /** Another instance reported the services from which it is cut off. */
  readonly onCutOff: (instance: string, services: readonly string[]) => void
  /** A datagram arrived in the name of an instance, which may be unknown. */
  readonly onSender: (sender: Pick<PeerLoadReport, 'instance' | 'incarnation'>) => void
  /** Advice of endpoints that currently holds, sent to new instances, which missed the gossip about it. */
  readonly standingAdvice: () => readonly AdviceGossip[]
  /** Connection resets and crashes that currently hold, sent to new instances. */
  readonly standingCrashes: () => CrashGossip
  /** Endpoint software versions that serve side by side, sent to new instances. */
  readonly standingVersions: () => readonly StreamOrigin[]
  readonly clock: Clock
  readonly onMalformed: (input: MalformedInput) => void
}

/** Sends this instance's reports and receives those of others. */
export class LoadExchange {
  private socket: Socket | undefined
  private timer: Timer | undefined
  /** Set while an urgent report is pending. */
  private urgentTimer: Timer | undefined
  /** Set while new instances have yet to be sent the current state. */
  private newInstanceTimer: Timer | undefined
  /** Monotonic time of the last regular report. */
  private reportSentAt: Milliseconds = Number.NEGATIVE_INFINITY
  private heartbeatSentAt: Milliseconds = Number.NEGATIVE_INFINITY
  private overloadSentAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Time without a datagram after which an instance is silent; recomputed after each interval between reports. */
  silenceMilliseconds: Milliseconds = MISSED_HEARTBEATS * HEARTBEAT_MILLISECONDS
  /** Incarnations that got a full report and still use endpoints; emptied by `announce`. */
  private reportedPeers: ReadonlySet<string> = new Set()
  /** The list from which `reportedPeers` was last computed; undefined if that has to be computed anew. */
  private reportedList: readonly LoadPeer[] | undefined
  /** The two lists from which `informedPeers` was last computed. */
  private informedLists: readonly (readonly LoadPeer[])[] = []
  /** Incarnations that were sent the current state of endpoints, or were present when it was broadcast. */
  private informedPeers: ReadonlySet<string> = new Set()

  constructor(private readonly parts: LoadExchangeParts) {}

  start(): void {
    const { host, port } = parseAddress(this.parts.address)
    const socket = createSocket({ type: 'udp4', lookup: takeAsResolved })
    socket.on('message', (bytes, source) => this.receive(bytes, source))
    // Without the socket, choices rely on this instance's own requests and on what endpoints report.
    socket.on('error', () => this.stop())
    socket.bind(port, host, () => this.schedule())
    this.socket = socket
  }

  stop(): void {
    this.timer?.cancel()
    this.urgentTimer?.cancel()
    this.newInstanceTimer?.cancel()
    this.socket?.close()
    this.socket = undefined
  }

  /**
   * A request was sent to an endpoint: the instances whose subset contains that endpoint get an urgent report, unless
   * regular reports are as frequent.
   */
  noteSent(): void {
    if (this.urgentTimer !== undefined || this.interval <= SHORTEST_INTERVAL_MILLISECONDS) return
    this.urgentTimer = this.parts.clock.after(SHORTEST_INTERVAL_MILLISECONDS, () => {
      this.urgentTimer = undefined
      this.sendUrgent()
    })
  }

  /**
   * This instance's row was written, so other instances can know it from now on. All peers get a full report again,
   * since they received the earlier ones before they could know this instance.
   */
  announce(): void {
    this.reportedPeers = new Set()
    this.reportedList = undefined
    this.noteNewInstance()
  }

  /** Another instance has begun to serve: it is sent the current state before the next report. */
  noteNewInstance(): void {
    if (this.socket === undefined) return
    this.newInstanceTimer ??= this.parts.clock.after(SHORTEST_INTERVAL_MILLISECONDS, () => {
      this.newInstanceTimer = undefined
      this.reportToNewPeers()
    })
  }

  /** Number of other instances that gossip is sent to. */
  get gossipPeerCount(): number {
    return this.parts.reportPeers().length + this.parts.heartbeatPeers().length
  }

  /** Broadcasts crash gossip at once. */
  gossipCrashes(gossip: CrashGossip): void {
    this.broadcast(encodeCrashGossip(gossip, this.parts.identity))
  }

  /** Broadcasts the advice of endpoints at once. */
  gossipAdvice(gossip: readonly AdviceGossip[]): void {
    this.broadcast(encodeAdviceGossip(gossip, this.parts.identity))
  }

  /** Broadcasts that this instance is overloaded, unless it did so recently. */
  gossipOverload(): void {
    const now = this.parts.clock.monotonic()
    if (now - this.overloadSentAt < this.overloadGossipMilliseconds) return
    this.overloadSentAt = now
    this.broadcast(encodeOverloadGossip(this.parts.identity))
  }

  /** Broadcasts the services from which this instance is cut off. */
  gossipCutOff(services: readonly string[]): void {
    this.broadcast(encodeCutOffGossip(services, this.parts.identity))
  }

  /**
   * Time between two overload messages. Like the heartbeat interval, it grows with the number of receivers: each of the
   * two kinds may use `HEARTBEAT_BYTES_PER_SECOND`.
   */
  get overloadGossipMilliseconds(): Milliseconds {
    return Math.max(OVERLOAD_GOSSIP_MILLISECONDS, this.heartbeatBandwidthInterval)
  }

  /** Sends gossip to all other instances at once. */
  broadcast(reports: readonly PeerLoadReport[]): void {
    this.sendReports([...this.parts.reportPeers(), ...this.parts.heartbeatPeers()], reports)
  }

  /** Sends gossip to these instances at once. */
  sendReports(peers: readonly LoadPeer[], reports: readonly PeerLoadReport[]): void {
    for (const report of reports) this.sendTo(peers, report)
  }

  private schedule(): void {
    const run = () => {
      this.sendReport()
      this.sendHeartbeats()
      this.silenceMilliseconds = MISSED_HEARTBEATS * this.heartbeatInterval
      this.parts.fleetLoad.expire(this.silenceMilliseconds)
    }
    this.timer = repeat(this.parts.clock, () => this.interval, run)
  }

  /** Time between two reports; grows with the number of receivers, so that the bytes sent per second stay bounded. */
  private get interval(): Milliseconds {
    const bytes = this.parts.reportPeers().length * REPORT_BYTES
    return Math.max(SHORTEST_INTERVAL_MILLISECONDS, (bytes * 1000) / REPORT_BYTES_PER_SECOND)
  }

  /**
   * Time between two heartbeats. All instances know roughly the same number of others, so a receiver's own interval is
   * roughly that of the sender.
   */
  private get heartbeatInterval(): Milliseconds {
    return Math.max(HEARTBEAT_MILLISECONDS, this.interval, this.heartbeatBandwidthInterval)
  }

  /** Time in which the heartbeat bandwidth suffices for one heartbeat to each other instance. */
  private get heartbeatBandwidthInterval(): Milliseconds {
    return (this.gossipPeerCount * HEARTBEAT_BYTES * 1000) / HEARTBEAT_BYTES_PER_SECOND
  }

  private sendReport(): void {
    const now = this.parts.clock.monotonic()
    this.reportToNewPeers()
    const report = this.parts.fleetLoad.nextReport(
      now - this.reportSentAt >= this.heartbeatInterval,
    )
    if (report === undefined) return
    this.reportSentAt = now
    this.sendTo(this.parts.reportPeers(), report)
  }

  /** Sends each instance a report on the endpoints of its subset to which requests were sent. */
  private sendUrgent(): void {
    const peers = this.parts.reportPeers()
    const reports = this.parts.fleetLoad.urgentReports(peers.map(({ instance }) => instance))
    for (const peer of peers) {
      const report = reports.get(peer.instance)
      if (report !== undefined) this.sendTo([peer], report)
    }
  }

  /**
   * Sends a full report to instances that began to use endpoints: they would otherwise learn only of changes until the
   * next full report.
   */
  private reportToNewPeers(): void {
    const peers = this.parts.reportPeers()
    if (peers !== this.reportedList) {
      const newPeers = peers.filter(peer => !this.reportedPeers.has(incarnationKeyOf(peer)))
      this.reportedPeers = new Set(peers.map(incarnationKeyOf))
      this.reportedList = peers
      if (newPeers.length > 0) this.sendTo(newPeers, this.parts.fleetLoad.fullReport())
    }
    this.informNewPeers(peers, this.parts.heartbeatPeers())
  }

  /**
   * Sends the current advice, crashes and software versions to new instances. An instance that missed an endpoint's
   * advice, connection resets or crash would otherwise send requests to that endpoint until it found out itself.
   */
  private informNewPeers(...lists: readonly (readonly LoadPeer[])[]): void {
    if (lists.every((list, index) => list === this.informedLists[index])) return
    this.informedLists = lists
    const { identity, standingAdvice, standingCrashes, standingVersions } = this.parts
    const peers = lists.flat()
    const newPeers = peers.filter(peer => !this.informedPeers.has(incarnationKeyOf(peer)))
    this.informedPeers = new Set(peers.map(incarnationKeyOf))
    if (newPeers.length === 0) return
    const advice = encodeAdviceGossip(standingAdvice(), identity)
    const crashes = encodeCrashGossip(standingCrashes(), identity)
    const versions = encodeVersionGossip(standingVersions(), identity)
    this.sendReports(newPeers, [...advice, ...crashes, ...versions])
  }

  private sendHeartbeats(): void {
    const now = this.parts.clock.monotonic()
    if (now - this.heartbeatSentAt < this.heartbeatInterval) return
    this.heartbeatSentAt = now
    this.sendTo(this.parts.heartbeatPeers(), this.parts.fleetLoad.heartbeatReport())
  }

  private sendTo(peers: readonly LoadPeer[], report: PeerLoadReport): void {
    const bytes = encodeReport(report)
    for (const { address } of peers) {
      const { host, port } = parseAddress(address)
      this.socket?.send(bytes, port, host, ignoreSendResult)
    }
  }

  private receive(bytes: Buffer, { address, port }: RemoteInfo): void {
    const report = decodeReport(bytes)
    if (report === undefined) {
      this.parts.onMalformed({ form: 'load report', source: `${address}:${port}` })
      return
    }
    this.parts.onSender(report)
    if (isGossip(report)) this.receiveGossip(report)
    else this.parts.fleetLoad.observe(report)
  }

  private receiveGossip(report: PeerLoadReport): void {
    this.parts.onCrashGossip(decodeCrashGossip(report))
    this.parts.onAdviceGossip(decodeAdviceGossip(report))
    this.parts.onStreamGossip(report)
    if (reportsOverload(report)) this.parts.onOverloaded(report.instance)
    this.parts.onCutOff(report.instance, decodeCutOffGossip(report))
  }
}
