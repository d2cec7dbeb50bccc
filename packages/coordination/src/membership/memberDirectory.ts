/**
 * The instances of the gateway kind's fleet, as their rows in the store tell. Owns this instance's
 * own row and the times at which it saw the others change; relies on the mirror of the table for
 * the rows, and on the store to write its own.
 */

import type { RecordedInstance } from '@rackwalk/decisions'
import type { Clock, Milliseconds, RandomSource, Timer } from '@rackwalk/shared'
import type { ChangedRow, RowAddress, RowStore } from '@rackwalk/stores'
import type { StoreClock } from '../rows/storeClock.js'
import { MEMBER_PARTITION, MEMBER_TABLE, memberRowCodec } from './memberRow.js'
import type { MemberRow, MemberState } from './memberRow.js'

/** What a directory of members works with. */
export interface MemberDirectoryParts {
  readonly self: Omit<
    MemberRow,
    'state' | 'heartbeat' | 'requestsPerSecond' | 'renewalMilliseconds'
  >
  /** Requests a second that this instance takes at present. */
  readonly requestsPerSecond: () => number
  /** Whether callers are sent here; otherwise the row is renewed more rarely. */
  readonly isActive: () => boolean
  readonly store: RowStore
  readonly storeClock: StoreClock
  readonly clock: Clock
  readonly random: RandomSource
  /** Time between two heartbeats of a small fleet. */
  readonly heartbeatMilliseconds: Milliseconds
  /** An active instance whose row did not change for this long does not serve, in a small fleet. */
  readonly silenceMilliseconds: Milliseconds
  /** Writes a second that the partition of all rows takes. */
  readonly partitionWritesPerSecond: number
  /** An instance appeared, or began to drain. */
  readonly onStateChange: (instance: string, state: MemberState) => void
  /** The row of a life of an instance stands that did not stand before: this one's, or another's that was read. */
  readonly onRegistered?: (isSelf: boolean) => void
  /** A row that is no member's; it is left out, and what was known before stays. */
  readonly onMalformedRow: (row: RowAddress) => void
}

interface KnownMember {
  row: MemberRow
  version: number
  /** Contact time at which the row was last seen to change. */
  changedAt: Milliseconds
}

/** A longer gap between two reads says nothing about the others. */
const LONGEST_COUNTED_GAP_MILLISECONDS = 1_500
/** Part of what the partition takes that heartbeats may use; with more instances they slow down. */
const HEARTBEAT_SHARE = 0.4
/** How many times more rarely the row of an instance that stands by is renewed. */
const STANDBY_FACTOR = 3
/** Rows of instances that have not been renewed for this many silences are removed. */
const REMOVE_AFTER_SILENCES = 20

/**
 * The others know of an instance this long after its row was there: rows are read every second and a half at the
 * latest while the store answers, and one such read may be missed.
 */
const VISIBILITY_DELAY_MILLISECONDS = 3_000
/** A stray request, as a check of the configuration sends, does not make an instance one to which callers come. */
const WORKING_REQUESTS_PER_SECOND = 1

/**
 * An instance waits this long for the rows before it takes itself for the only one: a store or a peer
 * that answers gives them in a tenth of it.
 */
const FIRST_READ_TIMEOUT_MILLISECONDS = 1_500

/** The members of the fleet, on one instance. */
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
   * Time during which this instance read the rows without a gap. Silence is counted in it: an
   * instance that was cut off itself must not take everybody else for gone when it is back.
   */
  private observedTime: Milliseconds = 0
  private lastReadAt: Milliseconds | undefined
  /** Monotonic time from which the others know of this instance; undefined while its row was not seen. */
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

  /** Tells the others that this instance takes no new callers. */
  async drain(): Promise<void> {
    this.draining = true
    await this.write()
  }

  /** Removes the own row. */
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

  /** Called after each read of the table that succeeded. */
  noteRead(): void {
    const now = this.parts.clock.monotonic()
    const gap = now - (this.lastReadAt ?? now)
    this.observedTime += Math.min(gap, LONGEST_COUNTED_GAP_MILLISECONDS)
    this.lastReadAt = now
  }

  /**
   * Whether it is known who else is there: all rows were told once, or nobody told them for a while. Callers who
   * ask before that are told nothing: each of a fleet that starts as one would name itself.
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
   * All instances that are recorded, whether or not they are heard, this one included; undefined while the others
   * may not know of this one yet.
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

  /** Whether there is a row of this life of an instance, whatever its state. */
  hasIncarnation(instance: string, incarnation: string): boolean {
    return this.members.get(instance)?.row.incarnation === incarnation
  }

  /** What this instance tells the others. */
  get self(): MemberRow {
    const state: MemberState = this.draining ? 'draining' : 'serving'
    const requestsPerSecond = Math.round(this.parts.requestsPerSecond() * 10) / 10
    const { heartbeat, renewalMilliseconds } = this
    return { ...this.parts.self, requestsPerSecond, state, heartbeat, renewalMilliseconds }
  }

  /** Other instances that serve, as far as this one can know. */
  get others(): readonly MemberRow[] {
    const { instance } = this.parts.self
    return [...this.members.values()]
      .filter(member => member.row.instance !== instance && this.isServing(member))
      .map(member => member.row)
  }

  /** How many times slower than in a small fleet heartbeats are, so that the store bears them. */
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
    // A row that was there before this instance read anything is known to all: it is an earlier life's.
    const isOlder = !this.loaded
    this.recordedSince = isOlder ? Number.NEGATIVE_INFINITY : this.parts.clock.monotonic()
  }

  private isServing(member: KnownMember): boolean {
    if (member.row.state !== 'serving') return false
    return this.observedTime - member.changedAt < this.silenceTimeoutOf(member)
  }

  /** After this time without a change a member counts as gone. */
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

  /** One instance in turn removes rows that nobody renews, so that they do not pile up. */
  private async removeStaleRow(): Promise<void> {
    const abandoned = [...this.members].find(
      ([, member]) =>
        this.observedTime - member.changedAt >
        REMOVE_AFTER_SILENCES * this.silenceTimeoutOf(member),
    )
    if (abandoned === undefined) return
    const [key, { version }] = abandoned
    const address = { table: MEMBER_TABLE, partition: MEMBER_PARTITION, key }
    const conditions = [{ ...address, version }]
    await this.parts.store.write({ conditions, puts: [], removals: [address] })
  }

  private address() {
    const key = this.parts.self.instance
    return { table: MEMBER_TABLE, partition: MEMBER_PARTITION, key }
  }
}
