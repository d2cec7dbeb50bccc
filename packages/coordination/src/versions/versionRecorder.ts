/**
 * Keeps the records of the software versions of services, one row for each service, written when a version appears or
 * leaves. No stream begins at a version before that version is in the record, and who resumes a stream reads the record
 * afterwards. Without them, an instance that has missed a release, or that starts after all others have crashed, would not
 * know the versions that began the streams of its callers. Owns the rows as last read, written or told by another
 * instance, and the changes that are still to be written; the rules are in decisions/retrying/versionRecord.
 *
 * Each write is conditional on the versions of its rows, so that an instance that has not seen the newest row learns it
 * instead of replacing it.
 */

import { historyOf, nextVersionRecord, recordChange, recordingDelay } from '@rackwalk/decisions'
import type { RecordChange, ServiceHistory, VersionRecord, VersionView } from '@rackwalk/decisions'
import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds, SoftwareVersion, Timer } from '@rackwalk/shared'
import type { RowAddress, RowStore, RowWriteOutcome, StoredRow } from '@rackwalk/stores'
import type { StoreClock } from '../rows/storeClock.js'
import { SharedRead } from './sharedRead.js'
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
  /** Number of instances that may read the records. */
  readonly instanceCount: () => number
  /**
   * Called with all records when they were first read, and again when the store is back in contact. A malformed one is
   * reported as known for no time.
   */
  readonly onHistory: (histories: readonly ServiceHistory[]) => void
  /** The records that another instance knows; empty if none answers. */
  readonly recordsOfPeers: () => Promise<readonly WrittenRecord[]>
  /**
   * The record of a service was written here, or found written when nobody had told this instance; other instances need
   * not read it then.
   */
  readonly onWritten: (record: WrittenRecord) => void
  readonly onMalformedRow: (row: RowAddress) => void
}

/** A row that an instance has written, as it tells the others. */
export interface WrittenRecord {
  readonly service: string
  /** The stored form of the record. */
  readonly value: string
  /** Version of the row. */
  readonly version: number
}

interface KnownRow {
  /** Undefined if the row is malformed. */
  readonly record: VersionRecord | undefined
  readonly value: string
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
 * Delay of a write that streams wait for, for each instance that is ranked before this one: the others hear of the first
 * write instead of writing as well.
 */
const DEMANDED_RANK_MILLISECONDS: Milliseconds = 5
const LONGEST_DEMANDED_MILLISECONDS: Milliseconds = 100
/** Least time between two failed writes that streams wait for. */
const DEMANDED_RETRY_MILLISECONDS: Milliseconds = 1_000
/** Least time between two reads for resumed streams at one instance; all streams that wait share a read. */
const SHORTEST_READ_GAP_MILLISECONDS: Milliseconds = 25
/**
 * The same for each instance of the fleet, which keeps all of them together under 2,000 reads a second: the store bears a
 * bounded number, and after a loss of many instances streams come back at all others.
 */
const READ_GAP_PER_INSTANCE_MILLISECONDS: Milliseconds = 0.5
/** An instance that leaves a change to others reads the records if nobody has told it of the change for this long. */
const UNTOLD_MILLISECONDS: Milliseconds = 5_000
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
  /** Services of which the newest write has no answer: the store may do it later, if the row stays as it is. */
  private readonly unanswered = new Set<string>()
  /** Services of which a stream waits for the record of a version. */
  private readonly demanded = new Set<string>()
  private readonly waiting = new Set<() => void>()
  private readonly reads: SharedRead<Histories | undefined>
  private hasRead = false
  private isWriting = false
  /** Whether a look was asked for while records were being written. */
  private isCheckWanted = false
  private isStopped = false
  /** Number of consecutive failed calls. */
  private failures = 0
  /** Monotonic time of the newest write. */
  private wroteAt = Number.NEGATIVE_INFINITY
  private timer: Timer | undefined
  private restoreTimer: Timer | undefined

  constructor(private readonly parts: VersionRecorderParts) {
    const gap = () => {
      const forFleet = READ_GAP_PER_INSTANCE_MILLISECONDS * parts.instanceCount()
      return Math.max(SHORTEST_READ_GAP_MILLISECONDS, forFleet)
    }
    this.reads = new SharedRead(parts.clock, gap, () => this.read())
  }

  start(): void {
    void this.restore()
  }

  stop(): void {
    this.isStopped = true
    this.timer?.cancel()
    this.restoreTimer?.cancel()
    this.wakeWaiting()
  }

  /**
   * Reads all records from the store, beginning after this call. Resolves with them by service, or with undefined if the
   * store did not answer.
   */
  readRecords(): Promise<Histories | undefined> {
    return this.reads.begin()
  }

  /** The versions that are recorded as serving, as far as this instance has heard. */
  recordedVersions(service: string): readonly SoftwareVersion[] {
    return servingVersions(this.rows.get(service)?.record)
  }

