/**
 * Directory of the instances of a gateway fleet, based on their rows in the store. Each instance
 * renews its row with heartbeats; one whose row does not change for the silence timeout is silent
 * and counts as not serving. Without the directory, instances would not know with whom they share
 * budgets and to whom they can send callers. Owns this instance's row and the times at which the
 * rows were seen to change. Relies on the mirror of the table for reading the rows, and on the
 * store for writing its own.
 */

import type { RecordedInstance } from '@rackwalk/decisions'
import type { Clock, Milliseconds, RandomSource, Timer } from '@rackwalk/shared'
import type { ChangedRow, RowAddress, RowStore, StoredRow } from '@rackwalk/stores'
import type { StoreClock } from '../rows/storeClock.js'
import { MEMBER_PARTITION, MEMBER_TABLE, memberRowCodec } from './memberRow.js'
import type { MemberRow, MemberState } from './memberRow.js'

/** Dependencies of a `MemberDirectory`. */
export interface MemberDirectoryParts {
  readonly self: Omit<
    MemberRow,
    'state' | 'heartbeat' | 'requestsPerSecond' | 'renewalMilliseconds'
  >
  /** Requests per second that this instance currently receives. */
  readonly requestsPerSecond: () => number
  /** Whether callers are sent to this instance; if not, the row is renewed less often. */
  readonly isActive: () => boolean
  readonly store: RowStore
  readonly storeClock: StoreClock
  readonly clock: Clock
  readonly random: RandomSource
  /** Time between two heartbeats in a small fleet. */
  readonly heartbeatMilliseconds: Milliseconds
  /**
   * In a small fleet, an active instance whose row has not changed for this long counts as not
   * serving.
   */
  readonly silenceMilliseconds: Milliseconds
  /** Write rate that the partition of all rows can take, per second. */
  readonly partitionWritesPerSecond: number
  /** Called when an instance appears or its state changes, also for this instance. */
  readonly onStateChange: (instance: string, state: MemberState) => void
  /**
   * Called once for each incarnation (run of an instance's process) whose row becomes known: for
   * this instance after its first successful write, for another instance after its row was read.
   */
  readonly onRegistered?: (isSelf: boolean) => void
  /** Called for a malformed row; the row is ignored and the last valid version is kept. */
  readonly onMalformedRow: (row: RowAddress) => void
}

interface KnownMember {
  row: MemberRow
  version: number
  /** Value of `observedTime` at which the row was last seen to change. */
  changedAt: Milliseconds
}

/**
 * Maximum part of the time between two reads that counts as observed. A longer time without a read
 * gives no evidence about other instances.
 */
const LONGEST_COUNTED_GAP_MILLISECONDS = 1_500
/**
 * Share of the partition's write rate that heartbeats may use. In a fleet whose heartbeats would
 * exceed it, heartbeats slow down.
 */
const HEARTBEAT_SHARE = 0.4
/**
 * Factor on the time between two heartbeats of a standby instance, to which no callers are sent.
 */
const STANDBY_FACTOR = 3
/** Heartbeats by which an instance that started together with this one may be ahead. */
const NEWCOMER_HEARTBEATS = 3
/** A row that was not renewed for more than this many silence timeouts is removed. */
const REMOVE_AFTER_SILENCES = 20

/**
 * Time after this instance has seen its own row in a read, by which the other instances know it
 * too. While the store answers, an instance reads the rows at least every 1.5 s, and one such read
 * may fail.
 */
const VISIBILITY_DELAY_MILLISECONDS = 3_000
/**
 * Rate of requests below which an instance does not count as working, so that single requests, such
 * as a configuration check, do not make it count as one that receives callers.
 */
const WORKING_REQUESTS_PER_SECOND = 1

/**
 * Time after its start for which an instance waits for the rows before it assumes that it is the
 * only one; a store or peer that answers delivers them in a tenth of this time.
 */
const FIRST_READ_TIMEOUT_MILLISECONDS = 1_500

/** The members of the fleet, as seen by one instance. */
export class MemberDirectory {
  private readonly members = new Map<string, KnownMember>()
  private heartbeat = 0
  private renewalMilliseconds: Milliseconds
  private draining = false
  private loaded = false
  /** Whether the first read of all rows showed other instances that had run for a while; undefined before it. */
  private hadElders: boolean | undefined
  /** Whether an earlier incarnation of this instance left its row; undefined while it is not known. */
  private hadPredecessor: boolean | undefined
  private startedAt: Milliseconds | undefined
  private timer: Timer | undefined
  private wasWritten = false
  /**
   * Total time during which this instance read the rows without a long gap. Silence is measured in
   * this time: an instance that lost its own connection to the store must not treat all others as
   * terminated when it reconnects.
   */
  private observedTime: Milliseconds = 0
  private lastReadAt: Milliseconds | undefined
  /**
   * Monotonic time since when this instance's row has been seen; undefined while it has not been
   * seen.
   */
  private recordedSince: Milliseconds | undefined

