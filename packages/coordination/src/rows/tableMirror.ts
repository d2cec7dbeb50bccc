/**
 * A copy of one table of the row store, kept up to date from the store's change feed. A preferred
 * upstream peer is read instead of the store while it provides recent rows, and other peers are
 * asked while the store does not answer. Without such a peer, an instance that cannot reach the
 * store would work with rows that grow ever staler. Owns the position in the feed (the version up
 * to which changes are known) and the rows received; notifies its listener of changes.
 */

import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import type { ChangedRow, ChangeFeedOutcome, RowStore } from '@rackwalk/stores'

/** Receives the notifications of a mirror. */
export interface MirrorListener {
  /**
   * Called with rows that were read; a removed row has no value. With `isWhole`, these are all rows
   * of the partitions read, so that a row that is missing from them does not exist.
   */
  onRows(rows: readonly ChangedRow[], isWhole: boolean): void
  /**
   * Called after each successful read, from the store or the upstream peer, with or without
   * changes.
   */
  onRead?(): void
  /**
   * Called when this listener or a read has thrown; the mirror continues. Rows with which `onRows`
   * has thrown are given to it again one by one, and those that it still rejects are left out.
   */
  onFault?(error: unknown): void
  /**
   * Called when the store, or the upstream peer in its place, starts or stops answering this
   * mirror, and after the first call.
   */
  onReachabilityChange?(isReachable: boolean): void
}

/** Rows that one mirror sends to another. */
export interface MirrorPage {
  readonly rows: readonly ChangedRow[]
  /** Whether the page contains all rows, or only those that changed after the requested version. */
  readonly isWhole: boolean
  /** The page covers all changes up to this version. */
  readonly version: number
  /** Staleness of the page when it was sent; undefined if the sender does not report it. */
  readonly age?: Milliseconds
}

/**
 * Asks a peer for the rows of a table that are newer than a version; uses the default timeout
 * unless one is given.
 */
type AskPeer = (
  table: string,
  after: number,
  patienceMilliseconds?: Milliseconds,
) => Promise<MirrorPage | undefined>

/**
 * A peer that follows the table at the store and is asked before the store. If hundreds of
 * instances each read every change themselves, the number of bytes read from the store grows with
 * the square of their number.
 */
export interface UpstreamPeer {
  /** Whether the peer should be asked at present. */
  readonly isPreferred: () => boolean
  readonly ask: AskPeer
  /** Pages that are staler than this when sent are ignored. */
  readonly maximumAgeMilliseconds: Milliseconds
}

/** Dependencies of a `TableMirror`. */
export interface TableMirrorParts {
  readonly store: RowStore
  readonly table: string
  /** Partitions to read completely at the start and after the store dropped part of its history. */
  readonly partitions: () => readonly string[]
  readonly clock: Clock
  readonly listener: MirrorListener
  /** Asks other peers for newer rows, after a call to the store failed. */
  readonly askPeers?: AskPeer
  /** Asked before the store if present. */
  readonly upstreamPeer?: UpstreamPeer
  /** Maximum time that one call may wait for a change at the store. */
  readonly waitMilliseconds: Milliseconds
  /** Minimum time between two calls; limits the calls for a table that changes constantly. */
  readonly pauseMilliseconds: () => Milliseconds
  /**
   * Whether changes are needed at present; if omitted, they always are. A mirror whose changes were
   * not needed for a while reads the whole table when they are needed again: that is less data than
   * all the changes in between.
   */
  readonly isWanted?: () => boolean
}

/**
 * The delay after the n-th consecutive failure is 2^n times this, but at most
 * `LONGEST_RETRY_MILLISECONDS`.
 */
const RETRY_BASE_MILLISECONDS = 100
const LONGEST_RETRY_MILLISECONDS = 800
/** An upstream peer that provided no recent enough page is not asked again for this long. */
const UPSTREAM_BACKOFF_MILLISECONDS = 2_000
/** Time between two checks whether changes are needed again; such a check makes no call. */
const UNWANTED_POLL_MILLISECONDS = 200

/**
 * Follows a table: reads it completely once, then reads changes; reads it completely again when the
 * store dropped changes.
 */
