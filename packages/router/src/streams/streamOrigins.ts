/**
 * Remembers at which service and software version each stream began (its origin), and determines where a
 * resumed stream continues and at which versions a stream may begin. Without it, a resumed stream could mix
 * the output of two versions. While a service has several versions, or the store is out of contact, origins
 * are copied to the instances that keep replicas of them. Owns the origins that this instance remembers and
 * the versions that it has seen. Relies on its dependencies to send to and query other instances, and to read
 * and write the records of versions; the rule is in decisions/retrying/streamResumption.
 */

import {
  canBeginStream,
  hasMixedVersions,
  resolveResumption,
  resumptionDelay,
} from '@rackwalk/decisions'
import type {
  RecordedVersions,
  Resumption,
  ServiceHistory,
  StreamOrigin,
} from '@rackwalk/decisions'
import type { Clock, Milliseconds, SoftwareVersion, StreamKey } from '@rackwalk/shared'
import { StreamOriginCache } from './streamOriginCache.js'
import type { StartedStream } from './streamOriginCache.js'
import { RecentVersions } from './recentVersions.js'

/** A message between instances (gossip) about streams and versions. */
export interface StreamGossip {
  readonly begun: readonly StartedStream[]
  /** Serving versions, each with its service. */
  readonly versions: readonly StreamOrigin[]
}

/** What one instance knows of a stream that a caller resumes at another instance. */
export interface OriginAnswer {
  readonly origins: readonly StreamOrigin[]
  /** Versions of the service that served recently. */
  readonly versions: readonly SoftwareVersion[]
  /** Time for which that instance knows all versions of the service; 0 if it does not tell. */
  readonly knownForMilliseconds: Milliseconds
}

/** What one instance lists of a service, and the versions that left. */
export interface ListedVersions {
  readonly listed: readonly SoftwareVersion[]
  /** Versions that left within the resumption window, with the monotonic times at which each was last seen. */
  readonly unlisted: ReadonlyMap<SoftwareVersion, Milliseconds>
  /** Time for which all versions of the service are known. */
  readonly knownForMilliseconds: Milliseconds
}

/** A stream that a caller resumes. */
export interface ResumedStream {
  /** Undefined if the caller does not name its first try. */
  readonly key: StreamKey | undefined
  readonly service: string
}

/** Who has read the record of a service. */
type RecordReader = 'this-instance' | 'other-instance'

/** The record of a service, as read from the store after the read was asked for. */
export interface RecordRead {
  readonly reader: RecordReader
  /** Undefined if the service has no record. */
  readonly history: ServiceHistory | undefined
}

/** What the answer to where a stream began rests on. */
export interface OriginEvidence {
  /** Time for which the record covers all versions of the service; 0 if it was not read. */
  readonly knownForMilliseconds: Milliseconds
  /** Whether the list of endpoints was recently read from the store. */
  readonly isListFresh: boolean
  /** Time since the list of endpoints was read from the store. */
  readonly listAgeMilliseconds: Milliseconds
  /** Who read the record for this stream; undefined if it was not needed or could not be read. */
  readonly recordReader: RecordReader | undefined
  /** Number of other instances that answered. */
  readonly answers: number
}

/** Where a stream is resumed, and what this rests on. */
export interface FoundOrigin extends Resumption {
  readonly evidence: OriginEvidence
  /** Least time after which the stream may be resumed, if it is not and that is known. */
  readonly delayMilliseconds: Milliseconds | undefined
}

