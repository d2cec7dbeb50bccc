/**
 * Reads and writes resources, with conditional writes, dry runs, and conflict errors that carry the current state;
 * independent of the transport.
 */

import { RackwalkError, ResultCode, asId } from '@rackwalk/shared'
import type { RandomSource, TransactionId, Version } from '@rackwalk/shared'
import type { JsonValue, TableService } from '@rackwalk/stores'
import { resourceCodec, resourcePartition, decodeRowValue } from '@rackwalk/coordination'
import type { Resource, ResourceStore, ResourceWriteResult } from '@rackwalk/coordination'
import type { BudgetSpec, ResourceKind } from '@rackwalk/router'
import { budgetRowWrites } from './budgetRowWrites.js'
import { mergePatch, parseResource } from './resourceInput.js'
import type { ResourceInput } from './resourceInput.js'

/** The options of a write beside the resource. */
export interface WriteOptions {
  readonly operator: string
  readonly writeId: TransactionId
  readonly expected: Version | 'absent' | undefined
  readonly dryRun: boolean
}

/** A page of a list. */
export interface ResourcePage {
  readonly items: readonly Resource[]
  /** Name after which the next page begins, if there is one. */
  readonly next?: string
}

/** Selects the resources of a list. */
export interface ListQuery {
  readonly limit: number
  readonly after?: string
  readonly labels: Readonly<Record<string, string>>
}

/** A version conflict, with the current state that the operator did not know. */
export class VersionConflictError extends RackwalkError {
  constructor(
    readonly current: Resource | undefined,
    expected: WriteOptions['expected'],
  ) {
    const isThere = expected === 'absent' && current !== undefined
    super(isThere ? ResultCode.ResourceExists : ResultCode.VersionConflict)
  }
}

/** The operations on resources, independent of the transport. */
export class ResourceApi {
  constructor(
    private readonly store: ResourceStore,
    private readonly table: TableService,
    private readonly random: RandomSource,
  ) {}

  async get(kind: ResourceKind, name: string): Promise<Resource> {
    const resource = await this.store.read(kind, name)
    if (resource === undefined) throw notFound(kind, name)
    return resource
  }

  /** Reads pages until enough resources match the labels. */
  async list(kind: ResourceKind, query: ListQuery): Promise<ResourcePage> {
    const items: Resource[] = []
    let after = query.after
    for (;;) {
      const limit = query.limit
      const rows = await this.table.query(resourcePartition(kind), { after, limit })
      for (const row of rows) {
        const resource = decodeRowValue(resourceCodec, row)
        after = row.key.sort
        if (hasLabels(resource, query.labels)) items.push(resource)
        if (items.length === query.limit) return { items, next: after }
      }
      if (rows.length < limit) return { items }
    }
  }

  async put(
    kind: ResourceKind,
    name: string,
    document: unknown,
    options: WriteOptions,
  ): Promise<Resource> {
    const input = parseResource(kind, name, document)
    return required(await this.write(kind, input, options))
  }

  /** Merges a patch into the current state; starts over when a concurrent change conflicts. */
  async patch(
    kind: ResourceKind,
    name: string,
    patch: JsonValue,
    options: WriteOptions,
  ): Promise<Resource> {
    for (let attempt = 0; ; attempt += 1) {
      const current = await this.get(kind, name)
      const merged = mergePatch(resourceCodec.toJson(current), patch)
      const input = parseResource(kind, name, merged)
      const expected = options.expected ?? current.metadata.version
      try {
        return required(await this.write(kind, input, { ...options, expected }))
      } catch (thrown) {
        const mayRetry = thrown instanceof VersionConflictError && options.expected === undefined
        if (!mayRetry || attempt >= MAXIMUM_PATCH_ATTEMPTS) throw thrown
      }
    }
  }

  async delete(kind: ResourceKind, name: string, options: WriteOptions): Promise<void> {
    if (options.dryRun) return void (await this.get(kind, name))
    const result = await this.store.write({
      ...options,
      kind,
      name,
      content: undefined,
      companionWrites: this.accompanyingWrites(kind, name, undefined),
    })
    if (result.kind === 'conflict' && result.current === undefined) throw notFound(kind, name)
    checkConflict(result, options)
  }

  private async write(kind: ResourceKind, input: ResourceInput, options: WriteOptions) {
    if (options.dryRun) return this.dryRunWrite(kind, input, options)
    const result = await this.store.write({
      ...options,
      kind,
      name: input.name,
      content: { spec: input.spec, labels: input.labels },
      companionWrites: this.accompanyingWrites(kind, input.name, input.spec),
    })
    return checkConflict(result, options)
  }

  /** Checks everything that a write checks, but writes nothing. */
  private async dryRunWrite(kind: ResourceKind, input: ResourceInput, options: WriteOptions) {
    const current = await this.store.read(kind, input.name)
    const { expected } = options
    const isExpected =
      expected === undefined ||
      (expected === 'absent' ? current === undefined : current?.metadata.version === expected)
    if (!isExpected) throw new VersionConflictError(current, expected)
    const version = current?.metadata.version ?? 0
    const createdAt = current?.metadata.createdAt ?? 0
    const { name, labels, spec } = input
    return { kind, metadata: { name, version, labels, createdAt }, spec }
  }

  private accompanyingWrites(kind: ResourceKind, name: string, spec: JsonValue | undefined) {
    if (kind !== 'budgets') return undefined
    return () => budgetRowWrites(this.table, name, spec as unknown as BudgetSpec | undefined)
  }

  /** Creates an id for a write whose operator gave none. */
  createWriteId(): TransactionId {
    return asId<TransactionId>(this.random.uniqueId())
  }
}

const MAXIMUM_PATCH_ATTEMPTS = 5

function checkConflict(
  result: ResourceWriteResult,
  { expected }: WriteOptions,
): Resource | undefined {
  if (result.kind === 'conflict') throw new VersionConflictError(result.current, expected)
  return result.resource
}

function required(resource: Resource | undefined): Resource {
  if (resource === undefined) throw new RackwalkError(ResultCode.Internal)
  return resource
}

function notFound(kind: string, name: string): RackwalkError {
  return new RackwalkError(ResultCode.ResourceNotFound, `${kind}/${name}`)
}

function hasLabels(resource: Resource, labels: Readonly<Record<string, string>>): boolean {
  return Object.entries(labels).every(([name, value]) => resource.metadata.labels[name] === value)
}