export class TableMirror {
  /** Version up to which changes are known; undefined before a read of the whole table. */
  private position: number | undefined
  private stopped = false
  /** Number of consecutive failed calls to the store. */
  private failures = 0
  private reachable: boolean | undefined
  /** Time after the last call was sent for which its answer proves that nothing changed. */
  private quietMilliseconds: Milliseconds = 0
  /**
   * Newest time at which the store had nothing newer than this mirror, on the clock that includes
   * suspensions of the machine.
   */
  private confirmedAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** Partitions of which all rows are known since the position was last forgotten. */
  private readPartitions = new Set<string>()
  /** Partitions that were read completely at least once. */
  private readonly everRead = new Set<string>()
  /** Rows and removals by partition and key, for peers that ask this mirror. */
  private readonly rows = new Map<string, ChangedRow>()
  /** All changes after this version are contained in `rows`. */
  private completeAfter = 0
  /**
   * Ends the pause between two calls; undefined during a call, and while the store does not answer.
   */
  private endPause: (() => void) | undefined
  /**
   * Whether the next read follows the call in flight without a pause, since that call may miss the
   * change for which the read was requested.
   */
  private isReadRequested = false
  /** The upstream peer is not asked before this time. */
  private upstreamBackoffUntil: Milliseconds = Number.NEGATIVE_INFINITY

  constructor(private readonly parts: TableMirrorParts) {}

  start(): void {
    void this.follow()
  }

  stop(): void {
    this.stopped = true
  }

  /** Maximum staleness of this mirror's rows. */
  get age(): Milliseconds {
    return this.parts.clock.sinceStart() - this.confirmedAt
  }

  /**
   * Reads the table immediately instead of after the pause; while the store does not answer,
   * retries continue unchanged.
   */
  requestRead(): void {
    this.isReadRequested = true
    this.endPause?.()
  }

  get isLoaded(): boolean {
    return this.position !== undefined
  }

  /**
   * Returns the rows that a peer with all changes up to `after` lacks; undefined if the table was
   * not read yet, or its position was forgotten.
   */
  since(after: number): MirrorPage | undefined {
    if (this.position === undefined) return undefined
    const isWhole = after < this.completeAfter
    const rows = [...this.rows.values()]
      .filter(row => (isWhole ? row.value !== undefined : row.version > after))
      .sort((left, right) => left.version - right.version)
    return { rows, isWhole, version: this.position, age: this.age }
  }

  /**
   * Asks peers for changes that this mirror lacks, even while a call to the store is in flight;
   * returns whether a peer provided a page.
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

  /**
   * Updates the staleness from a peer's page, but only if the page covers everything that this
   * mirror has.
   */
  private noteConfirmed({ version, age }: MirrorPage, sentAt: Milliseconds): void {
    if (age === undefined || version < (this.position ?? 0)) return
    this.confirmedAt = Math.max(this.confirmedAt, sentAt - age)
  }

  private async follow(): Promise<void> {
    while (!this.stopped) {
      try {
        await this.followOnce()
      } catch (error) {
        // Without this, the table would never be read again.
        this.failures += 1
        this.parts.listener.onFault?.(error)
        await sleep(this.parts.clock, this.retryDelay())
      }
    }
  }

