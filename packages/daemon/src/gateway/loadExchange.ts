/**
 * Datagrams in which instances tell each other what they have in progress at the endpoints. A lost one
 * costs a worse choice, never a wrong answer. Owns the socket and the times of sending; relies on FleetLoad
 * for what to tell and for what to do with what it is told.
 */

import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import type { Clock, Milliseconds, Timer } from '@rackwalk/shared'
import type { MemberRow } from '@rackwalk/coordination'
import type { AdviceGossip, CrashGossip, StreamOrigin } from '@rackwalk/decisions'
import type { FleetLoad, PeerLoadReport, StreamGossip } from '@rackwalk/router'
import { parseAddress } from '../observe/listenOn.js'
import type { MalformedInput } from '../observe/malformedInputLog.js'
import { decodeAdviceGossip, encodeAdviceGossip } from './adviceGossip.js'
import { isGossip, decodeCrashGossip, encodeCrashGossip } from './crashGossip.js'
import { encodeCutOffGossip, decodeCutOffGossip } from './cutOffGossip.js'
import { decodeReport, encodeReport } from './loadReport.js'
import { encodeOverloadGossip, reportsOverload } from './overloadGossip.js'
import { decodeStreamGossip, encodeVersionGossip } from './streamGossip.js'

/** Time between two reports in a small fleet, and of what must be told at once in any. */
const SHORTEST_INTERVAL_MILLISECONDS = 20
/** Bytes a second that one instance sends in reports, to all that get them together, */
const REPORT_BYTES_PER_SECOND = 12_000
/** and in signs of life to the others. */
const HEARTBEAT_BYTES_PER_SECOND = 5_000
/** A report with the head of its datagram, on a calm day, */
const REPORT_BYTES = 110
/** and a sign of life. */
const HEARTBEAT_BYTES = 80
/** An instance that stays overloaded tells it this often in a small fleet. */
export const OVERLOAD_GOSSIP_MILLISECONDS: Milliseconds = 1_000
/** An instance with nothing new gives a sign of life this often, */
const HEARTBEAT_MILLISECONDS = 250
/** and counts as silent when this many of them are missing. */
const MISSED_HEARTBEATS = 4

/** Another instance, as the exchange reaches it. */
export interface LoadPeer {
  readonly instance: string
  readonly incarnation: string
  /** IP:PORT. */
  readonly address: string
}

/** Those of the members that take reports. */
export function loadPeersOf(members: readonly MemberRow[]): readonly LoadPeer[] {
  return members
    .filter(({ loadAddress }) => loadAddress !== '')
    .map(({ instance, incarnation, loadAddress }) => {
      return { instance, incarnation, address: loadAddress }
    })
}

/** Names one life: who starts again at the same address knows nothing of what the one before was told. */
function incarnationKeyOf({ address, incarnation }: LoadPeer): string {
  return `${address} ${incarnation}`
}

/** What the exchange works with. */
export interface LoadExchangeParts {
  /** IP:PORT at which this instance takes reports. */
  readonly address: string
  /** Others that use endpoints: they get every report. */
  readonly reportPeers: () => readonly LoadPeer[]
  /** The others: they get signs of life. */
  readonly heartbeatPeers: () => readonly LoadPeer[]
  readonly fleetLoad: FleetLoad
  /** Names this instance in news. */
  readonly identity: Pick<PeerLoadReport, 'instance' | 'incarnation'>
  /** Another instance told of requests that end endpoints. */
  readonly onCrashGossip: (news: CrashGossip) => void
  /** Another instance told what endpoints say of themselves. */
  readonly onAdviceGossip: (news: readonly AdviceGossip[]) => void
  /** Another instance told where streams began, or of software versions. */
  readonly onStreamGossip: (news: StreamGossip) => void
  /** Another instance told that it gets more than it bears. */
  readonly onOverloaded: (instance: string) => void
  /** Another instance told from which services it is cut off. */
  readonly onCutOff: (instance: string, services: readonly string[]) => void
  /** A datagram came in the name of this instance, which may not be known. */
  readonly onSender: (sender: Pick<PeerLoadReport, 'instance' | 'incarnation'>) => void
  /** What holds of endpoints by their own word, for instances that may not have heard it. */
  readonly standingAdvice: () => readonly AdviceGossip[]
  /** The same of breaks and ends, */
  readonly standingCrashes: () => CrashGossip
  /** and of software versions that serve side by side. */
  readonly standingVersions: () => readonly StreamOrigin[]
  readonly clock: Clock
  readonly onMalformed: (form: MalformedInput) => void
}