  /**
   * A stream waits until a version of this service is recorded, so that the change is not left to another instance.
   * Resolves with true when a record has changed, and with false after the limit.
   */
  async untilRecordChanges(service: string, limitMilliseconds: Milliseconds): Promise<boolean> {
    const { clock } = this.parts
    this.demanded.add(service)
    const isDue = clock.monotonic() - this.wroteAt >= DEMANDED_RETRY_MILLISECONDS
    if (this.failures === 0 || isDue) this.checkNow()
    let wake = () => {}
    const changed = new Promise<boolean>(resolve => (wake = () => resolve(true)))
    this.waiting.add(wake)
    const unchanged = sleep(clock, limitMilliseconds).then(() => false)
    const isChanged = await Promise.race([changed, unchanged])
    this.waiting.delete(wake)
    return isChanged
  }

  /** The list of endpoints changed. */
  noteChange(): void {
    if (this.hasRead) this.checkAfter(GATHER_MILLISECONDS)
  }

  /** The newest records that this instance knows. */
  get knownRecords(): readonly WrittenRecord[] {
    return [...this.rows].map(([service, { value, version }]) => ({ service, value, version }))
  }

  /** Another instance has written a record, or knows it from the store. */
  noteWritten({ service, value, version }: WrittenRecord): void {
    if (version <= (this.rows.get(service)?.version ?? 0)) return
    if (versionRecordCodec.decode(value) === undefined) return
    this.noteRow({ ...addressOf(service), value, version })
    this.noteChange()
  }

  /** The store answers again after a loss of contact: versions may have come and left meanwhile. */
  noteStoreReached(): void {
    this.failures = 0
    void this.restore()
  }

  /** Reads the records until the store answers, and reports them. */
  private async restore(): Promise<void> {
    this.restoreTimer?.cancel()
    const histories = await this.readRecords()
    if (this.isStopped) return
    if (histories === undefined) {
      this.failures += 1
      void this.learnFromPeers()
      this.restoreTimer = this.parts.clock.after(this.retryDelay, () => void this.restore())
      return
    }
    this.parts.onHistory([...histories.values()])
    this.timer?.cancel()
    this.timer = undefined
    this.checkAfter(GATHER_MILLISECONDS)
  }

  /**
   * While the store does not answer, an instance that starts learns from others at which versions streams may begin.
   * That a version is recorded stays true while it serves, so that their knowledge may be older.
   */
  private async learnFromPeers(): Promise<void> {
    if (this.hasRead) return
    for (const record of await this.parts.recordsOfPeers()) this.noteWritten(record)
  }

  private async read(): Promise<Histories | undefined> {
    const { store, clock, storeClock } = this.parts
    const sentAt = clock.monotonic()
    const outcome = await store.readPartition(VERSION_TABLE, VERSION_PARTITION)
    if (this.isStopped) return undefined
    if (outcome.kind === 'failed') return undefined
    this.failures = 0
    const { rows, storeTime } = outcome
    storeClock.recordAnswer(storeTime, sentAt)
    for (const row of rows) this.noteRow(row)
    this.hasRead = true
    this.wakeWaiting()
    this.noteChange()
    return new Map(
      rows.map(({ key: service, value }) => {
        return [service, history(service, versionRecordCodec.decode(value), storeTime)]
      }),
    )
  }

  private noteAnswered(isAnswered: boolean): void {
    this.failures = isAnswered ? 0 : this.failures + 1
  }

  private get retryDelay(): Milliseconds {
    const delay = RETRY_BASE_MILLISECONDS * 2 ** Math.min(this.failures, 10)
    return Math.min(LONGEST_RETRY_MILLISECONDS, delay)
  }

  /** Answers may overtake each other, so an older row does not replace a newer one. */
  private noteRow(row: StoredRow): void {
    if (row.version < (this.rows.get(row.key)?.version ?? 0)) return
    const record = versionRecordCodec.decode(row.value)
    if (record === undefined) this.parts.onMalformedRow(row)
    this.rows.set(row.key, { record, value: row.value, version: row.version })
    this.wakeWaiting()
  }

  private wakeWaiting(): void {
    for (const wake of this.waiting) wake()
    this.waiting.clear()
  }

  private checkNow(): void {
    this.timer?.cancel()
    this.timer = undefined
    void this.check()
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
    if (this.isWriting) {
      this.isCheckWanted = true
      return
    }
    if (this.storeTime !== undefined && this.parts.isListFresh()) {
      this.isWriting = true
      for (const service of this.parts.services()) await this.writeIfDue(service)
      this.isWriting = false
      if (this.takeUntold()) await this.readRecords()
    }
    if (this.isCheckWanted) this.checkAfter(0)
    else if (this.pending.size + this.unanswered.size > 0) this.checkAfter(this.checkDelay)
    this.isCheckWanted = false
  }