  /** Reads once, from the upstream peer or the store, and waits until the next read is due. */
  private async followOnce(): Promise<void> {
    if (this.isUnwanted) {
      this.forgetPosition()
      return sleep(this.parts.clock, UNWANTED_POLL_MILLISECONDS)
    }
    this.isReadRequested = false
    if (await this.readFromUpstream()) return this.pause()
    const sentAt = this.parts.clock.sinceStart()
    const succeeded = await this.step()
    if (this.stopped) return
    this.noteReachable(succeeded)
    if (!succeeded) {
      await this.askPeers()
      return sleep(this.parts.clock, this.retryDelay())
    }
    this.confirmedAt = Math.max(this.confirmedAt, sentAt + this.quietMilliseconds)
    this.parts.listener.onRead?.()
    await this.pause()
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

  /**
   * Whether changes are not needed at present. Each partition is read once in any case, to find
   * rows that an earlier incarnation left behind.
   */
  private get isUnwanted(): boolean {
    if (this.parts.isWanted?.() !== false) return false
    const partitions = this.parts.partitions()
    return partitions.length > 0 && partitions.every(name => this.everRead.has(name))
  }

  private forgetPosition(): void {
    this.position = undefined
    this.readPartitions = new Set()
  }

  /**
   * Reads from the store: partitions that were not read yet, or else the next changes. Returns
   * false if a read failed.
   */
  private async step(): Promise<boolean> {
    const missing = this.parts.partitions().filter(name => !this.readPartitions.has(name))
    this.quietMilliseconds = 0
    if (this.position === undefined || missing.length > 0) return this.readWhole(missing)
    const { store, table, waitMilliseconds } = this.parts
    const sentAt = this.parts.clock.sinceStart()
    const outcome = await store.readChanges(table, this.position, waitMilliseconds)
    return this.apply(outcome, this.parts.clock.sinceStart() - sentAt)
  }

  /** Applies an answer of the change feed that arrived after `duration` milliseconds. */
  private apply(outcome: ChangeFeedOutcome, duration: Milliseconds): boolean {
    const { waitMilliseconds } = this.parts
    if (outcome.kind === 'failed') return false
    if (outcome.kind === 'history-gone') {
      this.forgetPosition()
      return true
    }
    if (outcome.version < (this.position ?? 0)) {
      // Versions never decrease, so the position was never one of the store.
      this.forgetPosition()
      return true
    }
    // The store answers before the wait has passed only if something changed.
    if (outcome.rows.length === 0) this.quietMilliseconds = Math.min(waitMilliseconds, duration)
    this.position = outcome.version
    this.applyRows(outcome.rows, false)
    return true
  }

  /** Applies the upstream peer's recent rows; returns false if the store has to be asked. */
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

  /** Returns the upstream peer's page if the peer is to be asked and its page is recent enough. */
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
    const partitions = this.parts.partitions()
    for (const partition of partitions) this.readPartitions.add(partition)
    if (page.isWhole) this.forgetRows(partitions)
    this.applyRows(page.rows, page.isWhole)
  }

  /**
   * Forgets the rows of partitions that are about to be received completely. A row that was removed while the store
   * dropped its history is missing from them, and must not be sent to peers any more.
   */
  private forgetRows(partitions: readonly string[]): void {
    for (const [key, { partition }] of this.rows) {
      if (partitions.includes(partition)) this.rows.delete(key)
    }
  }

  private applyRows(rows: readonly ChangedRow[], isWhole: boolean): void {
    for (const row of rows) this.rows.set(`${row.partition}/${row.key}`, row)
    if (rows.length === 0 && !isWhole) return
    if (this.notifyRows(rows, isWhole) || rows.length === 1) return
    // One row must not keep the others of its page from the listener, since they are not read again.
    const applied = rows.filter(row => this.notifyRows([row], false))
    if (isWhole) this.notifyRows(applied, true)
  }

  /** Returns whether the listener has applied the rows; a fault of the listener is reported. */
  private notifyRows(rows: readonly ChangedRow[], isWhole: boolean): boolean {
    try {
      this.parts.listener.onRows(rows, isWhole)
      return true
    } catch (error) {
      this.parts.listener.onFault?.(error)
      return false
    }
  }

  /**
   * Reads partitions completely; the feed continues at the oldest of their versions and the current
   * position.
   */
  private async readWhole(partitions: readonly string[]): Promise<boolean> {
    const outcomes = await Promise.all(
      partitions.map(name => this.parts.store.readPartition(this.parts.table, name)),
    )
    const versions: number[] = this.position === undefined ? [] : [this.position]
    for (const [index, outcome] of outcomes.entries()) {
      if (outcome.kind === 'failed') return false
      const partition = partitions[index] ?? ''
      this.readPartitions.add(partition)
      this.everRead.add(partition)
      versions.push(outcome.version)
      this.forgetRows([partition])
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
    const delay = RETRY_BASE_MILLISECONDS * 2 ** Math.min(this.failures, 10)
    return Math.min(LONGEST_RETRY_MILLISECONDS, delay)
  }
}
