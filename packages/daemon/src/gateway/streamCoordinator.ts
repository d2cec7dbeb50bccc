/**
 * Connects this instance's records of stream origins with the other instances. The origin of a stream is the service
 * and the endpoint software version that began it; a stream has to be resumed at an endpoint of the same version. Sends
 * the origins of streams that begin here to the instances chosen as their replicas, and queries other instances for the
 * origin of a stream that is resumed here. Without replicas, the origin would be lost with the instance that served the
 * stream. Owns the records and the client for the queries.
 */

import { DemandMeter, VersionRecorder } from '@rackwalk/coordination'
import type { MemberDirectory, MemberRow, StoreClock, WrittenRecord } from '@rackwalk/coordination'
import { originReplicaCount, rankOriginReplicas } from '@rackwalk/decisions'
import { StreamOrigins } from '@rackwalk/router'
import type {
  RecordRead,
  StartedStream,
  EndpointDirectory,
  EndpointRecord,
  PeerLoadReport,
} from '@rackwalk/router'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import type { RowStore } from '@rackwalk/stores'
import type { ActiveFleet } from './activeFleet.js'
import type { GatewayTelemetry } from './gatewayTelemetry.js'
import { firstDefined, withinLimit } from './outcomes.js'
import { loadPeersOf } from './loadExchange.js'
import type { LoadExchange } from './loadExchange.js'
import { StreamOriginClient } from './streamOriginClient.js'
import {
  decodeRecordGossip,
  decodeStreamGossip,
  encodeRecordGossip,
  encodeStreamStarts,
  encodeVersionGossip,
} from './streamGossip.js'
import { VersionRecordClient } from './versionRecordClient.js'

/** A peer is asked for the record as well if the store has not answered for this long. */
const OWN_READ_MILLISECONDS: Milliseconds = 80
/** Longest time that a resumed stream waits for the record of its service. */
const RECORD_MILLISECONDS: Milliseconds = 500
/** Longest time that a new stream waits until a version of its service is recorded. */
const RECORD_CHANGE_MILLISECONDS: Milliseconds = 200

/** What the coordinator needs. */
export interface StreamCoordinatorParts {
  readonly clock: Clock
  readonly store: RowStore
  readonly storeClock: StoreClock
  readonly members: MemberDirectory
  readonly identity: Pick<PeerLoadReport, 'instance' | 'incarnation'>
  readonly directory: () => EndpointDirectory
  readonly fleet: () => ActiveFleet
  readonly exchange: () => LoadExchange | undefined
  /** Whether the list of endpoints is within its staleness bound. */
  readonly isListFresh: () => boolean
  /** Time since the list of endpoints was read from the store. */
  readonly listAge: () => Milliseconds
  /** Whether the configuration in force has the service. */
  readonly isConfigured: (service: string) => boolean
  readonly telemetry: GatewayTelemetry
}

/** Keeps resumed streams at the software version that began them. */
export class StreamCoordinator {
  readonly origins: StreamOrigins
  private readonly originClient: StreamOriginClient
  private readonly recordClient: VersionRecordClient
  private readonly recorder: VersionRecorder
  /** Rate of the streams whose origins this instance replicates; the number of replicas depends on it. */
  private readonly announcedStreams: DemandMeter

  constructor(private readonly parts: StreamCoordinatorParts) {
    this.announcedStreams = new DemandMeter(parts.clock)
    this.originClient = new StreamOriginClient({
      others: () => this.others,
      onMalformed: input => parts.telemetry.noteMalformed(input),
    })
    this.recordClient = new VersionRecordClient({
      clock: parts.clock,
      others: () => this.others,
      onMalformed: input => parts.telemetry.noteMalformed(input),
    })
    this.origins = this.createOrigins()
    this.recorder = this.createRecorder()
  }

  start(): void {
    this.recorder.start()
  }

  close(): void {
    this.recorder.stop()
    this.originClient.close()
    this.recordClient.close()
  }

  private createOrigins(): StreamOrigins {
    const { parts } = this
    return new StreamOrigins({
      clock: parts.clock,
      listedVersions: service => parts.directory().softwareVersions(service),
      isListFresh: parts.isListFresh,
      listAge: parts.listAge,
      readRecord: service => this.readRecord(service),
      recordedVersions: service => this.recorder.recordedVersions(service),
      untilRecordChanges: service =>
        this.recorder.untilRecordChanges(service, RECORD_CHANGE_MILLISECONDS),
      isFleetNew: () => parts.members.isFleetNew,
      replicateStreams: started => this.replicate(started),
      broadcastVersions: versions =>
        parts.exchange()?.broadcast(encodeVersionGossip(versions, parts.identity)),
      ask: stream => this.originClient.ask(stream),
    })
  }

