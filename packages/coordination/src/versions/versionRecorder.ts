/**
 * Keeps the records of the software versions of services, one row for each service, written when a version appears or
 * leaves. An instance reads them when it starts. Without them, an instance that starts after all others have crashed would
 * not know the versions that began the streams of its callers. Owns the rows as last read or written, and the changes that
 * are still to be written; the rules are in decisions/retrying/versionRecord.
 *
 * Each write is conditional on the versions of its rows, so that an instance that has not seen the newest row learns it
 * instead of replacing it.
 */

import {
  RESUMPTION_WINDOW_MILLISECONDS,
  historyOf,
  nextVersionRecord,
  recordChange,
  recordingDelay,
} from '@rackwalk/decisions'
import type { RecordChange, ServiceHistory, VersionRecord, VersionView } from '@rackwalk/decisions'
import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds, SoftwareVersion, Timer } from '@rackwalk/shared'
import type { RowAddress, RowStore, StoredRow } from '@rackwalk/stores'
import type { StoreClock } from '../rows/storeClock.js'
import { VERSION_PARTITION, VERSION_TABLE, versionRecordCodec } from './versionRow.js'

/** What an instance currently lists of a service. */
export interface ListedServiceVersions {
  readonly listed: readonly SoftwareVersion[]
  /** Versions that left, with the monotonic times at which each was last seen. */
  readonly unlisted: ReadonlyMap<SoftwareVersion, Milliseconds>
  /** Time for which all versions of the service are known. */
  readonly knownForMilliseconds: Milliseconds
}

/** Dependencies of a `VersionRecorder`. */
export interface VersionRecorderParts {
  readonly store: RowStore
  readonly storeClock: StoreClock
  readonly clock: Clock
  /** Services of which a version is known. */
  readonly services: () => readonly string[]
  readonly versionsOf: (service: string) => ListedServiceVersions
  /** Whether the list of endpoints was recently read from the store. */
  readonly isListFresh: () => boolean
  /** Rank of this instance among those that may write the record of a service; undefined while it is not known. */
  readonly rank: (service: string) => number | undefined
  /** Called once, with all records. A malformed one is reported as known for no time. */
  readonly onHistory: (histories: readonly ServiceHistory[]) => void
  readonly onMalformedRow: (row: RowAddress) => void
}

interface KnownRow {
  /** Undefined if the row is malformed. */
  readonly record: VersionRecord | undefined
  readonly version: number
}

/** A change that the store does not have yet, as far as this instance knows. */
interface PendingChange {
  readonly change: RecordChange
  /** Monotonic time. */
  readonly since: Milliseconds
}

interface RecordUpdate {
  readonly service: string
  readonly record: VersionRecord
}

/** Endpoints that are listed within this time are compared with the records once. */
const GATHER_MILLISECONDS: Milliseconds = 50
/** Time between two looks whether it is this instance's turn to write. */
const CHECK_MILLISECONDS: Milliseconds = 1_000
/**
 * The delay after the n-th consecutive failed call is 2^n times this, but at most `LONGEST_RETRY_MILLISECONDS`: each call
 * has a price, and a row may be one that the store never takes.
 */
const RETRY_BASE_MILLISECONDS: Milliseconds = 500
const LONGEST_RETRY_MILLISECONDS: Milliseconds = 30_000

/** Records the software versions of services, on one instance. */
export class VersionRecorder {
  private readonly rows = new Map<string, KnownRow>()
  private readonly pending = new Map<string, PendingChange>()
  private hasRead = false
  private isFirstReadOver = false
  private isWriting = false
  private isStopped = false
  /** Number of consecutive failed calls. */
  private failures = 0
  private timer: Timer | undefined
  private firstRead: Promise<void> = Promise.resolve()

  constructor(private readonly parts: VersionRecorderParts) {}

  start(): void {
    this.firstRead = this.read()
  }

  stop(): void {
    this.isStopped = true
    this.timer?.cancel()
  }

  /** Resolves when the first read has ended, whether or not the store answered, or after the limit. */
  async untilRead(limitMilliseconds: Milliseconds): Promise<void> {
    if (this.isFirstReadOver) return
    await Promise.race([this.firstRead, sleep(this.parts.clock, limitMilliseconds)])
  }

  /** The list of endpoints changed. */
  noteChange(): void {
    if (this.hasRead) this.checkAfter(GATHER_MILLISECONDS)
  }

