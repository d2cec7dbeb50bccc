/**
 * The rows of one budget as last received from a read, from the change feed or with a rejected
 * write, or as written by this instance. Owns the newest version of each row; an older version
 * never replaces a newer one.
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import { POOL_KEY, holderKey, holderRowCodec, instanceOfKey, poolRowCodec } from './prepaidRows.js'
import type { HolderRow, PoolRow } from './prepaidRows.js'
import { handedOut, provenSpending } from './provenSpending.js'

/** A row as received from a read, a feed or a rejected transaction. */
export interface RowUpdate {
  readonly key: string
  /** Undefined if the row was removed. */
  readonly value: string | undefined
  readonly version: number
}

/** A row that was received. Its value is decoded once, since every decision reads all rows. */
interface KnownRow<Row> {
  /** Undefined if the row was removed. */
  readonly row: Row | undefined
  readonly version: number
  /** Whether the store has a malformed row at this version; `row` is then the last valid one, if any. */
  readonly isMalformed?: boolean
}

const ABSENT = { row: undefined, version: 0 }

/** The newest known rows of one budget's partition. */
export class PartitionView {
  private knownPool: KnownRow<PoolRow> = ABSENT
  /** Holder rows by instance. */
  private readonly holders = new Map<string, KnownRow<HolderRow>>()
  private loaded = false
  private poolMalformed = false

  constructor(
    private readonly instance: string,
    /** Called with the key of a malformed row; the last valid row is kept. */
    private readonly onMalformed: (key: string) => void,
  ) {}

  /** Whether the whole partition has been read. */
  get isLoaded(): boolean {
    return this.loaded
  }

  /**
   * Whether the newest pool row is malformed, so that each write that depends on the pool conflicts.
   * It is not replaced: it held what all instances have spent.
   */
  get isPoolMalformed(): boolean {
    return this.poolMalformed
  }

  get pool(): PoolRow | undefined {
    return this.knownPool.row
  }

  get ownHolder(): HolderRow | undefined {
    return this.holders.get(this.instance)?.row
  }

  /** Version of the pool row for write conditions; 0 if the row must not exist. */
  get poolVersion(): number {
    return conditionVersion(this.knownPool)
  }

  /** Version of this instance's row for write conditions; 0 if the row must not exist. */
  get ownVersion(): number {
    return conditionVersion(this.holders.get(this.instance) ?? ABSENT)
  }

  /**
   * Applies rows to the view; with `isWhole`, they are all rows of the partition. Returns whether
   * any row was valid or the whole partition is empty.
   */
  apply(updates: readonly RowUpdate[], isWhole: boolean): boolean {
    const taken = updates.filter(update => this.set(update))
    if (!isWhole) return taken.length > 0
    this.loaded = true
    this.forgetAbsent(updates)
    return taken.length > 0 || updates.length === 0
  }

  /** Applies a transaction of this instance that succeeded. */
  applyWrite(
    written: { readonly pool: PoolRow; readonly holder: HolderRow; readonly changesPool: boolean },
    version: number,
  ): void {
    this.setHolder(this.instance, { row: written.holder, version })
    if (written.changesPool) this.setPool({ row: written.pool, version })
  }

  /**
   * Applies the current rows that a rejected transaction's conditions refer to. A row of a
   * condition that is missing from `updates` does not exist.
   */
  applyConflict(updates: readonly RowUpdate[], includesPool: boolean): void {
    const keys = [holderKey(this.instance), ...(includesPool ? [POOL_KEY] : [])]
    for (const key of keys) {
      const update = updates.find(candidate => candidate.key === key)
      if (update !== undefined) this.set(update)
      else if (key === POOL_KEY) this.knownPool = ABSENT
      else this.holders.delete(this.instance)
    }
  }

  /** Returns what the given instances hold; instances without a row count as zeros. */
  othersOf(
    instances: readonly string[],
  ): readonly { unspent: TokenCount; demandPerSecond: number }[] {
    return instances.map(instance => {
      const row = this.holders.get(instance)?.row
      if (row === undefined) return { unspent: 0, demandPerSecond: 0 }
      return { unspent: unspentOf(row), demandPerSecond: row.demandPerSecond }
    })
  }

  /** Tokens that the given instances held unspent when their rows were last seen. */
  unspentOf(instances: readonly string[]): TokenCount {
    return this.othersOf(instances).reduce((sum, other) => sum + other.unspent, 0)
  }

