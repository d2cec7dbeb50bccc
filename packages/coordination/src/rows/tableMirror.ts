/**
 * A copy of one table of the row store, kept up to date by the store's feed, or by peers while the store
 * does not answer. Owns the position in the feed and the rows seen; tells its listener of changes.
 */

import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import type { ChangedRow, ChangeFeedOutcome, RowStore } from '@rackwalk/stores'

/** What a mirror tells its owner. */
export interface MirrorListener {
  /**
   * Rows as they now are. With `isWhole` these are all rows of the partitions read: what is
   * not among them is not there.
   */
  onRows(rows: readonly ChangedRow[], isWhole: boolean): void
  /** The table was read without a failure, whether or not anything had changed. */
  onRead?(): void
  /** The listener itself failed on rows; the mirror goes on with the next ones. */
  onFault?(error: unknown): void
  /** The store began or ceased to answer this mirror. */
  onReachabilityChange?(isReachable: boolean): void
}

/** Rows that one mirror gives another. */
export interface MirrorPage {
  readonly rows: readonly ChangedRow[]
  /** Whether these are all rows, or those that changed after the version asked for. */
  readonly isWhole: boolean
  /** Everything up to this version is covered. */
  readonly version: number
  /** How old what it covers may be, when it was given; undefined where the giver does not say. */
  readonly age?: Milliseconds
}

/** Asks a peer for the rows of a table that are newer than a version; waits the usual time unless one is named. */
type AskPeer = (
  table: string,
  after: number,
  patienceMilliseconds?: Milliseconds,
) => Promise<MirrorPage | undefined>

/**
 * A peer that follows the table at the store and is asked before it. Hundreds of instances that read each
 * change themselves cost the store bytes that grow with the square of their number.
 */
export interface UpstreamPeer {
  /** Whether it is asked at present. */
  readonly isPreferred: () => boolean
  readonly ask: AskPeer
  /** What it tells counts only where it is no older than this. */
  readonly maximumAgeMilliseconds: Milliseconds
}

/** What a mirror works with. */
export interface TableMirrorParts {
  readonly store: RowStore
  readonly table: string
  /** Partitions to read whole at the start and after history was lost. */
  readonly partitions: () => readonly string[]
  readonly clock: Clock
  readonly listener: MirrorListener
  /** Asked for newer rows while the store does not answer. */
  readonly askPeers?: AskPeer
  /** Absent where the store alone is asked. */
  readonly upstreamPeer?: UpstreamPeer
  /** How long one call may wait for a change at the store. */
  readonly waitMilliseconds: Milliseconds
  /** Least time between two calls; bounds the calls on a table that changes all the time. */
  readonly pauseMilliseconds: () => Milliseconds
  /**
   * Whether the changes are wanted at present; always where absent. A mirror that was not wanted for a
   * while reads the table whole when it is again: that is less than all the changes in between.
   */
  readonly isWanted?: () => boolean
}

const FIRST_RETRY_MILLISECONDS = 100
const LONGEST_RETRY_MILLISECONDS = 800
/** A near peer that did not tell anything new enough is not asked again for this long. */
const UPSTREAM_BACKOFF_MILLISECONDS = 2_000
/** Time between two looks whether changes are wanted again: no call is made. */
const UNWANTED_POLL_MILLISECONDS = 200

/** Follows a table: one whole read, then changes; again whole when the store forgot some. */
export class TableMirror {
  private position: number | undefined
  private stopped = false
  private failures = 0
  private reachable: boolean | undefined
  /** How long the store found nothing new in the last call, after that was sent. */
  private quietMilliseconds: Milliseconds = 0
  /** Time, suspensions included, at which the store had nothing newer than what is known here. */
  private confirmedAt: Milliseconds = Number.NEGATIVE_INFINITY
  private readPartitions = new Set<string>()
  /** Partitions that were read whole at least once. */
  private readonly everRead = new Set<string>()
  /** Rows and removals by partition and key, for peers that cannot reach the store. */
  private readonly rows = new Map<string, ChangedRow>()
  /** Changes after this version are all among `rows`. */
  private completeAfter = 0
  /** Ends the pause between two calls; undefined during a call, and while the store does not answer. */
  private endPause: (() => void) | undefined
  /** The table is read again at once after the call on its way: that may have missed what is wanted. */
  private isReadRequested = false
  /** Until then the near peer is left alone. */
  private upstreamBackoffUntil: Milliseconds = Number.NEGATIVE_INFINITY

