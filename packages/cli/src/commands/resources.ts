/** Commands that read, write, compare and watch resources. */

import { parseAllDocuments } from 'yaml'
import { CommandError, usageError } from '../errors.js'
import { ExitCode } from '../exitCodes.js'
import { formatCell, printDocument } from '../output/print.js'
import type { CommandContext, ResourceDocument } from './context.js'

/** Options of the commands that write. */
export interface WriteFlags {
  readonly file?: string
  readonly dryRun?: boolean
  /** Version that the resource must still have. */
  readonly ifVersion?: string | number
  readonly writeId?: string
}

/** Options of `get`. */
export interface GetFlags {
  readonly labels?: string
}

const PAGE_SIZE = 500

/** `apply -f FILE`: creates or replaces every resource of a YAML file. */
export async function apply(context: CommandContext, flags: WriteFlags): Promise<void> {
  const resources = await readResources(context, flags.file)
  for (const resource of resources) {
    const headers = conditionHeaders({ ...flags, ifVersion: resource.metadata.version })
    const path = withDryRun(pathOf(resource), flags)
    const written = await context.connection.request('PUT', path, resource, headers)
    const { metadata } = written as unknown as ResourceDocument
    const suffix = flags.dryRun ? ' (dry run)' : ` at version ${metadata.version}`
    context.environment.print(`${resource.kind}/${metadata.name} applied${suffix}`)
  }
}

/** `get KIND [NAME]`: shows a list or one resource. */
export async function get(
  context: CommandContext,
  kind: string,
  name: string | undefined,
  flags: GetFlags,
): Promise<void> {
  const items =
    name === undefined ? await list(context, kind, flags) : [await read(context, kind, name)]
  const document = name === undefined ? { items } : items[0]
  printDocument(context.environment, context.format, document, () => ({
    headings: ['name', 'version', 'labels', 'spec'],
    rows: items.map(({ metadata, spec }) => [
      metadata.name,
      formatCell(metadata.version),
      Object.entries(metadata.labels ?? {})
        .map(([label, value]) => `${label}=${value}`)
        .join(','),
      formatCell(spec),
    ]),
  }))
}

/** `describe KIND NAME`: shows one resource and the instances on which it is in force. */
export async function describe(context: CommandContext, kind: string, name: string): Promise<void> {
  const resource = await read(context, kind, name)
  printDocument(context.environment, context.format, resource, () => ({
    headings: ['field', 'value'],
    rows: [
      ['kind', resource.kind],
      ['name', resource.metadata.name],
      ['version', formatCell(resource.metadata.version)],
      ...Object.entries(resource.spec as object).map(([field, value]) => [
        `spec.${field}`,
        formatCell(value),
      ]),
      ...(resource.status?.instances ?? []).map(({ instanceId, inForce }) => [
        `in force on ${instanceId}`,
        inForce ? 'yes' : 'not yet',
      ]),
    ],
  }))
}

/** `patch KIND NAME JSON`: merges a patch into a resource. */
export async function patch(
  context: CommandContext,
  kind: string,
  name: string,
  text: string,
  flags: WriteFlags,
): Promise<void> {
  const path = withDryRun(`/v1/${kind}/${name}`, flags)
  const document = parseJson(text)
  const headers = conditionHeaders(flags)
  const written = await context.connection.request('PATCH', path, document, headers)
  const { metadata } = written as unknown as ResourceDocument
  context.environment.print(`${kind}/${name} patched at version ${metadata.version}`)
}

/** `delete KIND NAME`: deletes a resource. */
export async function remove(
  context: CommandContext,
  kind: string,
  name: string,
  flags: WriteFlags,
): Promise<void> {
  const path = withDryRun(`/v1/${kind}/${name}`, flags)
  await context.connection.request('DELETE', path, undefined, conditionHeaders(flags))
  context.environment.print(`${kind}/${name} deleted${flags.dryRun ? ' (dry run)' : ''}`)
}

/** `diff -f FILE`: shows what `apply` would change. Exits with 8 if there are differences. */
export async function diff(context: CommandContext, flags: WriteFlags): Promise<void> {
  const resources = await readResources(context, flags.file)
  let isDifferent = false
  for (const resource of resources) {
    const lines = await differences(context, resource)
    for (const line of lines) context.environment.print(line)
    isDifferent ||= lines.length > 0
  }
  if (isDifferent) throw new CommandError(ExitCode.Different, '')
}