  /** Time until the next look while changes are left. */
  private get checkDelay(): Milliseconds {
    if (this.failures > 0) return this.retryDelay
    const isDemanded = this.parts.services().some(service => this.demanded.has(service))
    return isDemanded && this.parts.isListFresh() ? DEMANDED_RANK_MILLISECONDS : CHECK_MILLISECONDS
  }

  /**
   * Writes the record of a service if it is due. The update is made just before its write: another instance may have told
   * of a newer row while the record of the service before was written, and must not lose its versions.
   */
  private async writeIfDue(service: string): Promise<void> {
    const { storeTime } = this
    if (storeTime === undefined || !this.parts.isListFresh()) return
    const update = this.dueUpdate(service, storeTime)
    if (update !== undefined) await this.write(update)
  }

  /** Upper bound of the store's time; undefined before its first answer. */
  private get storeTime(): Milliseconds | undefined {
    const { storeClock, clock } = this.parts
    return storeClock.upperBoundAt(clock.monotonic())
  }

  /** Returns the record to be written; undefined if the stored one is right, or another instance is to write it. */
  private dueUpdate(service: string, at: Milliseconds): RecordUpdate | undefined {
    const view = this.viewOf(service, at)
    const known = this.rows.get(service)?.record
    const change = recordChange(known, view)
    if (change === undefined) {
      this.pending.delete(service)
      this.demanded.delete(service)
      return this.unanswered.has(service) ? this.sameRecord(service) : undefined
    }
    const record = nextVersionRecord(known, view)
    const now = this.parts.clock.monotonic()
    const { since } = this.notePending(service, change, now)
    const rank = this.parts.rank(service)
    const delay = this.demanded.has(service) ? demandedDelay(rank) : recordingDelay(change, rank)
    return delay !== undefined && now - since >= delay ? { service, record } : undefined
  }

  /** The known record, written again so that an unanswered write whose change is over finds another row. */
  private sameRecord(service: string): RecordUpdate | undefined {
    const record = this.rows.get(service)?.record
    return record && { service, record }
  }

  /** Whether a change has waited for so long that another instance must have written it; its wait begins anew. */
  private takeUntold(): boolean {
    const now = this.parts.clock.monotonic()
    const untold = [...this.pending].filter(([, { since }]) => now - since >= UNTOLD_MILLISECONDS)
    for (const [service, { change }] of untold) this.pending.set(service, { change, since: now })
    return untold.length > 0
  }

  private notePending(service: string, change: RecordChange, now: Milliseconds): PendingChange {
    const known = this.pending.get(service)
    if (known?.change === change) return known
    const pending = { change, since: now }
    this.pending.set(service, pending)
    return pending
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
    const value = versionRecordCodec.encode(record)
    this.wroteAt = this.parts.clock.monotonic()
    const outcome = await this.parts.store.write({
      conditions: [{ ...address, version: this.rows.get(service)?.version ?? 0 }],
      puts: [{ ...address, value }],
      removals: [],
    })
    this.noteOutcome(service, outcome.kind)
    if (outcome.kind === 'conflict') {
      this.rows.delete(service)
      for (const row of outcome.rows) this.noteRow(row)
      this.tell(service)
    }
    if (outcome.kind !== 'done') return
    this.noteRow({ ...address, value, version: outcome.version })
    this.pending.delete(service)
    this.demanded.delete(service)
    this.tell(service)
  }

  private tell(service: string): void {
    const known = this.rows.get(service)
    if (known !== undefined) {
      this.parts.onWritten({ service, value: known.value, version: known.version })
    }
  }

  private noteOutcome(service: string, kind: RowWriteOutcome['kind']): void {
    const isAnswered = kind === 'done' || kind === 'conflict'
    this.noteAnswered(isAnswered)
    if (isAnswered) this.unanswered.delete(service)
    const isReplacing = this.rows.get(service)?.record !== undefined
    if (kind === 'unknown' && isReplacing) this.unanswered.add(service)
  }
}

/** The records as read, by service. */
export type Histories = ReadonlyMap<string, ServiceHistory>

/** Returns how long after it saw a change an instance writes it if a stream waits; the longest if its rank is unknown. */
function demandedDelay(rank = Number.POSITIVE_INFINITY): Milliseconds {
  return Math.min(LONGEST_DEMANDED_MILLISECONDS, rank * DEMANDED_RANK_MILLISECONDS)
}

function servingVersions(record: VersionRecord | undefined): readonly SoftwareVersion[] {
  const versions = record?.versions ?? []
  return versions.flatMap(({ softwareVersion, unlistedAt }) => {
    return unlistedAt === undefined ? [softwareVersion] : []
  })
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