  constructor(private readonly parts: TableMirrorParts) {}

  start(): void {
    void this.follow()
  }

  stop(): void {
    this.stopped = true
  }

  /** How old what is known here may be. */
  get age(): Milliseconds {
    return this.parts.clock.sinceStart() - this.confirmedAt
  }

  /** Reads the table now and not after the pause; while the store does not answer it is asked as before. */
  requestRead(): void {
    this.isReadRequested = true
    this.endPause?.()
  }

  get isLoaded(): boolean {
    return this.position !== undefined
  }

  /** What a peer that knows everything up to `after` lacks; undefined where nothing is known. */
  since(after: number): MirrorPage | undefined {
    if (this.position === undefined) return undefined
    const isWhole = after < this.completeAfter
    const rows = [...this.rows.values()]
      .filter(row => (isWhole ? row.value !== undefined : row.version > after))
      .sort((left, right) => left.version - right.version)
    return { rows, isWhole, version: this.position, age: this.age }
  }

  /**
   * Asks a peer for what it knows beyond this mirror, also while a call to the store is on its way;
   * whether one answered.
   */
  async askPeers(patienceMilliseconds?: Milliseconds): Promise<boolean> {
    const { table, clock, askPeers } = this.parts
    const sentAt = clock.sinceStart()
    const page = await askPeers?.(table, this.position ?? 0, patienceMilliseconds)
    if (page === undefined || this.stopped) return false
    this.applyPage(page)
    this.noteConfirmed(page, sentAt)
    return true
  }

  /** A peer's sight counts where it covers all that is known here. */
  private noteConfirmed({ version, age }: MirrorPage, sentAt: Milliseconds): void {
    if (age === undefined || version < (this.position ?? 0)) return
    this.confirmedAt = Math.max(this.confirmedAt, sentAt - age)
  }

  private async follow(): Promise<void> {
    while (!this.stopped) {
      if (this.isUnwanted) {
        this.forgetPosition()
        await sleep(this.parts.clock, UNWANTED_POLL_MILLISECONDS)
        continue
      }
      this.isReadRequested = false
      if (await this.readFromUpstream()) {
        await this.pause()
        continue
      }
      const sentAt = this.parts.clock.sinceStart()
      const succeeded = await this.step()
      if (this.stopped) return
      this.noteReachable(succeeded)
      if (!succeeded) await this.askPeers()
      if (succeeded) {
        this.confirmedAt = Math.max(this.confirmedAt, sentAt + this.quietMilliseconds)
        this.parts.listener.onRead?.()
      }
      if (succeeded) await this.pause()
      else await sleep(this.parts.clock, this.retryDelay())
    }
  }

  private async pause(): Promise<void> {
    if (this.isReadRequested) return
    const { clock, pauseMilliseconds } = this.parts
    await new Promise<void>(resolve => {
      const timer = clock.after(pauseMilliseconds(), resolve)
      this.endPause = () => {
        timer.cancel()
        resolve()
      }
    })
    this.endPause = undefined
  }

  /** Each partition is read once in any case: it shows what an earlier incarnation left behind. */
  private get isUnwanted(): boolean {
    if (this.parts.isWanted?.() !== false) return false
    const partitions = this.parts.partitions()
    return partitions.length > 0 && partitions.every(name => this.everRead.has(name))
  }

  private forgetPosition(): void {
    this.position = undefined
    this.readPartitions = new Set()
  }