  private createRecorder(): VersionRecorder {
    const { clock, store, storeClock, isListFresh, isConfigured, telemetry } = this.parts
    return new VersionRecorder({
      clock,
      store,
      storeClock,
      isListFresh,
      services: () => this.origins.services.filter(isConfigured),
      versionsOf: service => this.origins.listedVersions(service),
      rank: service => this.rankOf(service),
      instanceCount: () => this.others.length + 1,
      onHistory: histories => this.origins.restore(histories),
      recordsOfPeers: () => this.recordClient.knownRecords(),
      onWritten: record => this.gossipRecord(record),
      onMalformedRow: row => telemetry.noteMalformedRow(row),
    })
  }

  /** Reads all records from the store, beginning after the call; undefined if the store does not answer. */
  readRecords = () => this.recorder.readRecords()

  /** The newest records of versions that this instance knows. */
  get knownRecords(): readonly WrittenRecord[] {
    return this.recorder.knownRecords
  }

  /** The store was lost or answers again. */
  noteStoreContact(isReached: boolean): void {
    this.origins.noteStoreContact(isReached)
    if (isReached) this.recorder.noteStoreReached()
  }

  /** Another instance told of streams, versions or records. */
  observe(report: PeerLoadReport): void {
    this.origins.observe(decodeStreamGossip(report))
    for (const record of decodeRecordGossip(report)) this.recorder.noteWritten(record)
  }

  private gossipRecord(record: WrittenRecord): void {
    const { exchange, identity } = this.parts
    exchange()?.broadcast(encodeRecordGossip([record], identity))
  }

  /** Reads the record of a service, through another instance as well if the store does not answer this one soon. */
  private async readRecord(service: string): Promise<RecordRead | undefined> {
    const { clock } = this.parts
    const own = this.readOwn(service)
    const early = await withinLimit(clock, own, OWN_READ_MILLISECONDS)
    if (early !== undefined) return early
    const any = firstDefined([own, this.readThroughPeer(service)])
    return withinLimit(clock, any, RECORD_MILLISECONDS - OWN_READ_MILLISECONDS)
  }

  private async readOwn(service: string): Promise<RecordRead | undefined> {
    const records = await this.readRecords()
    return records && { reader: 'this-instance', history: records.get(service) }
  }

  private async readThroughPeer(service: string): Promise<RecordRead | undefined> {
    const read = await this.recordClient.read(service)
    return (
      read && { reader: 'other-instance', history: read.history && { service, ...read.history } }
    )
  }

  /** Rank of this instance among those that may write the record of a service. */
  private rankOf(service: string): number | undefined {
    const { members } = this.parts
    if (!members.isInitialized) return undefined
    const { self } = members
    const ranked = rankOriginReplicas(service, [self, ...this.others])
    return ranked.findIndex(({ instance }) => instance === self.instance)
  }

  /** An endpoint is gone, or its entry in the list changed in another way. */
  noteChange(record: EndpointRecord, change: string): void {
    if (change === 'gone') this.origins.noteUnlisted(record)
    else this.origins.noteListed(record)
    this.recorder.noteChange()
  }

  /** Other instances that are not silent. */
  private get others(): readonly MemberRow[] {
    const fleet = this.parts.fleet()
    const all = [...fleet.usingOthers, ...fleet.idleOthers]
    return all.filter(({ instance }) => !fleet.isSilent(instance))
  }

  /** Sends the origins of started streams to their replicas; streams of the same replica share datagrams. */
  private replicate(started: readonly StartedStream[]): void {
    const { others } = this
    this.announcedStreams.add(started.length)
    const count = originReplicaCount(this.announcedStreams.perSecond)
    const byReplica = new Map<MemberRow, StartedStream[]>()
    for (const stream of started) {
      for (const replica of rankOriginReplicas(stream.key, others).slice(0, count)) {
        byReplica.set(replica, [...(byReplica.get(replica) ?? []), stream])
      }
    }
    for (const [replica, streams] of byReplica) {
      this.parts
        .exchange()
        ?.sendReports(loadPeersOf([replica]), encodeStreamStarts(streams, this.parts.identity))
    }
  }
}
