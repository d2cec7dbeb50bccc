/**
 * Keeps the directory of endpoints as the platform lists them. Entries lapse while the store is away; those
 * of endpoints that live are back soon after it, and the others are gone. Owns when the store came back.
 */

import type { Clock, Milliseconds } from '@rackwalk/shared'
import type { ChangedRow, RowAddress } from '@rackwalk/stores'
import type { MirrorListener } from '@rackwalk/coordination'
import type { EndpointDirectory, EndpointRecord } from '@rackwalk/router'

/**
 * An entry that is missing after an outage may come back for this long. The platform says about two
 * seconds; what is missing after that is gone.
 */
const LAPSE_MILLISECONDS = 1_800

/** What a follower works with. */
export interface EndpointFollowerParts {
  readonly directory: EndpointDirectory
  readonly clock: Clock
  /** Undefined where the row describes no endpoint. */
  readonly parse: (key: string, value: string) => EndpointRecord | undefined
  readonly onMalformedRow: (row: RowAddress) => void
}

/** Follows the rows of endpoints. */
export class EndpointFollower implements MirrorListener {
  private isReachable = true
  private regainedAt: Milliseconds = Number.NEGATIVE_INFINITY

  constructor(private readonly parts: EndpointFollowerParts) {}

  onRows(rows: readonly ChangedRow[], isWhole: boolean): void {
    const { directory, parse } = this.parts
    for (const row of rows) {
      const { key, value } = row
      const record = value === undefined ? undefined : parse(key, value)
      if (record !== undefined) directory.set(record)
      else if (value === undefined) directory.removeAfter(key, this.lapseMilliseconds)
      else this.leaveOut(row)
    }
    if (!isWhole) return
    const present = new Set(rows.map(row => row.key))
    const missing = directory.ids.filter(id => !present.has(id))
    for (const id of missing) directory.removeAfter(id, this.lapseMilliseconds)
  }

  /**
   * A row that names no endpoint did not lapse: somebody wrote it, and whatever was listed under its key before is
   * no longer known to be there, so nothing more is sent to it.
   */
  private leaveOut(row: ChangedRow): void {
    this.parts.onMalformedRow(row)
    this.parts.directory.remove(row.key)
  }

  onReachabilityChange(isReachable: boolean): void {
    if (isReachable && !this.isReachable) this.regainedAt = this.parts.clock.monotonic()
    this.isReachable = isReachable
  }

  /** Not positive where nothing explains a missing entry but that its endpoint is gone. */
  private get lapseMilliseconds(): Milliseconds {
    // The first rows after an outage are told before the store counts as reachable again.
    if (!this.isReachable) return LAPSE_MILLISECONDS
    return this.regainedAt + LAPSE_MILLISECONDS - this.parts.clock.monotonic()
  }
}
