/**
 * What this incarnation may still commit of one budget. Owns the tokens committed here and the rows of
 * this incarnation that are, or may come to be, in the store; relies on decisions/admitting/spendingBound.
 */

import type { Clock, Milliseconds, TokenCount, Version } from '@rackwalk/shared'
import { committedBound, timeUntilCommitted } from '@rackwalk/decisions'
import type { HolderRow } from './prepaidRows.js'

/** A holder row of this incarnation that is, or may come to be, in the store. */
interface SentRow {
  readonly row: HolderRow
  /** Tokens that the row counts as committed before anybody asked for them. */
  readonly ahead: TokenCount
  readonly sentAt: Milliseconds
  /** The version that the row must replace; with any other it can never take effect. */
  readonly expectedVersion: Version
}

/**
 * What this incarnation may still commit of one budget. While the outcome of a write is
 * unknown both the old and the new row may be in force, so the smaller of their bounds holds.
 */
export class HoldingState {
  private confirmed: SentRow | undefined
  private unresolved: SentRow[] = []
  private committedTokens: TokenCount = 0
  private reservedTokens: TokenCount = 0
  private sequence = 0

  constructor(private readonly clock: Clock) {}

  get isRegistered(): boolean {
    return this.confirmed !== undefined
  }

  /** Handed out or reserved by this incarnation. */
  get committed(): TokenCount {
    return this.committedTokens
  }

  /** Part of what is committed that requests and loans in progress reserve. */
  get reserved(): TokenCount {
    return this.reservedTokens
  }

  get granted(): TokenCount {
    const rows = this.possibleRows()
    return rows.length === 0 ? 0 : Math.min(...rows.map(({ row }) => row.granted))
  }

  /** Held tokens that are neither handed out nor reserved. */
  get unspent(): TokenCount {
    return Math.max(0, this.granted - this.committedTokens)
  }

  /** Tokens that may be committed now without a write. */
  get allowance(): TokenCount {
    const now = this.clock.monotonic()
    const rows = this.possibleRows()
    if (rows.length === 0) return 0
    const bounds = rows.map(({ row, sentAt }) => committedBound(row, now - sentAt))
    return Math.max(0, Math.min(...bounds) - this.committedTokens)
  }

  /** Time after which tokens may be committed without a write; undefined where never. */
  waitFor(tokens: TokenCount): Milliseconds | undefined {
    const rows = this.possibleRows()
    if (rows.length === 0 || tokens > this.unspent) return undefined
    const now = this.clock.monotonic()
    const waits = rows.map(({ row, sentAt }) => {
      const time = timeUntilCommitted(row, this.committedTokens + tokens)
      return time === undefined ? undefined : Math.max(0, time - (now - sentAt))
    })
    return waits.includes(undefined) ? undefined : Math.max(...waits.filter(isNumber))
  }

  /** Sequence of the row sent last; each row sent has its own, whatever became of it. */
  get lastSequence(): number {
    return this.sequence
  }

  get hasUnresolved(): boolean {
    return this.unresolved.length > 0
  }

  /** Time since the write of the newest confirmed row was sent. */
  get recordAge(): Milliseconds {
    const sentAt = this.confirmed?.sentAt
    return sentAt === undefined ? Number.POSITIVE_INFINITY : this.clock.monotonic() - sentAt
  }

  /** Tokens committed since the newest confirmed row. */
  get unrecorded(): TokenCount {
    const { row, ahead } = this.confirmed ?? NO_ROW
    return Math.abs(this.committedTokens - (row.committed - ahead))
  }

  /** Reserves tokens until `settle`. */
  commit(tokens: TokenCount): void {
    this.committedTokens += tokens
    this.reservedTokens += tokens
  }

  /** Ends a reservation, of which so many tokens were handed out; the rest is free again. */
  settle(reserved: TokenCount, spent: TokenCount): void {
    this.committedTokens -= reserved - spent
    this.reservedTokens -= reserved
  }

  /** A row is about to be sent; from now on its bounds hold as well. */
  recordSent(row: HolderRow, ahead: TokenCount, expectedVersion: Version): void {
    this.sequence = row.sequence
    this.unresolved.push({ row, ahead, sentAt: this.clock.monotonic(), expectedVersion })
  }

  /**
   * The store was seen to have the row of this sequence, as this version. Rows sent to replace
   * an earlier version are resolved by that; one sent since may still take effect.
   */
  confirmRow(sequence: number, version: Version): void {
    const taken = this.unresolved.find(({ row }) => row.sequence === sequence)
    if (taken !== undefined) this.confirmed = taken
    this.unresolved = this.unresolved.filter(({ expectedVersion }) => expectedVersion >= version)
  }

  /** The store did not take the row of this sequence and never will. */
  withdraw(sequence: number): void {
    this.unresolved = this.unresolved.filter(({ row }) => row.sequence !== sequence)
  }

  /** The row in the store is no longer this incarnation's: nothing may be spent. */
  invalidate(): void {
    this.confirmed = undefined
    this.unresolved = []
  }

  private possibleRows(): readonly SentRow[] {
    // Before the first confirmed row nothing may be spent, whatever is on its way.
    if (this.confirmed === undefined) return []
    return [this.confirmed, ...this.unresolved]
  }
}

/** What is recorded before the first row. */
const NO_ROW = { row: { committed: 0 }, ahead: 0 }

function isNumber(value: number | undefined): value is number {
  return value !== undefined
}