  constructor(private readonly parts: MemberDirectoryParts) {
    this.renewalMilliseconds = parts.heartbeatMilliseconds
  }

  start(): void {
    this.startedAt = this.parts.clock.monotonic()
    void this.renew()
  }

  stop(): void {
    this.timer?.cancel()
    this.timer = undefined
  }

  /** Announces that this instance accepts no new callers. */
  async drain(): Promise<void> {
    this.draining = true
    await this.write()
  }

  /** Stops the heartbeats and removes this instance's row. */
  async leave(): Promise<void> {
    this.stop()
    await this.parts.store.write({ conditions: [], puts: [], removals: [this.address()] })
  }

  /** Applies rows of the table; with `isWhole`, they are all its rows. */
  observe(rows: readonly ChangedRow[], isWhole: boolean): void {
    for (const row of rows) this.observeRow(row)
    this.noteOwnRow(rows)
    if (!isWhole) return
    this.loaded = true
    this.noteEarlierInstances(rows)
    const present = new Set(rows.map(row => row.key))
    for (const key of this.members.keys()) if (!present.has(key)) this.members.delete(key)
  }

  /** Records a successful read of the table, which adds to the observed time. */
  noteRead(): void {
    const now = this.parts.clock.monotonic()
    const gap = now - (this.lastReadAt ?? now)
    this.observedTime += Math.min(gap, LONGEST_COUNTED_GAP_MILLISECONDS)
    this.lastReadAt = now
  }

  /**
   * Whether the other instances count as known: all rows were received once, or the timeout has
   * passed since the start. Callers that ask for addresses earlier get none: in a fleet whose
   * instances all start at once, each would return only its own address.
   */
  get isInitialized(): boolean {
    if (this.loaded) return true
    const { startedAt } = this
    return (
      startedAt !== undefined &&
      this.parts.clock.monotonic() - startedAt >= FIRST_READ_TIMEOUT_MILLISECONDS
    )
  }

  /**
   * All instances with a row, including this one, whether or not they are silent; undefined while
   * other instances may not know this one yet.
   */
  get recordedInstances(): readonly RecordedInstance[] | undefined {
    const since = this.recordedSince
    if (!this.loaded || since === undefined) return undefined
    if (this.parts.clock.monotonic() - since < VISIBILITY_DELAY_MILLISECONDS) return undefined
    return [...this.members.values()].map(({ row }) => ({
      instance: row.instance,
      isWorking: row.requestsPerSecond >= WORKING_REQUESTS_PER_SECOND,
    }))
  }

  /**
   * Whether all instances of the fleet started together with this one and none had run before, as far as rows tell; false
   * until that is known.
   */
  get isFleetNew(): boolean {
    return this.hadElders === false && this.hadPredecessor === false
  }

  /** Whether a row of this incarnation of an instance exists, in any state. */
  hasIncarnation(instance: string, incarnation: string): boolean {
    return this.members.get(instance)?.row.incarnation === incarnation
  }

  /** This instance's current row. */
  get self(): MemberRow {
    const state: MemberState = this.draining ? 'draining' : 'serving'
    const requestsPerSecond = Math.round(this.parts.requestsPerSecond() * 10) / 10
    const { heartbeat, renewalMilliseconds } = this
    return { ...this.parts.self, requestsPerSecond, state, heartbeat, renewalMilliseconds }
  }

  /** Other instances that are serving, as far as this instance knows. */
  get others(): readonly MemberRow[] {
    const { instance } = this.parts.self
    return [...this.members.values()]
      .filter(member => member.row.instance !== instance && this.isServing(member))
      .map(member => member.row)
  }

  /** Other instances whose rows say that they serve, and have not been renewed in time. */
  get unrenewedOthers(): readonly MemberRow[] {
    const { instance } = this.parts.self
    return [...this.members.values()]
      .filter(({ row }) => row.instance !== instance && row.state === 'serving')
      .filter(member => !this.isServing(member))
      .map(member => member.row)
  }

  /**
   * Factor by which heartbeats are slower than in a small fleet, to stay within the store's write
   * rate.
   */
  private get heartbeatSlowdown(): number {
    const { heartbeatMilliseconds, partitionWritesPerSecond } = this.parts
    const perSecond = (this.members.size * 1000) / heartbeatMilliseconds
    return Math.max(1, perSecond / (HEARTBEAT_SHARE * partitionWritesPerSecond))
  }

