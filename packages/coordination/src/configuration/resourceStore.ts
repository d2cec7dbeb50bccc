/**
 * The write side of the configuration: every change takes the next revision in one ordered log, so
 * that all instances apply the changes in the same order. Keeps no state; relies on conditional
 * writes of the table.
 */

import * as z from 'zod'
import { RackwalkError, ResultCode, asId } from '@rackwalk/shared'
import type { Clock, RandomSource, TransactionId, Version } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'
import type { JsonValue, Row, RowCondition, RowKey, RowWrite, TableService } from '@rackwalk/stores'
import type { ConfigurationChange } from '../peerMessages.js'
import { CHANGES_PARTITION, changeKey } from '../tableKeys.js'
import { identityMapping, decodeRowValue } from '../rowCodecs.js'
import { changeCodec } from './configurationChange.js'
import type { Resource } from './resource.js'
import { resourceCodec, resourceKey } from './resource.js'

/** A change requested by an operator. */
export interface ResourceWrite {
  /** Identifies the write; a retry with the same id takes effect only once. */
  readonly writeId: TransactionId
  readonly operator: string
  readonly kind: string
  readonly name: string
  /**
   * The version that the operator has seen; `absent` for a creation; undefined if any version may
   * be replaced.
   */
  readonly expected: Version | 'absent' | undefined
  /** The new content, or undefined to delete the resource. */
  readonly content:
    (Pick<Resource, 'spec'> & { readonly labels: Record<string, string> }) | undefined
  /** Rows that must change together with the resource; computed again for each attempt. */
  readonly companionWrites?: () => Promise<readonly RowWrite[]>
}

/**
 * `conflict`: the current state, undefined if the resource does not exist, is not the expected one,
 * or a resource that does not exist was to be deleted.
 */
export type ResourceWriteResult =
  | {
      readonly kind: 'accepted'
      readonly revision: Version
      readonly resource: Resource | undefined
    }
  | { readonly kind: 'conflict'; readonly current: Resource | undefined }

/** Maximum number of attempts against concurrent writes by other operators. */
const MAXIMUM_ATTEMPTS = 12

/** The record of one accepted write, stored under its id. */
export interface WriteRecord {
  readonly revision: Version
}

/** The stored form of the record of a write. */
export const writeRecordCodec = new JsonCodec(
  identityMapping<WriteRecord>(z.object({ revision: z.number() })),
)

function writeRecordKey(writeId: TransactionId): RowKey {
  return { partition: 'writes', sort: writeId }
}

/**
 * The write side of the configuration. Every change takes the next revision in one ordered log, on
 * the condition that the revision is still free, in one transaction with the resource's row.
 * Therefore revisions have no gaps, and a retry after a lost answer finds its own change in the
 * log.
 */
export class ResourceStore {
  constructor(
    private readonly table: TableService,
    private readonly clock: Clock,
    private readonly random: RandomSource,
  ) {}

