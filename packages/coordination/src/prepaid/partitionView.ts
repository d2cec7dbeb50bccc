/**
 * The rows of one budget as last seen, whether by a read, the feed or a refused write. Owns the newest
 * sight of each row; an older one never replaces a newer.
 */

import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import { POOL_KEY, holderKey, holderRowCodec, instanceOfKey, poolRowCodec } from './prepaidRows.js'
import type { HolderRow, PoolRow } from './prepaidRows.js'

/** A row as it came from a read, a feed or a refused transaction. */
export interface RowUpdate {
  readonly key: string
  /** Undefined where the row was removed. */
  readonly value: string | undefined
  readonly version: number
}

/** A row that is there; it is decoded once, since every decision looks at all of them. */
interface KnownRow<Row> {
  /** Undefined where the row was removed. */
  readonly row: Row | undefined
  readonly version: number
}

const ABSENT = { row: undefined, version: 0 }

/** The rows of one budget's partition as last seen; an older sight never replaces a newer. */
export class PartitionView {
  private knownPool: KnownRow<PoolRow> = ABSENT
  /** By instance. */
  private readonly holders = new Map<string, KnownRow<HolderRow>>()
  private loaded = false

  constructor(
    private readonly instance: string,
    /** Told the key of a row that is not of its form; what was known before stays. */
    private readonly onMalformed: (key: string) => void,
  ) {}

  get isLoaded(): boolean {
    return this.loaded
  }

  get pool(): PoolRow | undefined {
    return this.knownPool.row
  }

  get ownHolder(): HolderRow | undefined {
    return this.holders.get(this.instance)?.row
  }

  /** Versions for conditions: 0 where a row must not be there. */
  get poolVersion(): number {
    return conditionVersion(this.knownPool)
  }

  get ownVersion(): number {
    return conditionVersion(this.holders.get(this.instance) ?? ABSENT)
  }

  /** True where any row was of its form, or all that there are were told. */
  apply(updates: readonly RowUpdate[], isWhole: boolean): boolean {
    const taken = updates.filter(update => this.set(update))
    if (!isWhole) return taken.length > 0
    this.loaded = true
    this.forgetAbsent(updates)
    return taken.length > 0 || updates.length === 0
  }

  /** A transaction of this instance was done. */
  applyWrite(
    written: { readonly pool: PoolRow; readonly holder: HolderRow; readonly changesPool: boolean },
    version: number,
  ): void {
    this.setHolder(this.instance, { row: written.holder, version })
    if (written.changesPool) this.setPool({ row: written.pool, version })
  }

  /** The rows of a refused transaction's conditions; a row not among them is not there. */
  applyConflict(updates: readonly RowUpdate[], includesPool: boolean): void {
    const keys = [holderKey(this.instance), ...(includesPool ? [POOL_KEY] : [])]
    for (const key of keys) {
      const update = updates.find(candidate => candidate.key === key)
      if (update !== undefined) this.set(update)
      else if (key === POOL_KEY) this.knownPool = ABSENT
      else this.holders.delete(this.instance)
    }
  }

  /** What the given instances hold; those without a row count with zeros. */
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

  /** Tokens a second that callers of all holders ask for, as their rows tell. */
  get totalDemandPerSecond(): number {
    let demand = 0
    for (const { row } of this.holders.values()) demand += row?.demandPerSecond ?? 0
    return demand
  }

  /**
   * Other holders whose callers ask for tokens, by rows written at or after `since` (time of the
   * store). Membership learns seconds later that callers come to an instance that stands by.
   */
  requestersSince(since: Milliseconds): readonly string[] {
    const askers: string[] = []
    for (const [instance, { row }] of this.holders) {
      if (instance === this.instance || row === undefined) continue
      if (row.demandPerSecond > 0 && row.base >= since) askers.push(instance)
    }
    return askers
  }

  /**
   * Other instances that hold unspent tokens, the most first. Whether they take callers does not matter:
   * what an instance held that has begun to stand by is back in the pool only with its next record.
   */
  get lenders(): readonly string[] {
    return [...this.holders]
      .map(([instance, { row }]) => ({ instance, unspent: row === undefined ? 0 : unspentOf(row) }))
      .filter(({ instance, unspent }) => instance !== this.instance && unspent > 0)
      .sort((left, right) => right.unspent - left.unspent)
      .map(({ instance }) => instance)
  }

  /** Tokens that other holders lack for requests at hand. */
  wantedByOthers(instance: string): TokenCount {
    let wanted = 0
    for (const [holder, { row }] of this.holders) {
      if (holder !== instance && row !== undefined) wanted += row.wanted
    }
    return wanted
  }

  /** After a whole read: what is not among its rows, and is not newer, is not there. */
  private forgetAbsent(updates: readonly RowUpdate[]): void {
    const present = new Set(updates.map(update => update.key))
    const newest = Math.max(0, ...updates.map(update => update.version))
    if (!present.has(POOL_KEY) && this.knownPool.version <= newest) this.knownPool = ABSENT
    for (const [instance, { version }] of this.holders) {
      if (!present.has(holderKey(instance)) && version <= newest) this.holders.delete(instance)
    }
  }

  /** False where the row is not of its form. */
  private set({ key, value, version }: RowUpdate): boolean {
    if (key === POOL_KEY) {
      const row = value === undefined ? undefined : poolRowCodec.decode(value)
      if (value !== undefined && row === undefined) return this.refuse(key)
      this.setPool({ row, version })
      return true
    }
    const instance = instanceOfKey(key)
    if (instance === undefined) return false
    const row = value === undefined ? undefined : holderRowCodec.decode(value)
    if (value !== undefined && row === undefined) return this.refuse(key)
    this.setHolder(instance, { row, version })
    return true
  }

  private refuse(key: string): false {
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

function conditionVersion({ row, version }: KnownRow<unknown>): number {
  return row === undefined ? 0 : version
}