  /** Tokens that all holders, past and present, have handed out for certain. */
  get provenSpent(): TokenCount {
    const rows = [...this.holders.values()].flatMap(({ row }) => row ?? [])
    return provenSpending(this.pool, rows)
  }

  /**
   * The same with what this instance's incarnation has handed out by now, which its row may not contain yet.
   */
  provenSpentBy(incarnation: string, handedOutHere: TokenCount): TokenCount {
    const own = this.ownHolder
    const unrecorded = own?.incarnation === incarnation ? handedOutHere - handedOut(own) : 0
    return this.provenSpent + Math.max(0, unrecorded)
  }

  /** Tokens per second that callers of all holders request, according to their rows. */
  get totalDemandPerSecond(): number {
    let demand = 0
    for (const { row } of this.holders.values()) demand += row?.demandPerSecond ?? 0
    return demand
  }

  /**
   * Returns other holders whose callers request tokens, judged by rows written at or after `since`
   * (store time). The rows are needed because membership shows only seconds later that a standby
   * instance receives callers.
   */
  requestersSince(since: Milliseconds): readonly string[] {
    const requesters: string[] = []
    for (const [instance, { row }] of this.holders) {
      if (instance === this.instance || row === undefined) continue
      if (row.demandPerSecond > 0 && row.base >= since) requesters.push(instance)
    }
    return requesters
  }

  /**
   * Other instances that hold unspent tokens, the largest holding first. Whether they receive
   * callers does not matter: the holding of an instance that has become standby returns to the pool
   * only with its next record.
   */
  get lenders(): readonly string[] {
    return [...this.holders]
      .map(([instance, { row }]) => ({ instance, unspent: row === undefined ? 0 : unspentOf(row) }))
      .filter(({ instance, unspent }) => instance !== this.instance && unspent > 0)
      .sort((left, right) => right.unspent - left.unspent)
      .map(({ instance }) => instance)
  }

  /** Sum of each other holder's largest waiting request, at its whole size (`HolderRow.wanted`). */
  wantedByOthers(instance: string): TokenCount {
    let wanted = 0
    for (const [holder, { row }] of this.holders) {
      if (holder !== instance && row !== undefined) wanted += row.wanted
    }
    return wanted
  }

  /**
   * After a read of the whole partition, drops rows that are neither part of the result nor newer
   * than it.
   */
  private forgetAbsent(updates: readonly RowUpdate[]): void {
    const present = new Set(updates.map(update => update.key))
    const newest = Math.max(0, ...updates.map(update => update.version))
    if (!present.has(POOL_KEY) && this.knownPool.version <= newest) this.knownPool = ABSENT
    for (const [instance, { version }] of this.holders) {
      if (!present.has(holderKey(instance)) && version <= newest) this.holders.delete(instance)
    }
  }

  /** Applies one row unless a newer version is known; false if the row or its key is malformed. */
  private set({ key, value, version }: RowUpdate): boolean {
    if (key === POOL_KEY) {
      const row = value === undefined ? undefined : poolRowCodec.decode(value)
      this.poolMalformed = value !== undefined && row === undefined
      if (this.poolMalformed) return this.rejectMalformed(key)
      this.setPool({ row, version })
      return true
    }
    const instance = instanceOfKey(key)
    if (instance === undefined) return false
    const row = value === undefined ? undefined : holderRowCodec.decode(value)
    if (value !== undefined && row === undefined) {
      if (instance === this.instance) this.noteOwnMalformed(version)
      return this.rejectMalformed(key)
    }
    this.setHolder(instance, { row, version })
    return true
  }

  /**
   * This instance's next write has to replace the malformed row: every other one would conflict with
   * it. What an unknown row granted stays allocated in the pool, so that it can't be spent twice.
   */
  private noteOwnMalformed(version: number): void {
    const row = this.ownHolder
    this.setHolder(this.instance, { row, version, isMalformed: true })
  }

  private rejectMalformed(key: string): false {
    this.onMalformed(key)
    return false
  }

  private setPool(known: KnownRow<PoolRow>): void {
    if (this.knownPool.version <= known.version) this.knownPool = known
  }

  private setHolder(instance: string, known: KnownRow<HolderRow>): void {
    const before = this.holders.get(instance)?.version ?? 0
    if (before <= known.version) this.holders.set(instance, known)
  }
}

function unspentOf({ granted, committed }: HolderRow): TokenCount {
  return Math.max(0, granted - committed)
}

function conditionVersion({ row, version, isMalformed = false }: KnownRow<unknown>): number {
  return row === undefined && !isMalformed ? 0 : version
}