/** Dependencies and callbacks of `StreamOrigins`. */
export interface StreamOriginsParts {
  readonly clock: Clock
  /** Versions of the listed endpoints of a service. */
  readonly listedVersions: (service: string) => ReadonlySet<SoftwareVersion>
  /** Whether the list of endpoints was recently read from the store. */
  readonly isListFresh: () => boolean
  readonly listAge: () => Milliseconds
  /**
   * Reads the record of a service from the store, beginning after the call. Resolves with undefined if it
   * could not be read in time.
   */
  readonly readRecord: (service: string) => Promise<RecordRead | undefined>
  /** Versions that are recorded as serving, as far as this instance has heard. */
  readonly recordedVersions: (service: string) => readonly SoftwareVersion[]
  /** Resolves with true when a record has changed, and with false if none could be changed in time. */
  readonly untilRecordChanges: (service: string) => Promise<boolean>
  /** Whether no instance ran before those that are starting now. */
  readonly isFleetNew: () => boolean
  /** Sends the streams to the instances that keep a replica of each. */
  readonly replicateStreams: (begun: readonly StartedStream[]) => void
  /** Sends versions to all other instances. */
  readonly broadcastVersions: (versions: readonly StreamOrigin[]) => void
  /** Asks other instances about a stream; those that do not answer in time are left out. */
  readonly ask: (stream: ResumedStream) => Promise<readonly OriginAnswer[]>
}

/** Origins of the fleet's streams, as known to one instance. */
export class StreamOrigins {
  private readonly cache: StreamOriginCache
  private readonly versions: RecentVersions
  private isStoreReached = true

  constructor(private readonly parts: StreamOriginsParts) {
    this.cache = new StreamOriginCache(parts.clock)
    const { clock, listedVersions: listed, isFleetNew } = parts
    this.versions = new RecentVersions({ clock, listed, isFleetNew })
  }

  /** Number of streams remembered here. */
  get size(): number {
    return this.cache.size
  }

  /**
   * The first event of a stream is about to be delivered. If the service has several versions, or nobody may
   * be able to read its record, replicas are sent before the caller has any part of the answer.
   */
  noteStarted(stream: StartedStream): void {
    this.cache.note(stream, true)
    const isMixed = hasMixedVersions(this.versions.recentVersions(stream.origin.service))
    if (isMixed || !this.isStoreReached) this.parts.replicateStreams([stream])
  }

  /** Whether a stream that may be resumed can begin at a version now. */
  canBegin({ service, softwareVersion }: StreamOrigin): boolean {
    return canBeginStream(softwareVersion, this.parts.recordedVersions(service))
  }

  /**
   * Resolves when streams may be able to begin at other versions of a service, or after a short wait. Returns whether
   * anything changed.
   */
  untilVersionsChange(service: string): Promise<boolean> {
    return this.parts.untilRecordChanges(service)
  }

  /** The store was lost or answers again. */
  noteStoreContact(isReached: boolean): void {
    if (isReached === this.isStoreReached) return
    this.isStoreReached = isReached
    if (isReached) return this.versions.noteGap()
    for (const service of this.versions.services) {
      this.parts.replicateStreams(this.cache.servedLocally(service))
    }
  }

  /** An endpoint with this version is listed. */
  noteListed(origin: StreamOrigin): void {
    const isNew = this.noteVersion(origin, () =>
      this.versions.noteListed(origin.service, origin.softwareVersion),
    )
    if (isNew) this.parts.broadcastVersions(this.versionsOf(origin.service))
  }

  /** An endpoint with this version is no longer listed. Its streams may still be resumed. */
  noteUnlisted({ service, softwareVersion }: StreamOrigin): void {
    this.versions.note(service, softwareVersion)
  }

  /** Applies gossip of another instance. */
  observe({ begun, versions }: StreamGossip): void {
    for (const stream of begun) {
      this.cache.note(stream, false)
      this.noteVersion(stream.origin)
    }
    for (const origin of versions) this.noteVersion(origin)
  }

  /** Applies the records of the versions that served before this instance listed endpoints; with all records. */
  restore(histories: readonly ServiceHistory[]): void {
    const before = new Map(
      histories.map(({ service }) => [service, this.versions.recentVersions(service)]),
    )
    this.versions.restore(histories)
    for (const [service, known] of before) this.replicateIfMixedSince(service, known)
  }

  /** Services of which a version is known. */
  get services(): readonly string[] {
    return this.versions.services
  }