/** Sends this instance's reports and takes those of others. */
export class LoadExchange {
  private socket: Socket | undefined
  private timer: Timer | undefined
  /** Set while something waits to be told at once. */
  private urgentTimer: Timer | undefined
  /** Set while newcomers wait to be told what holds. */
  private newcomerTimer: Timer | undefined
  private sentAt: Milliseconds = Number.NEGATIVE_INFINITY
  private heartbeatSentAt: Milliseconds = Number.NEGATIVE_INFINITY
  private overloadSentAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** An instance that is heard of was heard of within this time; reckoned at each report. */
  silenceMilliseconds: Milliseconds = MISSED_HEARTBEATS * HEARTBEAT_MILLISECONDS
  /** Lives to which the last report went. */
  private reportedPeers: ReadonlySet<string> = new Set()
  /** Lives that were told what holds of endpoints, or were there when it was told to all. */
  private informedPeers: ReadonlySet<string> = new Set()

  constructor(private readonly parts: LoadExchangeParts) {}

  start(): void {
    const { host, port } = parseAddress(this.parts.address)
    const socket = createSocket('udp4')
    socket.on('message', (bytes, { address, port }) => this.receive(bytes, `${address}:${port}`))
    // Without the socket, choices rest on own requests and on what endpoints tell.
    socket.on('error', () => this.stop())
    socket.bind(port, host, () => this.schedule())
    this.socket = socket
  }

  stop(): void {
    this.timer?.cancel()
    this.urgentTimer?.cancel()
    this.newcomerTimer?.cancel()
    this.socket?.close()
    this.socket = undefined
  }

  /** Something was sent to an endpoint: who is at home there is told before the next report. */
  noteSent(): void {
    if (this.urgentTimer !== undefined || this.interval <= SHORTEST_INTERVAL_MILLISECONDS) return
    this.urgentTimer = this.parts.clock.after(SHORTEST_INTERVAL_MILLISECONDS, () => {
      this.urgentTimer = undefined
      this.sendUrgent()
    })
  }

  /** Others can know of this instance now: those that heard it before could not. */
  announce(): void {
    this.reportedPeers = new Set()
    this.noteNewcomer()
  }

  /** Another instance has begun to serve: it is told what holds before the next report. */
  noteNewcomer(): void {
    if (this.socket === undefined) return
    this.newcomerTimer ??= this.parts.clock.after(SHORTEST_INTERVAL_MILLISECONDS, () => {
      this.newcomerTimer = undefined
      this.reportToNewPeers()
    })
  }

  /** Others that are told of news. */
  get gossipPeerCount(): number {
    return this.parts.reportPeers().length + this.parts.heartbeatPeers().length
  }

  /** Tells all others of requests that end endpoints, at once. */
  gossipCrashes(news: CrashGossip): void {
    this.broadcast(encodeCrashGossip(news, this.parts.identity))
  }

  /** Tells all others what endpoints say of themselves, at once. */
  gossipAdvice(news: readonly AdviceGossip[]): void {
    this.broadcast(encodeAdviceGossip(news, this.parts.identity))
  }

  /** Tells all others that this instance gets more than it bears, unless it did lately. */
  gossipOverload(): void {
    const now = this.parts.clock.monotonic()
    if (now - this.overloadSentAt < this.overloadGossipMilliseconds) return
    this.overloadSentAt = now
    this.broadcast(encodeOverloadGossip(this.parts.identity))
  }

  /** Tells all others from which services this instance is cut off. */
  gossipCutOff(services: readonly string[]): void {
    this.broadcast(encodeCutOffGossip(services, this.parts.identity))
  }

  /** The news grows rarer with the number of instances that get it, as signs of life do: each may cost as much. */
  get overloadGossipMilliseconds(): Milliseconds {
    return Math.max(OVERLOAD_GOSSIP_MILLISECONDS, this.heartbeatBandwidthInterval)
  }

  /** Tells all others news, at once. */
  broadcast(reports: readonly PeerLoadReport[]): void {
    this.sendReports([...this.parts.reportPeers(), ...this.parts.heartbeatPeers()], reports)
  }

