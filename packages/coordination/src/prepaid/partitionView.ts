import type { TokenCount } from '@rackwalk/shared'
import { POOL_KEY, decodeHolder, decodePool, holderKey, instanceOfKey } from './prepaidRows.js'
import type { HolderRow, PoolRow } from './prepaidRows.js'

/** A row as it came from a read, a feed or a refused transaction. */
export interface RowUpdate {
  readonly key: string
  /** Undefined where the row was removed. */
  readonly value: string | undefined
  readonly version: number
}

interface KnownRow {
  readonly value: string | undefined
  readonly version: number
}

/** The rows of one budget's partition as last seen; an older sight never replaces a newer. */
export class PartitionView {
  private readonly rows = new Map<string, KnownRow>()
  private loaded = false

  constructor(private readonly instance: string) {}

  get isLoaded(): boolean {
    return this.loaded
  }

  get pool(): PoolRow | undefined {
    const value = this.rows.get(POOL_KEY)?.value
    return value === undefined ? undefined : decodePool(value)
  }

  get ownHolder(): HolderRow | undefined {
    const value = this.rows.get(holderKey(this.instance))?.value
    return value === undefined ? undefined : decodeHolder(value)
  }

  /** Versions for conditions: 0 where a row must not be there. */
  get poolVersion(): number {
    return this.conditionVersion(POOL_KEY)
  }

  get ownVersion(): number {
    return this.conditionVersion(holderKey(this.instance))
  }

  apply(updates: readonly RowUpdate[], isWhole: boolean): void {
    for (const { key, value, version } of updates) this.set(key, value, version)
    if (!isWhole) return
    this.loaded = true
    const present = new Set(updates.map(update => update.key))
    const newest = Math.max(0, ...updates.map(update => update.version))
    for (const [key, known] of this.rows) {
      if (!present.has(key) && known.version <= newest) this.rows.delete(key)
    }
  }

  /** A transaction of this instance was done. */
  applyWrite(
    written: { readonly pool: PoolRow; readonly holder: HolderRow; readonly changesPool: boolean },
    version: number,
  ): void {
    this.set(holderKey(this.instance), JSON.stringify(written.holder), version)
    if (written.changesPool) this.set(POOL_KEY, JSON.stringify(written.pool), version)
  }

  /** The rows of a refused transaction's conditions; a row not among them is not there. */
  applyConflict(updates: readonly RowUpdate[], includesPool: boolean): void {
    const keys = [holderKey(this.instance), ...(includesPool ? [POOL_KEY] : [])]
    for (const key of keys) {
      const update = updates.find(candidate => candidate.key === key)
      if (update === undefined) this.rows.delete(key)
      else this.set(key, update.value, update.version)
    }
  }

  /** What the given instances hold; those without a row count with zeros. */
  othersOf(
    instances: readonly string[],
  ): readonly { unspent: TokenCount; demandPerSecond: number }[] {
    return instances.map(instance => {
      const value = this.rows.get(holderKey(instance))?.value
      if (value === undefined) return { unspent: 0, demandPerSecond: 0 }
      const { granted, committed, demandPerSecond } = decodeHolder(value)
      return { unspent: Math.max(0, granted - committed), demandPerSecond }
    })
  }

  /** Of the given instances those that hold unspent tokens, the most first. */
  lendersAmong(instances: readonly string[]): readonly string[] {
    const holdings = this.othersOf(instances).map(({ unspent }, index) => ({
      unspent,
      instance: instances[index] ?? '',
    }))
    return holdings
      .filter(({ unspent }) => unspent > 0)
      .sort((left, right) => right.unspent - left.unspent)
      .map(({ instance }) => instance)
  }

  /** Tokens that other holders lack for requests at hand. */
  wantedByOthers(instance: string): TokenCount {
    let wanted = 0
    for (const [key, { value }] of this.rows) {
      const holder = instanceOfKey(key)
      if (holder === undefined || holder === instance || value === undefined) continue
      wanted += decodeHolder(value).wanted
    }
    return wanted
  }

  private set(key: string, value: string | undefined, version: number): void {
    const known = this.rows.get(key)
    if (known !== undefined && known.version > version) return
    this.rows.set(key, { value, version })
  }

  private conditionVersion(key: string): number {
    const known = this.rows.get(key)
    return known?.value === undefined ? 0 : known.version
  }
}
