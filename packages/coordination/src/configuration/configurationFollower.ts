/**
 * The configuration of the OpenAI-style kind in force on this instance. Owns the resources and the
 * recent changes. Applies changes in order, from the table, or from peers while the table does not
 * answer.
 */

import { RackwalkError, ResultCode } from '@rackwalk/shared'
import type { IncarnationId, Version } from '@rackwalk/shared'
import type { JsonValue, Row, TableService } from '@rackwalk/stores'
import { encodeSortKey } from '@rackwalk/stores'
import type { Counters } from '../counters.js'
import type {
  ConfigurationChange,
  ConfigurationSnapshot,
  PeerChannel,
  PeerReply,
  PeerRequest,
} from '../peerMessages.js'
import { CHANGES_PARTITION } from '../tableKeys.js'
import { decodeRowValue } from '../rowCodecs.js'
import { changeCodec } from './configurationChange.js'
import type { Resource } from './resource.js'
import { resourceCodec, resourceId, resourcePartition } from './resource.js'

/**
 * Number of changes kept in memory for peers and watchers; up to `HISTORY_AT_START` more accumulate
 * before the list is cut to this length.
 */
const KEPT_CHANGES = 10_000
/** Maximum number of changes from before the start that are read for watchers. */
const HISTORY_AT_START = 1_000
/** Maximum number of changes per read from the table. */
const CHANGES_PER_READ = 500

/** Dependencies of a `ConfigurationFollower`. */
export interface ConfigurationFollowerParts {
  readonly table: TableService
  readonly peers: PeerChannel
  readonly counters: Counters
  /** Kinds kept in memory; changes of other kinds only advance the revision. */
  readonly kinds: readonly string[]
  /** Peers to ask when the table does not answer. */
  readonly peersToAsk: () => readonly IncarnationId[]
}

/** Called after each change or whole snapshot that took effect on this instance; must not throw. */
export type ConfigurationListener = (change: ConfigurationChange | 'snapshot') => void

/**
 * The configuration in force on this instance. Its revision only increases, by applying every
 * change in order or a whole snapshot, from the table or, if the table does not answer, from peers
 * that have newer revisions.
 */
export class ConfigurationFollower {
  private readonly resources = new Map<string, Resource>()
  private readonly listeners = new Set<ConfigurationListener>()
  private changes: ConfigurationChange[] = []
  private currentRevision: Version = 0
  private loaded = false

  constructor(private readonly parts: ConfigurationFollowerParts) {}

  get revision(): Version {
    return this.currentRevision
  }

  /**
   * Whether a configuration was read since the start: from the table, even an empty one, or from a
   * peer with at least one revision.
   */
  get isLoaded(): boolean {
    return this.loaded
  }

  find(kind: string, name: string): Resource | undefined {
    return this.resources.get(resourceId(kind, name))
  }

  list(kind: string): readonly Resource[] {
    return [...this.resources.values()].filter(resource => resource.kind === kind)
  }

  subscribe(listener: ConfigurationListener): () => void {
    this.listeners.add(listener)
    return () => this.listeners.delete(listener)
  }

  /**
   * Advances to the newest revision of the table or, if the table does not answer, to the newest
   * one of the peers.
   */
  async catchUp(): Promise<void> {
    try {
      await this.catchUpFromTable()
    } catch (thrown) {
      if (!(thrown instanceof RackwalkError)) throw thrown
      await this.catchUpFromPeers()
    }
  }

  /**
   * Returns the changes after a revision, or undefined if not all of them are in memory any more.
   */
  changesSince(revision: Version): readonly ConfigurationChange[] | undefined {
    if (revision >= this.currentRevision) return []
    const oldest = this.changes[0]
    if (oldest === undefined || oldest.revision > revision + 1) return undefined
    return this.changes.filter(change => change.revision > revision)
  }

  /** Answers a peer with the changes since its revision, or with a snapshot if some are missing. */
  answerPeer(request: PeerRequest<'configurationSince'>): PeerReply<'configurationSince'> {
    const changes = this.changesSince(request.revision)
    return changes === undefined ? { snapshot: this.snapshot() } : { changes }
  }

  private snapshot(): ConfigurationSnapshot {
    const resources = [...this.resources.values()].map(resource => resourceCodec.toJson(resource))
    return { revision: this.currentRevision, resources }
  }

