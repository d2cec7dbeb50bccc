/**
 * Updates the endpoint directory from the platform's rows. Rows expire while the store does not answer, and those of
 * live endpoints return soon after the outage. Therefore an endpoint whose row is missing during or right after an
 * outage is removed only when the row does not return in time; otherwise the endpoint is removed at once. Without
 * this delay, an outage of the store would remove live endpoints. Owns the time at which the store last answered again,
 * and the records of the last values: endpoints renew their rows about once a second, mostly with the same value.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'
import type { ChangedRow, RowAddress } from '@rackwalk/stores'
import type { MirrorListener } from '@rackwalk/coordination'
import type { EndpointDirectory, EndpointRecord } from '@rackwalk/router'

/**
 * How long after an outage a missing row may still return. The platform states about two seconds; the endpoint of a row
 * that is missing for longer is gone.
 */
const ROW_RETURN_MILLISECONDS = 1_800

/** What the follower needs. */
export interface EndpointFollowerParts {
  readonly directory: EndpointDirectory
  readonly clock: Clock
  /** Undefined when the row describes no endpoint. */
  readonly parse: (key: string, value: string) => EndpointRecord | undefined
  readonly onMalformedRow: (row: RowAddress) => void
}

/** The value of a row and the record that was parsed from it. */
interface ParsedRow {
  readonly value: string
  readonly record: EndpointRecord
}

/** Follows the rows of endpoints. */
export class EndpointFollower implements MirrorListener {
  private isReachable = true
  private storeReturnedAt: Milliseconds = Number.NEGATIVE_INFINITY
  /** The last value of each listed row, by key. */
  private readonly parsed = new Map<string, ParsedRow>()

  constructor(private readonly parts: EndpointFollowerParts) {}

  onRows(rows: readonly ChangedRow[], isWhole: boolean): void {
    const { directory } = this.parts
    for (const row of rows) {
      const { key, value } = row
      const record = value === undefined ? undefined : this.parse(key, value)
      if (record !== undefined) directory.set(record)
      else if (value === undefined) this.handleMissing(key)
      else this.handleMalformed(row)
    }
    if (!isWhole) return
    const present = new Set(rows.map(row => row.key))
    for (const id of directory.ids) if (!present.has(id)) this.handleMissing(id)
  }

  /** Returns the record of a row; parses the value only if it differs from the last one of the row. */
  private parse(key: string, value: string): EndpointRecord | undefined {
    const known = this.parsed.get(key)
    if (known?.value === value) return known.record
    const record = this.parts.parse(key, value)
    if (record === undefined) this.parsed.delete(key)
    else this.parsed.set(key, { value, record })
    return record
  }

  private handleMissing(key: string): void {
    this.parsed.delete(key)
    this.parts.directory.removeAfter(key, this.remainingReturnMilliseconds)
  }

  /**
   * A malformed row did not expire: it was written. The endpoint listed under its key before is no longer known to
   * exist, so no more requests are sent to it.
   */
  private handleMalformed(row: ChangedRow): void {
    this.parts.onMalformedRow(row)
    this.parts.directory.remove(row.key)
  }

  onReachabilityChange(isReachable: boolean): void {
    if (isReachable && !this.isReachable) this.storeReturnedAt = this.parts.clock.monotonic()
    this.isReachable = isReachable
  }

  /**
   * How long a missing row may still return; 0 or less if the row is missing because its endpoint is gone.
   */
  private get remainingReturnMilliseconds(): Milliseconds {
    // The first rows after an outage arrive before the store counts as reachable again.
    if (!this.isReachable) return ROW_RETURN_MILLISECONDS
    return this.storeReturnedAt + ROW_RETURN_MILLISECONDS - this.parts.clock.monotonic()
  }
}
