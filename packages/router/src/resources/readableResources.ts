/**
 * Leaves out stored resources whose spec cannot be read, so that one of them does not keep the
 * others from the indexes. Owns which resources were checked: the indexes are rebuilt after each
 * change, and mostly from the same resources.
 */

import type * as z from 'zod'
import type { Resource } from '@rackwalk/coordination'
import { RESOURCE_SCHEMAS } from './kinds.js'
import type { ResourceKind } from './kinds.js'

/** Checks specs of stored resources against their schemas. */
export class ReadableResources {
  private readonly checked = new WeakMap<Resource, boolean>()

  /** `onMalformed` is called once for each state of a resource whose spec cannot be read. */
  constructor(private readonly onMalformed: (resource: Resource) => void) {}

  /** Returns the resources of one kind whose specs can be read. */
  of(kind: ResourceKind, resources: readonly Resource[]): readonly Resource[] {
    const schema = RESOURCE_SCHEMAS[kind]
    return resources.filter(resource => this.isReadable(schema, resource))
  }

  private isReadable(schema: z.ZodType, resource: Resource): boolean {
    const known = this.checked.get(resource)
    if (known !== undefined) return known
    const isReadable = hasKnownFields(schema, resource.spec)
    this.checked.set(resource, isReadable)
    if (!isReadable) this.onMalformed(resource)
    return isReadable
  }
}

/** Whether a spec matches its schema except for further fields, which a newer release may write. */
function hasKnownFields(schema: z.ZodType, spec: unknown): boolean {
  const { success, error } = schema.safeParse(spec)
  return success || error.issues.every(({ code }) => code === 'unrecognized_keys')
}
