/**
 * Bounds what this incarnation (run of the instance's process) may still commit of one budget. Owns
 * the number of tokens that it has committed, and those of its rows that are in the store or may
 * still take effect there. Uses decisions/admitting/spendingBound.
 */

import type { Clock, Milliseconds, TokenCount, Version } from '@rackwalk/shared'
import { committedBound, timeUntilCommitted } from '@rackwalk/decisions'
import type { HolderRow } from './prepaidRows.js'

/** A holder row of this incarnation that is in the store or may still take effect there. */
interface SentRow {
  readonly row: HolderRow
  /** Tokens that the row counts as committed before any request asked for them. */
  readonly ahead: TokenCount
  readonly sentAt: Milliseconds
  /** The version that the row must replace; the write cannot take effect on any other version. */
  readonly expectedVersion: Version
}

/**
 * Bounds what this incarnation may still commit of one budget. While the outcome of a write is
 * unknown, either the old or the new row may be in force, so the smaller of their bounds applies.
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

  /** Tokens handed out or reserved by this incarnation. */
  get committed(): TokenCount {
    return this.committedTokens
  }

  /** The part of the committed tokens that requests and loans in progress reserve. */
  get reserved(): TokenCount {
    return this.reservedTokens
  }

  /** The part of the committed tokens that callers got. */
  get handedOut(): TokenCount {
    return this.committedTokens - this.reservedTokens
  }

  /** Tokens granted to this incarnation, by the smallest grant of the rows that may be in force. */
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

  /**
   * Time after which the tokens may be committed without a write; undefined if the rows that may be
   * in force never allow this.
   */
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

  /**
   * Sequence number of the row sent last; each row sent has its own number, whatever its outcome.
   */
  get lastSequence(): number {
    return this.sequence
  }

  get hasUnresolved(): boolean {
    return this.unresolved.length > 0
  }

  /** Time since the write of the newest confirmed row was sent; infinite before the first one. */
  get recordAge(): Milliseconds {
    const sentAt = this.confirmed?.sentAt
    return sentAt === undefined ? Number.POSITIVE_INFINITY : this.clock.monotonic() - sentAt
  }

  /** Absolute change of the committed tokens since the newest confirmed row. */
  get unrecorded(): TokenCount {
    const { row, ahead } = this.confirmed ?? NO_ROW
    return Math.abs(this.committedTokens - (row.committed - ahead))
  }

  /** Reserves tokens until `settle` is called. */
  commit(tokens: TokenCount): void {
    this.committedTokens += tokens
    this.reservedTokens += tokens
  }

  /** Ends a reservation of which `spent` tokens were handed out; the rest becomes free again. */
  settle(reserved: TokenCount, spent: TokenCount): void {
    this.committedTokens -= reserved - spent
    this.reservedTokens -= reserved
  }

  /** Records that a row is about to be sent; its bounds apply as well from this call on. */
  recordSent(row: HolderRow, ahead: TokenCount, expectedVersion: Version): void {
    this.sequence = row.sequence
    this.unresolved.push({ row, ahead, sentAt: this.clock.monotonic(), expectedVersion })
  }

  /**
   * Records that the store has the row of this sequence number, at this version. Rows that were
   * sent to replace an earlier version are thereby resolved. A row that was sent to replace this
   * version, or a later one, may still take effect.
   */
  confirmRow(sequence: number, version: Version): void {
    const taken = this.unresolved.find(({ row }) => row.sequence === sequence)
    if (taken !== undefined) this.confirmed = taken
    this.unresolved = this.unresolved.filter(({ expectedVersion }) => expectedVersion >= version)
  }

  /** Records that the store did not accept the row of this sequence number and never will. */
  withdraw(sequence: number): void {
    this.unresolved = this.unresolved.filter(({ row }) => row.sequence !== sequence)
  }

  /**
   * Records that the row in the store belongs to another incarnation, so that this incarnation may
   * not spend any more tokens.
   */
  invalidate(): void {
    this.confirmed = undefined
    this.unresolved = []
  }

  private possibleRows(): readonly SentRow[] {
    // Before the first confirmed row nothing may be spent, even if a write is in flight.
    if (this.confirmed === undefined) return []
    return [this.confirmed, ...this.unresolved]
  }
}

/** The recorded state before the first row. */
const NO_ROW = { row: { committed: 0 }, ahead: 0 }

function isNumber(value: number | undefined): value is number {
  return value !== undefined
}