  /** What this instance lists of a service. */
  listedVersions(service: string): ListedVersions {
    return {
      listed: [...this.parts.listedVersions(service)],
      unlisted: this.versions.unlistedVersions(service),
      knownForMilliseconds: this.versions.knownFor(service),
    }
  }

  /** Recent versions of services that have several, for a newly started instance. */
  get versionsSnapshot(): readonly StreamOrigin[] {
    return this.versions.services
      .map(service => this.versionsOf(service))
      .filter(({ length }) => length > 1)
      .flat()
  }

  /** The answer to another instance that asks about a stream. */
  answer({ key, service }: ResumedStream): OriginAnswer {
    return {
      origins: this.remembered(key),
      versions: this.versions.recentVersions(service),
      knownForMilliseconds: this.versions.knownFor(service),
    }
  }

  /**
   * Determines where a stream continues that a caller resumes at this instance. If this instance remembers no
   * origin, the record shows whether there was another version than the one known here; other instances are
   * queried only if it does not show that there was none.
   */
  async find(stream: ResumedStream): Promise<FoundOrigin> {
    if (this.remembered(stream.key).length > 0) return this.resolve(stream, {})
    const isMixed = hasMixedVersions(this.versions.recentVersions(stream.service))
    const record = isMixed ? undefined : await this.parts.readRecord(stream.service)
    const found = this.resolve(stream, { record })
    if (found.origin !== undefined) return found
    const answers = await this.parts.ask(stream)
    return this.resolve(stream, { record, answers })
  }

  private resolve(
    stream: ResumedStream,
    {
      record: read,
      answers = [],
    }: { record?: RecordRead | undefined; answers?: readonly OriginAnswer[] },
  ): FoundOrigin {
    const { service } = stream
    const record = read && recordedIn(read)
    const all = [this.answer(stream), ...answers]
    const resumption = resolveResumption(service, {
      origins: all.flatMap(answer => answer.origins),
      versions: all.flatMap(answer => answer.versions),
      record,
    })
    const evidence = {
      knownForMilliseconds: record?.knownForMilliseconds ?? 0,
      isListFresh: this.parts.isListFresh(),
      listAgeMilliseconds: this.parts.listAge(),
      recordReader: read?.reader,
      answers: answers.length,
    }
    const isRecorded = read?.history !== undefined
    const delayMilliseconds = isRecorded ? resumptionDelay(resumption, record) : undefined
    return { ...resumption, evidence, delayMilliseconds }
  }

  private remembered(key: StreamKey | undefined): readonly StreamOrigin[] {
    return key === undefined ? [] : this.cache.originsOf(key)
  }

  private versionsOf(service: string): readonly StreamOrigin[] {
    return this.versions
      .recentVersions(service)
      .map(softwareVersion => ({ service, softwareVersion }))
  }

  /**
   * Notes a version. Returns whether it is new to a service that already had one.
   */
  private noteVersion(
    { service, softwareVersion }: StreamOrigin,
    note = () => this.versions.note(service, softwareVersion),
  ): boolean {
    const before = this.versions.recentVersions(service)
    note()
    this.replicateIfMixedSince(service, before)
    return before.length > 0 && !before.includes(softwareVersion)
  }

  /**
   * When a second version appears, the streams that this instance served at the only earlier one are
   * replicated.
   */
  private replicateIfMixedSince(service: string, before: readonly SoftwareVersion[]): void {
    const isMixed = hasMixedVersions(this.versions.recentVersions(service))
    if (isMixed && before.length === 1)
      this.parts.replicateStreams(this.cache.servedLocally(service))
  }
}

/** Without a record no stream of the service can have begun here, and nothing is known of an earlier release. */
function recordedIn({ history }: RecordRead): RecordedVersions {
  if (history === undefined) return { versions: [], knownForMilliseconds: 0 }
  const versions = history.versions.map(({ softwareVersion }) => softwareVersion)
  return { versions, knownForMilliseconds: history.knownForMilliseconds }
}
