/**
 * Remembers at which service and software version each stream began (its origin), and determines where a
 * resumed stream continues. Without it, a resumed stream could mix the output of two versions. While a
 * service has several versions, origins are copied to the instances that keep replicas of them. Owns the
 * origins that this instance remembers and the versions that it has seen. Relies on its dependencies to send
 * to and query other instances; the rule is in decisions/retrying/streamResumption.
 */

import { hasMixedVersions, hasSingleVersion, resolveResumption } from '@rackwalk/decisions'
import type { Resumption, ServiceHistory, ServiceVersions, StreamOrigin } from '@rackwalk/decisions'
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

/** What the answer to where a stream began rests on. */
export interface OriginEvidence {
  /** Longest time for which this instance or one that answered knows all versions of the service. */
  readonly knownForMilliseconds: Milliseconds
  /** Whether the list of endpoints was recently read from the store. */
  readonly isListFresh: boolean
  /** Number of other instances that answered. */
  readonly answers: number
}

/** Where a stream is resumed, and what this rests on. */
export interface FoundOrigin extends Resumption {
  readonly evidence: OriginEvidence
}

/** Dependencies and callbacks of `StreamOrigins`. */
export interface StreamOriginsParts {
  readonly clock: Clock
  /** Versions of the listed endpoints of a service. */
  readonly listedVersions: (service: string) => ReadonlySet<SoftwareVersion>
  /** Whether the list of endpoints was recently read from the store. */
  readonly isListFresh: () => boolean
  /**
   * Resolves when the records of the versions that served earlier were read, or could not be read in time.
   */
  readonly untilHistoryRead: () => Promise<void>
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
   * The first event of a stream is about to be delivered. If the service has several versions, replicas are
   * sent before the caller has any part of the answer.
   */
  noteStarted(stream: StartedStream): void {
    this.cache.note(stream, true)
    if (hasMixedVersions(this.versions.recentVersions(stream.origin.service)))
      this.parts.replicateStreams([stream])
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

  /** Applies the records of the versions that served before this instance started; once, with all records. */
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
   * Determines where a stream continues that a caller resumes at this instance. Other instances are queried
   * only if this instance remembers no origin and can't rely on the service having a single version.
   */
  async find(stream: ResumedStream): Promise<FoundOrigin> {
    if (!this.isKnownHere(stream)) await this.parts.untilHistoryRead()
    const answers = this.isKnownHere(stream) ? [] : await this.parts.ask(stream)
    const { service } = stream
    const { isFresh } = this.view(service)
    const all = [this.answer(stream), ...answers]
    const knownForMilliseconds = Math.max(...all.map(answer => answer.knownForMilliseconds))
    const resumption = resolveResumption(service, {
      origins: all.flatMap(answer => answer.origins),
      versions: all.flatMap(answer => answer.versions),
      isConfirmed: isFresh || answers.length > 0,
      knownForMilliseconds,
    })
    const evidence = { knownForMilliseconds, isListFresh: isFresh, answers: answers.length }
    return { ...resumption, evidence }
  }

  private isKnownHere({ key, service }: ResumedStream): boolean {
    return this.remembered(key).length > 0 || hasSingleVersion(this.view(service))
  }

  private view(service: string): ServiceVersions {
    return {
      versions: this.versions.recentVersions(service),
      knownForMilliseconds: this.versions.knownFor(service),
      isFresh: this.parts.isListFresh(),
    }
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
