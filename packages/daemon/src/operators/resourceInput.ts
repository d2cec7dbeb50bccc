/**
 * Validates resources that operators send. All faults are reported at once, so that the operator can fix them in one
 * round.
 */

import * as z from 'zod'
import { RackwalkError, ResultCode } from '@rackwalk/shared'
import type { JsonValue } from '@rackwalk/stores'
import { RESOURCE_SCHEMAS, nameSchema } from '@rackwalk/router'
import type { ResourceKind } from '@rackwalk/router'

/** One fault of a resource that an operator sent. */
export interface ResourceFault {
  readonly path: string
  readonly message: string
}

/** Carries every fault of a resource at once. */
export class InvalidResourceError extends RackwalkError {
  constructor(readonly faults: readonly ResourceFault[]) {
    const text = faults.map(({ path, message }) => `${path}: ${message}`).join('; ')
    super(ResultCode.InvalidResource, text)
  }
}

/** A validated resource: its spec has every default filled in. */
export interface ResourceInput {
  readonly name: string
  readonly labels: Record<string, string>
  readonly spec: JsonValue
}

const LABEL_LIMIT = 64
const envelopeSchema = z.looseObject({
  kind: z.string().optional(),
  metadata: z
    .looseObject({
      name: nameSchema.optional(),
      labels: z.record(nameSchema, z.string().max(LABEL_LIMIT)).default({}),
    })
    .prefault({}),
  spec: z.unknown(),
})

/** Validates a resource of a kind; the path and the document must name the same resource. */
export function parseResource(kind: ResourceKind, name: string, document: unknown): ResourceInput {
  const envelope = envelopeSchema.safeParse(document)
  const nameCheck = nameSchema.safeParse(name)
  const specOf = envelope.success ? envelope.data.spec : undefined
  const spec = RESOURCE_SCHEMAS[kind].safeParse(specOf)
  const faults = [
    ...faultsOf('', envelope),
    ...faultsOf('metadata.name', nameCheck),
    ...(envelope.success ? faultsOf('spec', spec) : []),
    ...(envelope.success ? mismatches(kind, name, envelope.data) : []),
  ]
  if (faults.length > 0 || !envelope.success || !spec.success) {
    throw new InvalidResourceError(faults)
  }
  return { name, labels: envelope.data.metadata.labels, spec: spec.data as JsonValue }
}

/** Applies a JSON merge patch (RFC 7396). */
export function mergePatch(target: JsonValue | undefined, patch: JsonValue): JsonValue {
  if (!isObject(patch)) return patch
  const merged: Record<string, JsonValue | undefined> = isObject(target) ? { ...target } : {}
  for (const [name, value] of Object.entries(patch)) {
    if (value === null || value === undefined) delete merged[name]
    else merged[name] = mergePatch(merged[name], value)
  }
  return merged
}

function isObject(value: JsonValue | undefined): value is { readonly [name: string]: JsonValue } {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function faultsOf(prefix: string, result: z.ZodSafeParseResult<unknown>): readonly ResourceFault[] {
  if (result.success) return []
  return result.error.issues.map(issue => ({
    path: [prefix, ...issue.path.map(String)].filter(part => part !== '').join('.') || '(root)',
    message: issue.message,
  }))
}

function mismatches(
  kind: string,
  name: string,
  document: z.infer<typeof envelopeSchema>,
): readonly ResourceFault[] {
  const faults: ResourceFault[] = []
  if (document.kind !== undefined && document.kind !== kind) {
    faults.push({ path: 'kind', message: `is ${document.kind}, the path says ${kind}` })
  }
  if (document.metadata.name !== undefined && document.metadata.name !== name) {
    faults.push({ path: 'metadata.name', message: `the path says ${name}` })
  }
  return faults
}
