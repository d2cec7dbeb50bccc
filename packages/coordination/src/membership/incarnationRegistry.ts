/**
 * Registry of incarnations (runs of instances' processes) in the table: registers this one and
 * lists all. Sealers find by the list which instances may hold entries of a terminated incarnation.
 * Keeps no state.
 */

import * as z from 'zod'
import { RackwalkError, ResultCode, asId } from '@rackwalk/shared'
import type {
  FailureDomainId,
  IncarnationId,
  InstanceId,
  RandomSource,
  RegionId,
  TransactionId,
} from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'
import type { Row, TableService } from '@rackwalk/stores'
import { idSchema, identityMapping, decodeRowValue } from '../rowCodecs.js'
import { INCARNATIONS_PARTITION, SEALING_PARTITION, incarnationKey } from '../tableKeys.js'

/** The table's record of an incarnation that is running or not yet reclaimed. */
export interface IncarnationRecord {
  readonly instanceId: InstanceId
  readonly incarnation: IncarnationId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly peerAddress: string
}

const incarnationSchema = z.object({
  instanceId: idSchema<InstanceId>(),
  incarnation: idSchema<IncarnationId>(),
  region: idSchema<RegionId>(),
  failureDomain: idSchema<FailureDomainId>(),
  peerAddress: z.string(),
})

/** The stored form of the record of an incarnation. */
export const incarnationRecordCodec = new JsonCodec(
  identityMapping<IncarnationRecord>(incarnationSchema),
)

/** Registers incarnations and lists them. */
export class IncarnationRegistry {
  constructor(
    private readonly table: TableService,
    private readonly random: RandomSource,
  ) {}

  /**
   * Registers an incarnation, then returns the incarnations that are being sealed; the caller must
   * accept no entries from them. With this order, a sealer either sees this registration and asks
   * this incarnation for held entries, or the registration returns the sealer's target.
   */
  async register(record: IncarnationRecord): Promise<readonly IncarnationId[]> {
    await this.put(record)
    const rows = await this.table.query(SEALING_PARTITION)
    return rows.map(row => asId<IncarnationId>(row.key.sort))
  }

  /** Returns every incarnation that is registered and not yet reclaimed. */
  async list(): Promise<readonly IncarnationRecord[]> {
    const rows = await this.table.query(INCARNATIONS_PARTITION)
    return rows.map(recordOf)
  }

  private async put(record: IncarnationRecord): Promise<void> {
    const key = incarnationKey(record.incarnation)
    const id = asId<TransactionId>(this.random.uniqueId())
    const value = incarnationRecordCodec.toJson(record)
    const result = await this.table.transact(id, [
      { kind: 'put', key, condition: { kind: 'absent' }, value },
    ])
    if (result.committed) return
    // If the row exists, an earlier attempt whose answer was lost has written it: incarnation ids
    // are never reused.
    const row = await this.table.get(key)
    if (row === undefined) throw new RackwalkError(ResultCode.PlatformAmbiguous, 'registration')
  }
}

function recordOf(row: Row): IncarnationRecord {
  return decodeRowValue(incarnationRecordCodec, row)
}
