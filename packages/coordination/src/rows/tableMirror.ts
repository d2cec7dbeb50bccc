/**
 * A copy of one table of the row store, kept up to date from the store's change feed, or from peers
 * while the store does not answer. Owns the position in the feed and the rows seen; notifies its
 * listener of changes.
 */

import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'
import type { ChangedRow, ChangeFeedOutcome, RowStore } from '@rackwalk/stores'

/** Receives the notifications of a mirror. */
export interface MirrorListener {
  /**
   * Called with current rows. With `isWhole`, these are all rows of the partitions read: rows that
   * are missing from them do not exist.
   */
  onRows(rows: readonly ChangedRow[], isWhole: boolean): void
  /** Called when the table was read successfully, whether or not anything had changed. */
  onRead?(): void
  /**
   * Called when the listener threw while handling rows; the mirror continues with the next ones.
   */
  onFault?(error: unknown): void
  /** Called when the store starts or stops answering this mirror. */
  onReachabilityChange?(isReachable: boolean): void
}

/** Rows that one mirror sends to another. */
export interface MirrorPage {
  readonly rows: readonly ChangedRow[]
  /** Whether these are all rows, or only those that changed after the requested version. */
  readonly isWhole: boolean
  /** All changes up to this version are covered. */
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
  /** Pages that are staler than this are ignored. */
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
  /** Asks peers for newer rows while the store does not answer. */
  readonly askPeers?: AskPeer
  /** Omitted if only the store is asked. */
  readonly upstreamPeer?: UpstreamPeer
  /** Maximum time that one call may wait for a change at the store. */
  readonly waitMilliseconds: Milliseconds
  /** Minimum time between two calls; limits the calls for a table that changes constantly. */
  readonly pauseMilliseconds: () => Milliseconds
  /**
   * Whether changes are needed at present; if omitted, they always are. A mirror that was unused
   * for a while reads the whole table when it is needed again: that is less data than all the
   * changes in between.
   */
  readonly isWanted?: () => boolean
}

const FIRST_RETRY_MILLISECONDS = 100
const LONGEST_RETRY_MILLISECONDS = 800
/** A peer that did not provide a recent enough page is not asked again for this long. */
const UPSTREAM_BACKOFF_MILLISECONDS = 2_000
/** Time between two checks whether changes are needed again; such a check makes no call. */
const UNWANTED_POLL_MILLISECONDS = 200

/**
 * Follows a table: reads it completely once, then reads changes; reads it completely again when the
 * store dropped changes.
 */
export class TableMirror {
  private position: number | undefined
  private stopped = false
  private failures = 0
  private reachable: boolean | undefined
  /** Time for which the last call found nothing new at the store, counted from when it was sent. */
  private quietMilliseconds: Milliseconds = 0
  /**
   * Time on the clock that includes suspensions at which the store had nothing newer than this
   * mirror.
   */
  private confirmedAt: Milliseconds = Number.NEGATIVE_INFINITY
  private readPartitions = new Set<string>()
  /** Partitions that were read completely at least once. */
  private readonly everRead = new Set<string>()
  /** Rows and removals by partition and key, for peers that cannot reach the store. */
  private readonly rows = new Map<string, ChangedRow>()
  /** All changes after this version are contained in `rows`. */
  private completeAfter = 0
  /**
   * Ends the pause between two calls; undefined during a call, and while the store does not answer.
   */
  private endPause: (() => void) | undefined
  /**
   * Requests another read immediately after the call in flight, which may have missed the wanted
   * change.
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
   * Returns what a peer that has all changes up to `after` lacks; undefined if nothing has been
   * read yet.
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
   * Asks a peer for changes that this mirror lacks, even while a call to the store is in flight;
   * returns whether a peer answered.
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

  private async step(): Promise<boolean> {
    const missing = this.parts.partitions().filter(name => !this.readPartitions.has(name))
    this.quietMilliseconds = 0
    if (this.position === undefined || missing.length > 0) return this.readWhole(missing)
    const { store, table, waitMilliseconds } = this.parts
    const sentAt = this.parts.clock.sinceStart()
    const outcome = await store.readChanges(table, this.position, waitMilliseconds)
    return this.apply(outcome, this.parts.clock.sinceStart() - sentAt)
  }

  /** Applies an answer of the change feed that took `took` milliseconds. */
  private apply(outcome: ChangeFeedOutcome, took: Milliseconds): boolean {
    const { waitMilliseconds } = this.parts
    if (outcome.kind === 'failed') return false
    if (outcome.kind === 'history-gone') {
      this.forgetPosition()
      return true
    }
    // The store answers before the wait has passed only if something changed.
    if (outcome.rows.length === 0) this.quietMilliseconds = Math.min(waitMilliseconds, took)
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

  /** Reads partitions completely; the feed continues at the oldest of their versions. */
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