  /** Tells these others news, at once. */
  sendReports(peers: readonly LoadPeer[], reports: readonly PeerLoadReport[]): void {
    for (const report of reports) this.sendTo(peers, report)
  }

  private schedule(): void {
    this.timer = this.parts.clock.after(this.interval, () => {
      this.sendReport()
      this.sendHeartbeats()
      this.silenceMilliseconds = MISSED_HEARTBEATS * this.heartbeatInterval
      this.parts.fleetLoad.expire(this.silenceMilliseconds)
      this.schedule()
    })
  }

  /** Reports grow rarer with the number of instances that get them, so that their bytes stay bounded. */
  private get interval(): Milliseconds {
    const bytes = this.parts.reportPeers().length * REPORT_BYTES
    return Math.max(SHORTEST_INTERVAL_MILLISECONDS, (bytes * 1000) / REPORT_BYTES_PER_SECOND)
  }

  /** All instances know about the same number of others, and so the interval of their signs. */
  private get heartbeatInterval(): Milliseconds {
    return Math.max(HEARTBEAT_MILLISECONDS, this.interval, this.heartbeatBandwidthInterval)
  }

  /** Time in which the bytes for signs suffice for one to each other instance. */
  private get heartbeatBandwidthInterval(): Milliseconds {
    return (this.gossipPeerCount * HEARTBEAT_BYTES * 1000) / HEARTBEAT_BYTES_PER_SECOND
  }

  private sendReport(): void {
    const now = this.parts.clock.monotonic()
    this.reportToNewPeers()
    const report = this.parts.fleetLoad.nextReport(now - this.sentAt >= this.heartbeatInterval)
    if (report === undefined) return
    this.sentAt = now
    this.sendTo(this.parts.reportPeers(), report)
  }

  private sendUrgent(): void {
    const peers = this.parts.reportPeers()
    const reports = this.parts.fleetLoad.urgentReports(peers.map(({ instance }) => instance))
    for (const peer of peers) {
      const report = reports.get(peer.instance)
      if (report !== undefined) this.sendTo([peer], report)
    }
  }

  /** Who begins to use endpoints would know only of changes until the next whole report. */
  private reportToNewPeers(): void {
    const peers = this.parts.reportPeers()
    const newcomers = peers.filter(peer => !this.reportedPeers.has(incarnationKeyOf(peer)))
    this.reportedPeers = new Set(peers.map(incarnationKeyOf))
    if (newcomers.length > 0) this.sendTo(newcomers, this.parts.fleetLoad.fullReport())
    this.informNewcomers()
  }

  /** Who wasn't there when an endpoint said something, broke off or ended would send there until it finds out itself. */
  private informNewcomers(): void {
    const { reportPeers, heartbeatPeers, identity, standingAdvice, standingCrashes } = this.parts
    const { standingVersions } = this.parts
    const peers = [...reportPeers(), ...heartbeatPeers()]
    const newcomers = peers.filter(peer => !this.informedPeers.has(incarnationKeyOf(peer)))
    this.informedPeers = new Set(peers.map(incarnationKeyOf))
    if (newcomers.length === 0) return
    const advice = encodeAdviceGossip(standingAdvice(), identity)
    const crashes = encodeCrashGossip(standingCrashes(), identity)
    const versions = encodeVersionGossip(standingVersions(), identity)
    this.sendReports(newcomers, [...advice, ...crashes, ...versions])
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
      this.socket?.send(bytes, port, host, () => {})
    }
  }

  private receive(bytes: Buffer, source: string): void {
    const report = decodeReport(bytes)
    if (report === undefined) {
      this.parts.onMalformed({ form: 'load report', source })
      return
    }
    this.parts.onSender(report)
    if (isGossip(report)) this.receiveGossip(report)
    else this.parts.fleetLoad.observe(report)
  }

  private receiveGossip(report: PeerLoadReport): void {
    this.parts.onCrashGossip(decodeCrashGossip(report))
    this.parts.onAdviceGossip(decodeAdviceGossip(report))
    this.parts.onStreamGossip(decodeStreamGossip(report))
    if (reportsOverload(report)) this.parts.onOverloaded(report.instance)
    this.parts.onCutOff(report.instance, decodeCutOffGossip(report))
  }
}
