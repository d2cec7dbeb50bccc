/**
 * A lease in the table, which selects one instance for work that not all instances should do. Its
 * epoch fences the holder's orders: recipients refuse an order of an earlier holder. Owns the time
 * until which this instance holds the lease, on its own clock.
 */

import * as z from 'zod'
import { RackwalkError, asId } from '@rackwalk/shared'
import type {
  Clock,
  IncarnationId,
  Milliseconds,
  RandomSource,
  TransactionId,
} from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'
import type { Row, TableService } from '@rackwalk/stores'
import { idSchema, identityMapping, decodeRowValue } from '../rowCodecs.js'
import { leaseKey } from '../tableKeys.js'

interface LeaseRow {
  readonly holder: IncarnationId
  /** Increases whenever the holder changes; orders given under an older epoch are refused. */
  readonly epoch: number
}

/** The stored form of a lease. */
export const leaseRowCodec = new JsonCodec(
  identityMapping<LeaseRow>(z.object({ holder: idSchema<IncarnationId>(), epoch: z.number() })),
)

/** The version of the lease's row as last read, and since when it has been unchanged. */
interface Observation {
  readonly version: number
  readonly since: Milliseconds
}

/** Dependencies of a `Lease`. */
export interface LeaseParts {
  readonly name: string
  readonly incarnation: IncarnationId
  readonly table: TableService
  readonly clock: Clock
  readonly random: RandomSource
  readonly durationMilliseconds: Milliseconds
}

/**
 * A lease in the table. The lease selects one holder for efficiency; the holder's orders are safe
 * because every recipient compares the epoch. A holder that was paused may still act on an expired
 * lease, so nothing may rely on the lease alone.
 */
export class Lease {
  private observed: Observation | undefined
  private heldUntil: Milliseconds = Number.NEGATIVE_INFINITY
  private heldEpoch = 0

  constructor(private readonly parts: LeaseParts) {}

  /** The epoch under which this instance may act now; undefined if it does not hold the lease. */
  get epoch(): number | undefined {
    return this.parts.clock.sinceStart() < this.heldUntil ? this.heldEpoch : undefined
  }

  /**
   * Renews the lease, or acquires it if its holder has not renewed it for the lease's duration.
   * Returns the epoch if this instance holds the lease, also if the table does not answer and the
   * last renewal is still valid.
   */
  async acquireOrRenew(): Promise<number | undefined> {
    try {
      const row = await this.parts.table.get(leaseKey(this.parts.name))
      const lease = row && decodeRowValue(leaseRowCodec, row)
      if (lease?.holder === this.parts.incarnation) await this.write(lease.epoch, row)
      else if (this.isExpired(row)) await this.write((lease?.epoch ?? 0) + 1, row)
    } catch (thrown) {
      if (!(thrown instanceof RackwalkError)) throw thrown
    }
    return this.epoch
  }

  /**
   * Whether the lease has no row, or its row was seen unchanged for longer than the duration on
   * this instance's own clock.
   */
  private isExpired(row: Row | undefined): boolean {
    if (row === undefined) return true
    const now = this.parts.clock.sinceStart()
    if (this.observed?.version !== row.version) {
      this.observed = { version: row.version, since: now }
    }
    return now - this.observed.since > this.parts.durationMilliseconds
  }

  private async write(epoch: number, row: Row | undefined): Promise<void> {
    const sentAt = this.parts.clock.sinceStart()
    const id = asId<TransactionId>(this.parts.random.uniqueId())
    const value: LeaseRow = { holder: this.parts.incarnation, epoch }
    const result = await this.parts.table.transact(id, [
      {
        kind: 'put',
        key: leaseKey(this.parts.name),
        condition:
          row === undefined ? { kind: 'absent' } : { kind: 'version', version: row.version },
        value: leaseRowCodec.toJson(value),
      },
    ])
    if (!result.committed) return
    this.heldEpoch = epoch
    // The duration is counted from before the write was sent, since other instances may see the new
    // row, and start to count, at any time after that.
    this.heldUntil = sentAt + this.parts.durationMilliseconds
  }
}