  private async catchUpFromTable(): Promise<void> {
    if (!this.loaded) await this.loadFromTable()
    for (;;) {
      const rows = await this.parts.table.query(CHANGES_PARTITION, {
        after: encodeSortKey(this.currentRevision),
        limit: CHANGES_PER_READ,
      })
      this.applyChanges(rows.map(changeOf))
      if (rows.length < CHANGES_PER_READ) return
    }
  }

  /**
   * Reads the newest revision first, then the resources. Changes made between these reads are
   * applied again from the log, and `applyResource` keeps the newer of two states.
   */
  private async loadFromTable(): Promise<void> {
    const [head] = await this.parts.table.query(CHANGES_PARTITION, { reverse: true, limit: 1 })
    const revision = head === undefined ? 0 : Number(head.key.sort)
    const pages = await Promise.all(
      this.parts.kinds.map(kind => this.parts.table.query(resourcePartition(kind))),
    )
    const resources = pages.flat().map(row => row.value)
    this.applySnapshot({ revision, resources })
    await this.loadHistory(revision)
    this.loaded = true
  }

  /**
   * Reads recent changes, so that watchers can continue on this instance from a revision that they
   * reached at another one.
   */
  private async loadHistory(revision: Version): Promise<void> {
    const rows = await this.parts.table.query(CHANGES_PARTITION, {
      after: encodeSortKey(Math.max(0, revision - HISTORY_AT_START)),
      limit: HISTORY_AT_START,
    })
    this.changes = rows.map(changeOf).filter(change => change.revision <= revision)
  }

  private async catchUpFromPeers(): Promise<void> {
    for (const peer of this.parts.peersToAsk()) {
      try {
        const request = { revision: this.currentRevision }
        const reply = await this.parts.peers.call(peer, 'configurationSince', request)
        if (reply.snapshot !== undefined) this.applySnapshot(reply.snapshot)
        this.applyChanges(reply.changes ?? [])
        this.parts.counters.increment('configuration_from_peer')
        this.loaded ||= this.currentRevision > 0
      } catch {
        // This peer cannot be reached, or its answer is malformed. All other peers are asked as
        // well, since any of them may have newer changes.
      }
    }
  }

  private applySnapshot(snapshot: ConfigurationSnapshot): void {
    if (snapshot.revision < this.currentRevision) return
    if (snapshot.revision === this.currentRevision && this.loaded) return
    // Decoded before anything is cleared, so that a malformed snapshot leaves the current
    // configuration in force.
    const resources = snapshot.resources.map(resourceOf)
    this.resources.clear()
    for (const resource of resources) {
      if (!this.parts.kinds.includes(resource.kind)) continue
      this.resources.set(resourceId(resource.kind, resource.metadata.name), resource)
    }
    this.currentRevision = snapshot.revision
    this.changes = []
    this.notify('snapshot')
  }

  private applyChanges(changes: readonly ConfigurationChange[]): void {
    for (const change of changes) {
      // A change with any other revision was already applied or follows a gap.
      if (change.revision === this.currentRevision + 1) this.applyOne(change)
    }
  }

  private applyOne(change: ConfigurationChange): void {
    if (this.parts.kinds.includes(change.kind)) this.applyResource(change)
    this.currentRevision = change.revision
    this.changes.push(change)
    const isOverfull = this.changes.length > KEPT_CHANGES + HISTORY_AT_START
    if (isOverfull) this.changes = this.changes.slice(-KEPT_CHANGES)
    this.parts.counters.increment('configuration_applied')
    this.notify(change)
  }

  private applyResource(change: ConfigurationChange): void {
    const id = resourceId(change.kind, change.name)
    const resource = change.resource === undefined ? undefined : resourceOf(change.resource)
    const known = this.resources.get(id)
    // A snapshot may contain a newer state of the resource than this change.
    if (known !== undefined && known.metadata.version >= change.revision) return
    if (resource === undefined) this.resources.delete(id)
    else this.resources.set(id, resource)
  }

  private notify(change: ConfigurationChange | 'snapshot'): void {
    for (const listener of this.listeners) listener(change)
  }
}

function changeOf(row: Row): ConfigurationChange {
  return decodeRowValue(changeCodec, row)
}

/** Decodes a resource; throws if it is malformed, since it must not be taken for a deletion. */
function resourceOf(json: JsonValue): Resource {
  const resource = resourceCodec.fromJson(json)
  if (resource !== undefined) return resource
  throw new RackwalkError(ResultCode.PlatformUnavailable, 'malformed resource')
}
