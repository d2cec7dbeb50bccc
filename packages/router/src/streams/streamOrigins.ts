/**
 * Remembers at which software version streams began, and finds out where one goes on that its caller takes up again. Owns what
 * this instance remembers and which versions it has seen; relies on its parts to tell and to ask other instances, and on
 * decisions/retrying/streamResumption for the rule.
 */

import { hasMixedVersions, hasSingleVersion, resolveResumption } from '@rackwalk/decisions'
import type { Resumption, StreamOrigin, ServiceVersions } from '@rackwalk/decisions'
import type { Clock, SoftwareVersion, StreamKey } from '@rackwalk/shared'
import { StreamOriginCache } from './streamOriginCache.js'
import type { StartedStream } from './streamOriginCache.js'
import { RecentVersions } from './recentVersions.js'

/** What instances tell each other of streams and versions. */
export interface StreamGossip {
  readonly begun: readonly StartedStream[]
  /** Versions that serve, each with its service. */
  readonly versions: readonly StreamOrigin[]
}

/** What one instance knows of a stream that another one is asked to go on with. */
export interface OriginAnswer {
  readonly origins: readonly StreamOrigin[]
  /** Versions of the service that served lately. */
  readonly versions: readonly SoftwareVersion[]
}

/** A stream that is taken up. */
export interface ResumedStream {
  /** Undefined where the caller does not name its first try. */
  readonly key: StreamKey | undefined
  readonly service: string
}

/** What the memory of streams works with. */
export interface StreamOriginsParts {
  readonly clock: Clock
  /** Versions of the endpoints of a service that are listed. */
  readonly listedVersions: (service: string) => ReadonlySet<SoftwareVersion>
  /** Whether the store told of endpoints a moment ago. */
  readonly isListFresh: () => boolean
  /** Tells those that keep each stream of it. */
  readonly replicateStreams: (begun: readonly StartedStream[]) => void
  /** Tells all other instances of versions. */
  readonly broadcastVersions: (versions: readonly StreamOrigin[]) => void
  /** Answers of other instances; those that do not answer in time are left out. */
  readonly ask: (stream: ResumedStream) => Promise<readonly OriginAnswer[]>
}

/** Where the streams of the fleet began, as one instance knows it. */
export class StreamOrigins {
  private readonly memory: StreamOriginCache
  private readonly versions: RecentVersions

  constructor(private readonly parts: StreamOriginsParts) {
    this.memory = new StreamOriginCache(parts.clock)
    this.versions = new RecentVersions(parts.clock, parts.listedVersions)
  }

  /** Streams that are remembered here. */
  get size(): number {
    return this.memory.size
  }

  /** The first event of a stream is about to be passed on: whoever keeps it is told before its caller has anything. */
  noteStarted(stream: StartedStream): void {
    this.memory.note(stream, true)
    if (hasMixedVersions(this.versions.recentVersions(stream.origin.service)))
      this.parts.replicateStreams([stream])
  }

  /** An endpoint of a version is listed. */
  noteListed(origin: StreamOrigin): void {
    const isNew = this.noteVersion(origin)
    if (isNew) this.parts.broadcastVersions(this.versionsOf(origin.service))
  }

  /** An endpoint of a version is no longer listed; its streams may still be taken up. */
  noteUnlisted({ service, softwareVersion }: StreamOrigin): void {
    this.versions.note(service, softwareVersion)
  }

  /** Takes in what another instance told. */
  observe({ begun, versions }: StreamGossip): void {
    for (const stream of begun) {
      this.memory.note(stream, false)
      this.noteVersion(stream.origin)
    }
    for (const origin of versions) this.noteVersion(origin)
  }

  /** What an instance that comes now has to know. */
  get versionsSnapshot(): readonly StreamOrigin[] {
    return this.versions.services
      .map(service => this.versionsOf(service))
      .filter(({ length }) => length > 1)
      .flat()
  }

  /** What is known here, for another instance that asks. */
  answer({ key, service }: ResumedStream): OriginAnswer {
    return { origins: this.remembered(key), versions: this.versions.recentVersions(service) }
  }

  /** Where a stream goes on that a caller takes up here. */
  async find(stream: ResumedStream): Promise<Resumption> {
    const { service } = stream
    const own = this.answer(stream)
    const { isFresh, versions } = this.view(service)
    const isKnown = own.origins.length > 0 || hasSingleVersion(this.view(service))
    const answers = isKnown ? [] : await this.parts.ask(stream)
    const all = [own, ...answers]
    return resolveResumption(service, {
      origins: all.flatMap(answer => answer.origins),
      versions: [...versions, ...answers.flatMap(answer => answer.versions)],
      isConfirmed: isFresh || answers.length > 0,
    })
  }

  private view(service: string): ServiceVersions {
    return {
      versions: this.versions.recentVersions(service),
      knownForMilliseconds: this.versions.knownFor(service),
      isFresh: this.parts.isListFresh(),
    }
  }

  private remembered(key: StreamKey | undefined): readonly StreamOrigin[] {
    return key === undefined ? [] : this.memory.originsOf(key)
  }

  private versionsOf(service: string): readonly StreamOrigin[] {
    return this.versions
      .recentVersions(service)
      .map(softwareVersion => ({ service, softwareVersion }))
  }

  /** Whether the version is another one than those that served lately; what began at the only one so far has to be kept then. */
  private noteVersion({ service, softwareVersion }: StreamOrigin): boolean {
    const before = this.versions.recentVersions(service)
    this.versions.note(service, softwareVersion)
    const isNew = before.length > 0 && !before.includes(softwareVersion)
    if (isNew && before.length === 1)
      this.parts.replicateStreams(this.memory.servedLocally(service))
    return isNew
  }
}
