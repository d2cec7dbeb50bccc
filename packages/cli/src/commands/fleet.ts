/**
 * Commands about the fleet: instances, usage, audit, budgets, draining, evacuations and crashes.
 */

import { usageError } from '../errors.js'
import { formatCell, printDocument } from '../output/print.js'
import type { CommandContext } from './context.js'

const MILLISECONDS_PER_DAY = 86_400_000
const DAYS_PER_WEEK = 7
/** 1970-01-01 was a Thursday, three days after the Monday on which an ISO week begins. */
const EPOCH_WEEKDAY = 3

type Row = Readonly<Record<string, unknown>>

/** Prints rows that share the same fields. */
function printRows(
  context: CommandContext,
  document: unknown,
  rows: readonly Row[],
  fields: readonly string[],
): void {
  printDocument(context.environment, context.format, document, () => ({
    headings: fields,
    rows: rows.map(row => fields.map(field => formatCell(row[field]))),
  }))
}

/** `budget NAME`: shows where the tokens of a budget are. */
export async function budget(context: CommandContext, name: string): Promise<void> {
  const document = await context.connection.get(`/v1/budgets/${name}/allocations`)
  const totals = ['limit', 'settled', 'allocated', 'free', 'stranded']
  const holders = document['holders'] as readonly Row[]
  printDocument(context.environment, context.format, document, () => ({
    headings: ['where', 'tokens', 'note'],
    rows: [
      ...totals.map(field => [field, formatCell(document[field]), '']),
      ...holders.map(holder => [
        `held by ${formatCell(holder['instanceId'] ?? holder['incarnation'])}`,
        formatCell(holder['allocated']),
        holder['isLive'] === true ? '' : 'not live: stranded until reclaimed',
      ]),
    ],
  }))
}

/** Options of `usage`. */
export interface UsageFlags {
  readonly team?: string
  /** A date in the week, which begins on Monday, UTC. */
  readonly week?: string | boolean
}

/** `usage --team T --week DATE`: shows the usage by team and model. */
export async function usage(context: CommandContext, flags: UsageFlags): Promise<void> {
  const query = new URLSearchParams()
  if (flags.team !== undefined) query.set('team', flags.team)
  if (flags.week !== undefined) {
    const { from, to } = weekOf(flags.week, context.environment.now())
    query.set('from', String(from))
    query.set('to', String(to))
  }
  const document = await context.connection.get(`/v1/usage?${query}`)
  const lines = document['lines'] as readonly Row[]
  const fields = [
    'teamId',
    'modelId',
    'requests',
    'promptTokens',
    'generatedTokens',
    'billedTokens',
  ]
  printRows(context, document, lines, fields)
}

/** `instances`: lists the live instances. */
export async function instances(context: CommandContext): Promise<void> {
  const document = await context.connection.get('/v1/instances')
  const items = document['items'] as readonly Row[]
  const fields = [
    'instanceId',
    'state',
    'region',
    'failureDomain',
    'callerAddress',
    'inFlight',
    'configurationRevision',
  ]
  printRows(context, document, items, fields)
}

/** `addresses`: shows the addresses that a caller would get. */
export async function addresses(context: CommandContext): Promise<void> {
  const document = await context.connection.get('/v1/addresses')
  const items = document['addresses'] as readonly string[]
  const rows = items.map(address => ({
    address,
    keepSeconds: document['timeToLiveSeconds'],
  }))
  printRows(context, document, rows, ['address', 'keepSeconds'])
}

/** `drain INSTANCE`: stops an instance from accepting new requests. */
export async function drain(context: CommandContext, name: string): Promise<void> {
  await context.connection.request('POST', `/v1/instances/${name}/drain`)
  context.environment.print(`${name} takes no new requests`)
}

/** Options of `evacuate`. */
export interface EvacuateFlags {
  readonly reason?: string
}

const EVACUATIONS_PATH = '/v1/evacuations'

/** `evacuate DOMAIN`: sends no new requests to the failure domain; running requests complete. */
export async function evacuate(
  context: CommandContext,
  domain: string,
  { reason }: EvacuateFlags,
): Promise<void> {
  const spec = reason === undefined ? {} : { reason }
  const resource = { kind: 'evacuations', metadata: { name: domain }, spec }
  await context.connection.request('PUT', `${EVACUATIONS_PATH}/${domain}`, resource)
  context.environment.print(
    `${domain} gets nothing new; \`describe evacuations ${domain}\` shows who has taken it in`,
  )
}

/** `restore DOMAIN`: ends the evacuation of a failure domain. */
export async function restore(context: CommandContext, domain: string): Promise<void> {
  await context.connection.request('DELETE', `${EVACUATIONS_PATH}/${domain}`)
  context.environment.print(`${domain} is used again`)
}

const CRASHES_PATH = '/v1/crashes'

/** `crashes`: lists the requests that are suspected or known to crash endpoints. */
export async function crashes(context: CommandContext): Promise<void> {
  const document = await context.connection.get(CRASHES_PATH)
  const items = document['items'] as readonly Row[]
  printRows(context, document, items, ['fingerprint', 'verdict', 'ends'])
}

/** `clear FINGERPRINT`: clears a request of suspicion, so that it is sent like any other. */
export async function clearCrashingRequest(
  context: CommandContext,
  fingerprint: string,
): Promise<void> {
  await context.connection.request('DELETE', `${CRASHES_PATH}/${fingerprint}`)
  context.environment.print(`${fingerprint} is sent to endpoints again`)
}

/** `status`: shows the state of the instance that answers. */
export async function status(context: CommandContext): Promise<void> {
  const document = await context.connection.get('/v1/status')
  const rows = Object.entries(document).map(([field, value]) => ({ field, value }))
  printRows(context, document, rows, ['field', 'value'])
}

/** `audit --from VERSION`: shows who changed what. */
export async function audit(context: CommandContext, flags: { readonly from?: string }) {
  const document = await context.connection.get(`/v1/audit?from=${flags.from ?? 0}`)
  const items = document['items'] as readonly Row[]
  const rows = items.map(item => ({
    ...item,
    at: new Date(Number(item['at'])).toISOString(),
    change: item['resource'] === undefined ? 'deleted' : 'changed',
  }))
  printRows(context, document, rows, ['revision', 'at', 'operator', 'change', 'kind', 'name'])
}

function weekOf(week: string | boolean, now: number): { from: number; to: number } {
  const time = typeof week === 'string' ? Date.parse(week) : now
  if (Number.isNaN(time)) throw usageError('--week takes a date, such as 2026-11-30')
  const day = Math.floor(time / MILLISECONDS_PER_DAY)
  const monday = day - ((day + EPOCH_WEEKDAY) % DAYS_PER_WEEK)
  const from = monday * MILLISECONDS_PER_DAY
  return { from, to: from + DAYS_PER_WEEK * MILLISECONDS_PER_DAY }
}