  private async step(): Promise<boolean> {
    const missing = this.parts.partitions().filter(name => !this.readPartitions.has(name))
    this.quietMilliseconds = 0
    if (this.position === undefined || missing.length > 0) return this.readWhole(missing)
    const { store, table, waitMilliseconds } = this.parts
    const sentAt = this.parts.clock.sinceStart()
    const outcome = await store.readChanges(table, this.position, waitMilliseconds)
    return this.apply(outcome, this.parts.clock.sinceStart() - sentAt)
  }

  /** Takes in what the store answered after so long. */
  private apply(outcome: ChangeFeedOutcome, took: Milliseconds): boolean {
    const { waitMilliseconds } = this.parts
    if (outcome.kind === 'failed') return false
    if (outcome.kind === 'history-gone') {
      this.forgetPosition()
      return true
    }
    // The store answers before the wait has passed only where something changed.
    if (outcome.rows.length === 0) this.quietMilliseconds = Math.min(waitMilliseconds, took)
    this.position = outcome.version
    this.applyRows(outcome.rows, false)
    return true
  }

  /** Takes what a near peer has read of the store lately; false where the store is to be asked. */
  private async readFromUpstream(): Promise<boolean> {
    const sentAt = this.parts.clock.sinceStart()
    const page = await this.queryUpstream()
    if (page?.age === undefined) return false
    if (this.stopped) return true
    this.applyPage(page)
    this.noteReachable(true)
    this.noteConfirmed(page, sentAt)
    this.parts.listener.onRead?.()
    return true
  }

  /** What a near peer tells, where it is asked and its sight of the store is new enough. */
  private async queryUpstream(): Promise<MirrorPage | undefined> {
    const { upstreamPeer, clock, table } = this.parts
    if (upstreamPeer === undefined || this.position === undefined) return undefined
    if (!upstreamPeer.isPreferred() || clock.sinceStart() < this.upstreamBackoffUntil)
      return undefined
    const page = await upstreamPeer.ask(table, this.position)
    if (page?.age !== undefined && page.age <= upstreamPeer.maximumAgeMilliseconds) return page
    this.upstreamBackoffUntil = clock.sinceStart() + UPSTREAM_BACKOFF_MILLISECONDS
    return undefined
  }

  private applyPage(page: MirrorPage): void {
    if (page.version <= (this.position ?? -1)) return
    if (page.isWhole || this.position === undefined) this.completeAfter = page.version
    this.position = page.version
    for (const partition of this.parts.partitions()) this.readPartitions.add(partition)
    this.applyRows(page.rows, page.isWhole)
  }

  private applyRows(rows: readonly ChangedRow[], isWhole: boolean): void {
    for (const row of rows) this.rows.set(`${row.partition}/${row.key}`, row)
    if (rows.length === 0 && !isWhole) return
    try {
      this.parts.listener.onRows(rows, isWhole)
    } catch (error) {
      this.parts.listener.onFault?.(error)
    }
  }

  /** Reads partitions whole; the feed continues at the oldest of their versions. */
  private async readWhole(partitions: readonly string[]): Promise<boolean> {
    const outcomes = await Promise.all(
      partitions.map(name => this.parts.store.readPartition(this.parts.table, name)),
    )
    const versions: number[] = this.position === undefined ? [] : [this.position]
    for (const [index, outcome] of outcomes.entries()) {
      if (outcome.kind === 'failed') return false
      this.readPartitions.add(partitions[index] ?? '')
      this.everRead.add(partitions[index] ?? '')
      versions.push(outcome.version)
      this.completeAfter = Math.max(this.completeAfter, outcome.version)
      this.applyRows(outcome.rows, true)
    }
    if (versions.length > 0) this.position = Math.min(...versions)
    return true
  }

  private noteReachable(isReachable: boolean): void {
    this.failures = isReachable ? 0 : this.failures + 1
    if (this.reachable === isReachable) return
    this.reachable = isReachable
    this.parts.listener.onReachabilityChange?.(isReachable)
  }

  private retryDelay(): Milliseconds {
    const delay = FIRST_RETRY_MILLISECONDS * 2 ** Math.min(this.failures, 10)
    return Math.min(LONGEST_RETRY_MILLISECONDS, delay)
  }
}