/** `watch [KIND]`: prints changes as they come into force, until interrupted. */
export async function watch(
  context: CommandContext,
  kind: string | undefined,
  flags: { readonly from?: string; readonly count?: string },
): Promise<void> {
  const query = new URLSearchParams()
  if (kind !== undefined) query.set('kinds', kind)
  if (flags.from !== undefined) query.set('from', String(flags.from))
  let left = flags.count === undefined ? Number.POSITIVE_INFINITY : Number(flags.count)
  for await (const event of context.connection.streamDocuments(`/v1/watch?${query}`)) {
    if (event['type'] === 'bookmark') continue
    if (context.format === 'json') context.environment.print(JSON.stringify(event))
    else {
      const { type, revision, kind: changed, name, operator } = event
      context.environment.print(`${revision} ${type} ${changed}/${name} by ${operator}`)
    }
    left -= 1
    if (left <= 0) return
  }
}

async function differences(
  context: CommandContext,
  resource: ResourceDocument,
): Promise<readonly string[]> {
  const id = `${resource.kind}/${resource.metadata.name}`
  // The dry run fills in defaults, so that only real differences are shown.
  const path = `${pathOf(resource)}?dryRun=true`
  const wanted = await context.connection.request('PUT', path, resource)
  const current = await findCurrent(context, resource)
  if (current === undefined) return [`+ ${id} is new`]
  return compare(id, current.spec, wanted['spec'])
}

async function findCurrent(context: CommandContext, resource: ResourceDocument) {
  try {
    return await read(context, resource.kind, resource.metadata.name)
  } catch (thrown) {
    const isMissing = thrown instanceof CommandError && thrown.exitCode === ExitCode.NotFound
    if (isMissing) return undefined
    throw thrown
  }
}

function compare(id: string, current: unknown, wanted: unknown): readonly string[] {
  const before = current as Record<string, unknown>
  const after = wanted as Record<string, unknown>
  const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort()
  return fields
    .filter(field => JSON.stringify(before[field]) !== JSON.stringify(after[field]))
    .map(
      field => `~ ${id} spec.${field}: ${formatCell(before[field])} -> ${formatCell(after[field])}`,
    )
}

async function list(
  context: CommandContext,
  kind: string,
  flags: GetFlags,
): Promise<readonly ResourceDocument[]> {
  const items: ResourceDocument[] = []
  let after: string | undefined
  do {
    const query = new URLSearchParams({ limit: String(PAGE_SIZE) })
    if (flags.labels !== undefined) query.set('labels', flags.labels)
    if (after !== undefined) query.set('after', after)
    const page = await context.connection.get(`/v1/${kind}?${query}`)
    items.push(...(page['items'] as readonly ResourceDocument[]))
    after = page['next'] as string | undefined
  } while (after !== undefined)
  return items
}

async function read(
  context: CommandContext,
  kind: string,
  name: string,
): Promise<ResourceDocument> {
  const resource = await context.connection.get(`/v1/${kind}/${name}`)
  return resource as unknown as ResourceDocument
}

async function readResources(
  context: CommandContext,
  file: string | undefined,
): Promise<readonly ResourceDocument[]> {
  if (file === undefined) throw usageError('-f FILE is required')
  const text = await readInput(context, file)
  return parseAllDocuments(text).map((document, position) => {
    const [fault] = document.errors
    if (fault !== undefined) throw new CommandError(ExitCode.Invalid, `${file}: ${fault.message}`)
    return checkResource(document.toJS(), `${file}: document ${position + 1}`)
  })
}

async function readInput(context: CommandContext, file: string): Promise<string> {
  try {
    return await context.environment.readFile(file)
  } catch {
    throw new CommandError(ExitCode.Invalid, `${file}: cannot be read`)
  }
}

function checkResource(value: unknown, place: string): ResourceDocument {
  const resource = value as Partial<ResourceDocument> | null
  const isNamed = typeof resource?.kind === 'string' && resource.metadata?.name !== undefined
  if (!isNamed)
    throw new CommandError(ExitCode.Invalid, `${place}: kind and metadata.name are required`)
  return resource as ResourceDocument
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw new CommandError(ExitCode.Invalid, 'the patch is not JSON')
  }
}

function pathOf(resource: ResourceDocument): string {
  return `/v1/${resource.kind}/${resource.metadata.name}`
}

function withDryRun(path: string, flags: WriteFlags): string {
  return flags.dryRun ? `${path}?dryRun=true` : path
}

function conditionHeaders(flags: WriteFlags): Record<string, string> {
  const headers: Record<string, string> = {}
  if (flags.ifVersion !== undefined) headers['if-match'] = String(flags.ifVersion)
  if (flags.writeId !== undefined) headers['rackwalk-write-id'] = flags.writeId
  return headers
}
