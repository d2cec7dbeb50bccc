/** One configured thing: its type, its keys in the table and its stored form. */

import * as z from 'zod'
import { JsonCodec } from '@rackwalk/stores'
import { jsonSchema, identityMapping } from '../rowCodecs.js'
import type { Milliseconds, Version } from '@rackwalk/shared'
import type { JsonValue, RowKey } from '@rackwalk/stores'

/** One configured thing, as operators write it and instances apply it. */
export interface Resource {
  readonly kind: string
  readonly metadata: ResourceMetadata
  readonly spec: JsonValue
}

/** What is known of a resource beside its content. */
export interface ResourceMetadata {
  readonly name: string
  /** Revision of the change that made this state; conditional writes compare it. */
  readonly version: Version
  readonly labels: Readonly<Record<string, string>>
  /** Wall time of the first version, in milliseconds. */
  readonly createdAt: Milliseconds
}

/** The partition of all resources of a kind. */
export function resourcePartition(kind: string): string {
  return `resources/${kind}`
}

/** The key of a resource. */
export function resourceKey(kind: string, name: string): RowKey {
  return { partition: resourcePartition(kind), sort: name }
}

/** The name of a resource among all kinds. */
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
