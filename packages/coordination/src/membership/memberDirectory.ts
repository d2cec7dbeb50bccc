/**
 * Directory of the instances of a gateway fleet, based on their rows in the store. Owns this
 * instance's row and the times at which the other rows were seen to change. Relies on the mirror of
 * the table for reading the rows, and on the store for writing its own.
 */

import type { RecordedInstance } from '@rackwalk/decisions'
import type { Clock, Milliseconds, RandomSource, Timer } from '@rackwalk/shared'
import type { ChangedRow, RowAddress, RowStore } from '@rackwalk/stores'
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
  /** Whether callers are sent here; if not, the row is renewed less often. */
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
  /** Called when an instance appears or starts to drain. */
  readonly onStateChange: (instance: string, state: MemberState) => void
  /**
   * Called when the row of a new incarnation was seen for the first time: this instance's own, once
   * written, or another instance's, once read.
   */
  readonly onRegistered?: (isSelf: boolean) => void
  /** Called for a malformed row; the row is ignored and the last valid version is kept. */
  readonly onMalformedRow: (row: RowAddress) => void
}

interface KnownMember {
  row: MemberRow
  version: number
  /** Observed time at which the row was last seen to change. */
  changedAt: Milliseconds
}

/**
 * A gap between two reads counts as at most this long, since a longer one gives no evidence about
 * other instances.
 */
const LONGEST_COUNTED_GAP_MILLISECONDS = 1_500
/**
 * Share of the partition's write rate that heartbeats may use; in larger fleets, heartbeats slow
 * down.
 */
const HEARTBEAT_SHARE = 0.4
/** Factor by which a standby instance renews its row less often. */
const STANDBY_FACTOR = 3
/** Rows that were not renewed for this many silence timeouts are removed. */
const REMOVE_AFTER_SILENCES = 20

/**
 * Delay after which other instances know this one, counted from when its row was seen. While the
 * store answers, rows are read at least every 1.5 seconds, and one such read may fail.
 */
const VISIBILITY_DELAY_MILLISECONDS = 3_000
/**
 * Rate below which an instance does not count as working, so that single requests, such as a
 * configuration check, do not make it one that receives callers.
 */
const WORKING_REQUESTS_PER_SECOND = 1

/**
 * Time that an instance waits for the rows before it assumes that it is the only one; a store or
 * peer that answers delivers them in a tenth of this time.
 */
const FIRST_READ_TIMEOUT_MILLISECONDS = 1_500

/** The members of the fleet, as seen by one instance. */
export class MemberDirectory {
  private readonly members = new Map<string, KnownMember>()
  private heartbeat = 0
  private renewalMilliseconds: Milliseconds
  private draining = false
  private loaded = false
  private startedAt: Milliseconds | undefined
  private timer: Timer | undefined
  private wasWritten = false
  /**
   * Total time during which this instance read the rows without a gap. Silence is measured in it:
   * an instance that was disconnected itself must not treat all others as terminated when it
   * reconnects.
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

  /** Removes this instance's row. */
  async leave(): Promise<void> {
    this.stop()
    await this.parts.store.write({ conditions: [], puts: [], removals: [this.address()] })
  }

  observe(rows: readonly ChangedRow[], isWhole: boolean): void {
    for (const row of rows) this.observeRow(row)
    this.noteOwnRow(rows)
    if (!isWhole) return
    this.loaded = true
    const present = new Set(rows.map(row => row.key))
    for (const key of this.members.keys()) if (!present.has(key)) this.members.delete(key)
  }

  /** Records a successful read of the table. */
  noteRead(): void {
    const now = this.parts.clock.monotonic()
    const gap = now - (this.lastReadAt ?? now)
    this.observedTime += Math.min(gap, LONGEST_COUNTED_GAP_MILLISECONDS)
    this.lastReadAt = now
  }

  /**
   * Whether the other instances are known: all rows were received once, or none arrived within the
   * timeout. Callers that ask earlier get no addresses: in a fleet whose instances all start at
   * once, each would name only itself.
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

  /**
   * Factor by which heartbeats are slower than in a small fleet, to stay within the store's write
   * rate.
   */
  private get heartbeatSlowdown(): number {
    const { heartbeatMilliseconds, partitionWritesPerSecond } = this.parts
    const perSecond = (this.members.size * 1000) / heartbeatMilliseconds
    return Math.max(1, perSecond / (HEARTBEAT_SHARE * partitionWritesPerSecond))
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
    if (parsed === undefined) return this.parts.onMalformedRow(row)
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
    // A row that existed before this instance's first read is an earlier incarnation's, so all
    // instances know it.
    const isOlder = !this.loaded
    this.recordedSince = isOlder ? Number.NEGATIVE_INFINITY : this.parts.clock.monotonic()
  }

  private isServing(member: KnownMember): boolean {
    if (member.row.state !== 'serving') return false
    return this.observedTime - member.changedAt < this.silenceTimeoutOf(member)
  }

  /** A member whose row has not changed for this long counts as terminated. */
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
    const puts = [{ ...this.address(), value }]
    const outcome = await store.write({ conditions: [], puts, removals: [] })
    if (outcome.kind !== 'done') return
    storeClock.recordAnswer(outcome.storeTime, sentAt)
    if (this.wasWritten) return
    this.wasWritten = true
    this.parts.onRegistered?.(true)
  }

  /** Removes one row that is no longer renewed, so that such rows do not accumulate. */
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