  private async read(): Promise<void> {
    const { store, clock, storeClock, onHistory } = this.parts
    const sentAt = clock.monotonic()
    const outcome = await store.readPartition(VERSION_TABLE, VERSION_PARTITION)
    this.isFirstReadOver = true
    if (this.isStopped) return
    this.noteAnswered(outcome.kind === 'rows')
    if (outcome.kind === 'failed') {
      this.timer = clock.after(this.retryDelay, () => void this.read())
      return
    }
    storeClock.recordAnswer(outcome.storeTime, sentAt)
    for (const row of outcome.rows) this.noteRow(row)
    this.hasRead = true
    const { storeTime } = outcome
    onHistory([...this.rows].map(([service, { record }]) => history(service, record, storeTime)))
    this.timer = undefined
    this.checkAfter(GATHER_MILLISECONDS)
  }

  private noteAnswered(isAnswered: boolean): void {
    this.failures = isAnswered ? 0 : this.failures + 1
  }

  private get retryDelay(): Milliseconds {
    const delay = RETRY_BASE_MILLISECONDS * 2 ** Math.min(this.failures, 10)
    return Math.min(LONGEST_RETRY_MILLISECONDS, delay)
  }

  private noteRow(row: StoredRow): void {
    const record = versionRecordCodec.decode(row.value)
    if (record === undefined) this.parts.onMalformedRow(row)
    this.rows.set(row.key, { record, version: row.version })
  }

  private checkAfter(delay: Milliseconds): void {
    if (this.isStopped || this.timer !== undefined) return
    this.timer = this.parts.clock.after(delay, () => {
      this.timer = undefined
      void this.check()
    })
  }

  /** Writes the changes that are due, and looks again while there are others. */
  private async check(): Promise<void> {
    if (this.isWriting) return this.checkAfter(CHECK_MILLISECONDS)
    const at = this.parts.storeClock.upperBoundAt(this.parts.clock.monotonic())
    if (at !== undefined && this.parts.isListFresh()) {
      const due = this.parts.services().flatMap(service => this.dueUpdate(service, at) ?? [])
      this.isWriting = true
      for (const update of due) await this.write(update)
      this.isWriting = false
    }
    const delay = this.failures === 0 ? CHECK_MILLISECONDS : this.retryDelay
    if (this.pending.size > 0) this.checkAfter(delay)
  }

  /** Returns the record to be written; undefined if the stored one is right, or another instance is to write it. */
  private dueUpdate(service: string, at: Milliseconds): RecordUpdate | undefined {
    const view = this.viewOf(service, at)
    const known = this.rows.get(service)?.record
    const change = recordChange(known, view)
    if (change === undefined) {
      this.pending.delete(service)
      return undefined
    }
    const record = nextVersionRecord(known, view)
    const now = this.parts.clock.monotonic()
    const { since } = this.notePending(service, change, now)
    const rank = this.parts.rank(service)
    const delay = rank === undefined ? undefined : recordingDelay(change, rank)
    if (delay !== undefined) return now - since >= delay ? { service, record } : undefined
    if (now - since >= RESUMPTION_WINDOW_MILLISECONDS) this.leaveToOthers(service, record)
    return undefined
  }

  private notePending(service: string, change: RecordChange, now: Milliseconds): PendingChange {
    const known = this.pending.get(service)
    if (known?.change === change) return known
    const pending = { change, since: now }
    this.pending.set(service, pending)
    return pending
  }

  /** The change is taken for written by the instances whose turn it was; the version of the row is an earlier one then. */
  private leaveToOthers(service: string, record: VersionRecord): void {
    this.rows.set(service, { record, version: this.rows.get(service)?.version ?? 0 })
    this.pending.delete(service)
  }

  private viewOf(service: string, at: Milliseconds): VersionView {
    const { listed, unlisted, knownForMilliseconds } = this.parts.versionsOf(service)
    const offset = at - this.parts.clock.monotonic()
    return {
      listed,
      unlisted: new Map([...unlisted].map(([version, seenAt]) => [version, seenAt + offset])),
      knownSince: at - knownForMilliseconds,
      at,
    }
  }

  private async write({ service, record }: RecordUpdate): Promise<void> {
    const address = addressOf(service)
    const outcome = await this.parts.store.write({
      conditions: [{ ...address, version: this.rows.get(service)?.version ?? 0 }],
      puts: [{ ...address, value: versionRecordCodec.encode(record) }],
      removals: [],
    })
    this.noteAnswered(outcome.kind === 'done' || outcome.kind === 'conflict')
    if (outcome.kind === 'conflict') {
      this.rows.delete(service)
      for (const row of outcome.rows) this.noteRow(row)
    }
    if (outcome.kind !== 'done') return
    this.rows.set(service, { record, version: outcome.version })
    this.pending.delete(service)
  }
}

function history(
  service: string,
  record: VersionRecord | undefined,
  at: Milliseconds,
): ServiceHistory {
  if (record === undefined) return { service, knownForMilliseconds: 0, versions: [] }
  return historyOf(service, record, at)
}

function addressOf(service: string): RowAddress {
  return { table: VERSION_TABLE, partition: VERSION_PARTITION, key: service }
}