  /**
   * Writes a resource. A platform error of the first attempt is retried; that of a later attempt is
   * thrown. `OutcomeOfWriteUnknown` is thrown in its place if any attempt may have taken effect
   * without an answer; the caller may then retry the write with the same id, or look it up with
   * `findWrite`. Throws `PlatformThrottled` after too many concurrent writes.
   */
  async write(write: ResourceWrite): Promise<ResourceWriteResult> {
    let ambiguous = false
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      try {
        const result = await this.attempt(write)
        if (result !== undefined) return result
      } catch (thrown) {
        if (!(thrown instanceof RackwalkError) || !isPlatformCode(thrown.code)) throw thrown
        ambiguous ||= thrown.code === ResultCode.PlatformAmbiguous
        const isRetry = attempt >= 1
        if (isRetry && ambiguous) throw new RackwalkError(ResultCode.OutcomeOfWriteUnknown)
        if (isRetry) throw thrown
      }
    }
    throw new RackwalkError(ResultCode.PlatformThrottled, 'too many racing writes')
  }

  async read(kind: string, name: string): Promise<Resource | undefined> {
    const row = await this.readRow(kind, name)
    return row && decodeRowValue(resourceCodec, row)
  }

  /**
   * Looks up a write whose answer was lost; returns undefined as long as it has not taken effect.
   */
  async findWrite(writeId: TransactionId): Promise<WriteRecord | undefined> {
    const row = await this.table.get(writeRecordKey(writeId))
    return row && decodeRowValue(writeRecordCodec, row)
  }

  /**
   * Returns undefined if a condition of the transaction failed: another operator's change took the
   * revision, or changed the resource or a companion row.
   */
  private async attempt(write: ResourceWrite): Promise<ResourceWriteResult | undefined> {
    const done = await this.findWrite(write.writeId)
    if (done !== undefined) return this.acceptedAt(write, done.revision)
    const row = await this.readRow(write.kind, write.name)
    const current = row && decodeRowValue(resourceCodec, row)
    if (!isExpected(write.expected, current)) return { kind: 'conflict', current }
    if (write.content === undefined && current === undefined) return { kind: 'conflict', current }
    const revision = (await this.headRevision()) + 1
    const resource = this.nextState(write, current, revision)
    const writes = await this.writesOf(write, row, revision, resource)
    const result = await this.table.transact(this.newId(), writes)
    return result.committed ? { kind: 'accepted', revision, resource } : undefined
  }

  private async acceptedAt(write: ResourceWrite, revision: Version): Promise<ResourceWriteResult> {
    const row = await this.table.get(changeKey(revision))
    const change = row && decodeRowValue(changeCodec, row)
    const resource = resourceCodec.fromJson(change?.resource)
    return { kind: 'accepted', revision, resource }
  }

  private async headRevision(): Promise<Version> {
    const [last] = await this.table.query(CHANGES_PARTITION, { reverse: true, limit: 1 })
    return last === undefined ? 0 : Number(last.key.sort)
  }

  private nextState(
    write: ResourceWrite,
    current: Resource | undefined,
    version: Version,
  ): Resource | undefined {
    if (write.content === undefined) return undefined
    const { spec, labels } = write.content
    const createdAt = current?.metadata.createdAt ?? this.clock.wallTime()
    return { kind: write.kind, metadata: { name: write.name, version, labels, createdAt }, spec }
  }

  private async writesOf(
    write: ResourceWrite,
    row: Row | undefined,
    revision: Version,
    resource: Resource | undefined,
  ): Promise<readonly RowWrite[]> {
    const change: ConfigurationChange = {
      revision,
      kind: write.kind,
      name: write.name,
      resource: resource && resourceCodec.toJson(resource),
      writeId: write.writeId,
      operator: write.operator,
      at: this.clock.wallTime(),
    }
    return [
      putAbsent(changeKey(revision), changeCodec.toJson(change)),
      resourceRowWrite(write, row, resource),
      putAbsent(writeRecordKey(write.writeId), { revision }),
      ...((await write.companionWrites?.()) ?? []),
    ]
  }

  private readRow(kind: string, name: string): Promise<Row | undefined> {
    return this.table.get(resourceKey(kind, name))
  }

  private newId(): TransactionId {
    return asId<TransactionId>(this.random.uniqueId())
  }
}

function resourceRowWrite(
  write: ResourceWrite,
  row: Row | undefined,
  resource: Resource | undefined,
): RowWrite {
  const key = resourceKey(write.kind, write.name)
  const condition: RowCondition =
    row === undefined ? { kind: 'absent' } : { kind: 'version', version: row.version }
  return resource === undefined
    ? { kind: 'delete', key, condition }
    : { kind: 'put', key, condition, value: resourceCodec.toJson(resource) }
}

function putAbsent(key: RowKey, value: JsonValue): RowWrite {
  return { kind: 'put', key, condition: { kind: 'absent' }, value }
}

function isExpected(expected: ResourceWrite['expected'], current: Resource | undefined): boolean {
  if (expected === undefined) return true
  if (expected === 'absent') return current === undefined
  return current?.metadata.version === expected
}

function isPlatformCode(code: ResultCode): boolean {
  return (
    code === ResultCode.PlatformAmbiguous ||
    code === ResultCode.PlatformUnavailable ||
    code === ResultCode.PlatformThrottled
  )
}