  /** Notes which instances had run before this one, when all rows were received for the first time. */
  private noteEarlierInstances(rows: readonly ChangedRow[]): void {
    if (this.hadElders !== undefined) return
    const { instance, incarnation } = this.parts.self
    this.hadElders = [...this.members.values()].some(({ row }) => {
      return row.instance !== instance && row.heartbeat > NEWCOMER_HEARTBEATS
    })
    if (!rows.some(({ key }) => key === instance)) this.hadPredecessor ??= false
    else if (!this.hasIncarnation(instance, incarnation)) this.hadPredecessor = true
  }

  private observeRow(row: ChangedRow): void {
    const known = this.members.get(row.key)
    if (known !== undefined && known.version > row.version) return
    if (row.value === undefined) {
      this.members.delete(row.key)
      return
    }
    if (known?.version === row.version) return
    const parsed = memberRowCodec.decode(row.value)
    // A row under another instance's key would be taken for a second row of that instance.
    if (parsed?.instance !== row.key) return this.parts.onMalformedRow(row)
    this.members.set(row.key, { row: parsed, version: row.version, changedAt: this.observedTime })
    this.notifyChange(known?.row, parsed)
  }

  private notifyChange(before: MemberRow | undefined, row: MemberRow): void {
    const { self, onRegistered, onStateChange } = this.parts
    const isNew = before?.incarnation !== row.incarnation
    if (isNew && row.instance !== self.instance) onRegistered?.(false)
    if (before?.state !== row.state) onStateChange(row.instance, row.state)
  }

  private noteOwnRow(rows: readonly ChangedRow[]): void {
    const { instance } = this.parts.self
    if (this.recordedSince !== undefined || !rows.some(({ key }) => key === instance)) return
    // A row that the first read of the table returns counts as that of an earlier incarnation, so
    // all instances know this one already.
    const isPredecessor = !this.loaded
    this.recordedSince = isPredecessor ? Number.NEGATIVE_INFINITY : this.parts.clock.monotonic()
  }

  private isServing(member: KnownMember): boolean {
    if (member.row.state !== 'serving') return false
    return this.observedTime - member.changedAt < this.silenceTimeoutOf(member)
  }

  /**
   * Returns the observed time without a change of the row after which the member counts as silent.
   */
  private silenceTimeoutOf({ row }: KnownMember): Milliseconds {
    const { silenceMilliseconds, heartbeatMilliseconds } = this.parts
    return (silenceMilliseconds / heartbeatMilliseconds) * row.renewalMilliseconds
  }

  private async renew(): Promise<void> {
    await this.write()
    await this.removeStaleRow()
    const { random, clock } = this.parts
    const delay = this.renewalMilliseconds * (0.9 + 0.2 * random.next())
    this.timer = clock.after(delay, () => void this.renew())
  }

  private async write(): Promise<void> {
    this.heartbeat += 1
    const { store, clock, storeClock, isActive, heartbeatMilliseconds } = this.parts
    const factor = isActive() ? 1 : STANDBY_FACTOR
    this.renewalMilliseconds = heartbeatMilliseconds * this.heartbeatSlowdown * factor
    const value = memberRowCodec.encode(this.self)
    const sentAt = clock.monotonic()
    const address = this.address()
    // The row of an earlier incarnation is replaced only once it was noticed.
    const conditions = this.hadPredecessor === undefined ? [{ ...address, version: 0 }] : []
    const outcome = await store.write({ conditions, puts: [{ ...address, value }], removals: [] })
    if (outcome.kind === 'conflict') return this.replaceRow(outcome.rows)
    if (outcome.kind !== 'done') return
    this.hadPredecessor ??= false
    storeClock.recordAnswer(outcome.storeTime, sentAt)
    if (this.wasWritten) return
    this.wasWritten = true
    this.parts.onRegistered?.(true)
  }

  private async replaceRow(rows: readonly StoredRow[]): Promise<void> {
    const parsed = rows.map(({ value }) => memberRowCodec.decode(value))
    const isOwn = parsed.some(row => row?.incarnation === this.parts.self.incarnation)
    this.hadPredecessor ??= !isOwn
    await this.write()
  }

  /** Removes one row that is no longer renewed, if any, so that such rows do not accumulate. */
  private async removeStaleRow(): Promise<void> {
    const stale = [...this.members].find(
      ([, member]) =>
        this.observedTime - member.changedAt >
        REMOVE_AFTER_SILENCES * this.silenceTimeoutOf(member),
    )
    if (stale === undefined) return
    const [key, { version }] = stale
    const address = { table: MEMBER_TABLE, partition: MEMBER_PARTITION, key }
    const conditions = [{ ...address, version }]
    await this.parts.store.write({ conditions, puts: [], removals: [address] })
  }

  private address() {
    const key = this.parts.self.instance
    return { table: MEMBER_TABLE, partition: MEMBER_PARTITION, key }
  }
}
