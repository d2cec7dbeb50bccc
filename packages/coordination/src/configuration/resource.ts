/** A configuration resource: its type, its keys in the table and its stored form. */

import * as z from 'zod'
import { JsonCodec } from '@rackwalk/stores'
import { jsonSchema, identityMapping } from '../rowCodecs.js'
import type { Milliseconds, Version } from '@rackwalk/shared'
import type { JsonValue, RowKey } from '@rackwalk/stores'

/** A configuration resource: a named object that operators write and instances apply. */
export interface Resource {
  readonly kind: string
  readonly metadata: ResourceMetadata
  readonly spec: JsonValue
}

/** Metadata of a resource. */
export interface ResourceMetadata {
  readonly name: string
  /** Revision of the change that produced this state; conditional writes compare this number. */
  readonly version: Version
  readonly labels: Readonly<Record<string, string>>
  /** Wall-clock time of the first version, in milliseconds. */
  readonly createdAt: Milliseconds
}

/** Returns the partition of all resources of a kind. */
export function resourcePartition(kind: string): string {
  return `resources/${kind}`
}

/** Returns the key of a resource. */
export function resourceKey(kind: string, name: string): RowKey {
  return { partition: resourcePartition(kind), sort: name }
}

/** Returns an identifier of a resource that is unique across kinds. */
export function resourceId(kind: string, name: string): string {
  return `${kind}/${name}`
}

const resourceSchema = z.object({
  kind: z.string(),
  metadata: z.object({
    name: z.string(),
    version: z.number(),
    labels: z.record(z.string(), z.string()),
    createdAt: z.number(),
  }),
  spec: jsonSchema,
})

/** The stored form of a resource. */
export const resourceCodec = new JsonCodec(identityMapping<Resource>(resourceSchema))
