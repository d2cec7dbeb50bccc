/**
 * The routes of the operator API and their handlers. Owns nothing; relies on the resource API, the stored rows and
 * the fleet's state.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import * as z from 'zod'
import { RackwalkError, ResultCode, asId } from '@rackwalk/shared'
import type {
  BudgetId,
  Clock,
  IncarnationId,
  InstanceId,
  RequestFingerprint,
  RequestId,
  TransactionId,
} from '@rackwalk/shared'
import type { JsonValue, TableService } from '@rackwalk/stores'
import {
  allocatedTokens,
  budgetRowCodec,
  freeTokens,
  readUsage,
  tableKeys,
  decodeRowValue,
} from '@rackwalk/coordination'
import type {
  CallerAddresses,
  BudgetRow,
  ConfigurationFollower,
  Membership,
  PeerChannel,
  Resource,
  ResourceStore,
} from '@rackwalk/coordination'
import { RESOURCE_KINDS, isResourceKind, readBody } from '@rackwalk/router'
import type { BodyMemory } from '@rackwalk/router'
import type { CrashGuard, DecisionRecord, ResourceKind } from '@rackwalk/router'
import { answerJson } from '../observe/httpAnswer.js'
import type { RolloutTracker } from './rolloutTracker.js'
import { openApiDescription } from './openApi.js'
import type { OperatorRequest, OperatorRoute } from './operatorRoute.js'
import type { ListQuery, ResourceApi, WriteOptions } from './resourceApi.js'
import { WatchStream } from './watchStream.js'

/** What the routes need. */
export interface OperatorRouteParts {
  readonly resources: ResourceApi
  readonly store: ResourceStore
  readonly table: TableService
  readonly configuration: ConfigurationFollower
  readonly membership: Membership
  readonly rollouts: RolloutTracker
  readonly peers: PeerChannel
  readonly clock: Clock
  readonly addresses: () => CallerAddresses
  readonly explain: (requestId: RequestId) => Promise<DecisionRecord | undefined>
  readonly drainHere: () => Promise<void>
  readonly status: () => JsonValue
  readonly crashes: CrashGuard
  /** Memory for the bodies of all requests. */
  readonly bodies: BodyMemory
}

const MAXIMUM_BODY_BYTES = 1024 * 1024
const BODY_MILLISECONDS = 10_000
const DEFAULT_PAGE = 100
const LARGEST_PAGE = 1_000
const WRITE_ID_PATTERN = /^[\x21-\x7e]{1,100}$/

/** The route table of the operator API. */
export class OperatorRoutes {
  readonly routes: readonly OperatorRoute[]

  constructor(private readonly parts: OperatorRouteParts) {
    this.routes = [
      this.route('GET', '/openapi.json', request => this.getDescription(request)),
      this.route('GET', '/v1/status', request => this.getStatus(request)),
      this.route('GET', '/v1/watch', request => this.watch(request)),
      this.route('GET', '/v1/addresses', request => this.getAddresses(request)),
      this.route('GET', '/v1/instances', request => this.getInstances(request)),
      this.route('POST', '/v1/instances/{name}/drain', (request, name) =>
        this.drain(request, name),
      ),
      this.route('GET', '/v1/usage', request => this.getUsage(request)),
      this.route('GET', '/v1/audit', request => this.getAudit(request)),
      this.route('GET', '/v1/writes/{name}', (request, id) => this.getWrite(request, id)),
      this.route('GET', '/v1/requests/{name}', (request, id) => this.getRequest(request, id)),
      this.route('GET', '/v1/budgets/{name}/allocations', (request, name) =>
        this.getAllocations(request, name),
      ),
      this.route('GET', '/v1/crashes', request => this.getCrashes(request)),
      this.route('DELETE', '/v1/crashes/{name}', (request, name) => this.clearCrash(request, name)),
      this.route('GET', '/v1/{kind}', (request, kind) => this.list(request, kind)),
      this.route('GET', '/v1/{kind}/{name}', (request, kind, name) =>
        this.get(request, kind, name),
      ),
      this.route('PUT', '/v1/{kind}/{name}', (request, kind, name) =>
        this.put(request, kind, name),
      ),
      this.route('PATCH', '/v1/{kind}/{name}', (request, kind, name) =>
        this.patch(request, kind, name),
      ),
      this.route('DELETE', '/v1/{kind}/{name}', (request, kind, name) =>
        this.delete(request, kind, name),
      ),
    ]
  }

  /** Returns the handler of a request, with the path's parameters bound. */
  find(method: string, path: string): ((request: OperatorRequest) => Promise<void>) | undefined {
    for (const route of this.routes) {
      const names = route.method === method ? matchPath(route.path, path) : undefined
      if (names !== undefined) return async request => route.handle(request, ...names)
    }
    return undefined
  }

  private route(method: string, path: string, handle: OperatorRoute['handle']): OperatorRoute {
    return { method, path, handle }
  }

  private getDescription({ response }: OperatorRequest): void {
    answerJson(response, 200, openApiDescription(this.routes))
  }

  private getStatus({ response }: OperatorRequest): void {
    answerJson(response, 200, this.parts.status())
  }

  private getAddresses({ response }: OperatorRequest): void {
    answerJson(response, 200, this.parts.addresses())
  }

  private getInstances({ response }: OperatorRequest): void {
    answerJson(response, 200, { items: this.parts.membership.liveMembers() })
  }

  private async drain({ response }: OperatorRequest, name = ''): Promise<void> {
    const member = this.parts.membership.findInstance(asId<InstanceId>(name))
    if (member === undefined) {
      throw new RackwalkError(ResultCode.ResourceNotFound, `instances/${name}`)
    }
    if (member.incarnation === this.parts.membership.self.incarnation) {
      await this.parts.drainHere()
    } else {
      await this.parts.peers.call(asId<IncarnationId>(member.incarnation), 'drain', {})
    }
    answerJson(response, 202, { instanceId: name, state: 'draining' })
  }

  private async getUsage({ response, url }: OperatorRequest): Promise<void> {
    const from = parseTime(url, 'from', 0)
    const to = parseTime(url, 'to', this.parts.clock.wallTime() + 1)
    const report = await readUsage(this.parts.table, { from, to })
    const team = url.searchParams.get('team')
    const lines = report.lines.filter(line => team === null || line.teamId === team)
    answerJson(response, 200, { ...report, from, to, lines })
  }

  /** Every accepted change states the operator who made it, and is therefore its own audit record. */
  private async getAudit({ response, url }: OperatorRequest): Promise<void> {
    const from = parseCount(url, 'from', 0)
    const rows = await this.parts.table.query(tableKeys.CHANGES_PARTITION, {
      after: tableKeys.changeKey(from).sort,
      limit: LARGEST_PAGE,
    })
    answerJson(response, 200, { items: rows.map(row => row.value) })
  }

  private async getWrite({ response }: OperatorRequest, id = ''): Promise<void> {
    const record = await this.parts.store.findWrite(asId<TransactionId>(id))
    if (record === undefined) throw new RackwalkError(ResultCode.ResourceNotFound, `writes/${id}`)
    answerJson(response, 200, { writeId: id, accepted: true, ...record })
  }

  private async getRequest({ response }: OperatorRequest, id = ''): Promise<void> {
    const record = await this.parts.explain(asId<RequestId>(id))
    if (record === undefined) {
      throw new RackwalkError(ResultCode.ResourceNotFound, `requests/${id}`)
    }
    answerJson(response, 200, record)
  }

  private async getAllocations({ response }: OperatorRequest, name = ''): Promise<void> {
    const stored = await this.parts.table.get(tableKeys.budgetKey(asId<BudgetId>(name)))
    if (stored === undefined) {
      throw new RackwalkError(ResultCode.ResourceNotFound, `budgets/${name}`)
    }
    answerJson(response, 200, this.describeBudget(decodeRowValue(budgetRowCodec, stored)))
  }

  private getCrashes({ response }: OperatorRequest): void {
    const { crashes } = this.parts
    const items = crashes.suspects.map(fingerprint => ({
      fingerprint,
      verdict: crashes.verdict(fingerprint),
      ends: crashes.marksOf(fingerprint).map(({ start }) => start),
    }))
    answerJson(response, 200, { items })
  }

  private clearCrash({ response }: OperatorRequest, name = ''): void {
    const fingerprint = asId<RequestFingerprint>(name)
    if (this.parts.crashes.verdict(fingerprint) === 'send') {
      throw new RackwalkError(ResultCode.ResourceNotFound, `crashes/${name}`)
    }
    this.parts.crashes.clear(fingerprint)
    answerJson(response, 200, { fingerprint, cleared: true })
  }

  private describeBudget(row: BudgetRow) {
    const holders = Object.entries(row.holders).map(([incarnation, holding]) => {
      const member = this.parts.membership.find(asId<IncarnationId>(incarnation))
      const isLive = this.parts.membership.isLive(asId<IncarnationId>(incarnation))
      const { region, allocated } = holding
      return { incarnation, instanceId: member?.instanceId, region, allocated, isLive }
    })
    const stranded = holders.filter(holder => !holder.isLive)
    return {
      budgetId: row.budgetId,
      teamId: row.teamId,
      limit: row.limit,
      settled: row.settled,
      allocated: allocatedTokens(row),
      free: freeTokens(row),
      stranded: stranded.reduce((sum, holder) => sum + holder.allocated, 0),
      deleted: row.deleted ?? false,
      holders,
    }
  }

  private watch({ response, url }: OperatorRequest): void {
    const { configuration, clock } = this.parts
    const from = parseCount(url, 'from', configuration.revision)
    const wanted = url.searchParams.get('kinds')?.split(',') ?? RESOURCE_KINDS
    new WatchStream(response, configuration, clock, new Set(wanted), from)
  }

  private async list({ response, url }: OperatorRequest, kind = ''): Promise<void> {
    const page = await this.parts.resources.list(checkKind(kind), parseListQuery(url))
    answerJson(response, 200, page)
  }

  private async get({ response }: OperatorRequest, kind = '', name = ''): Promise<void> {
    const resource = await this.parts.resources.get(checkKind(kind), name)
    this.answerResource(response, 200, resource)
  }

  private async put(incoming: OperatorRequest, kind = '', name = ''): Promise<void> {
    const checked = checkKind(kind)
    const document = await this.readDocument(incoming)
    const options = this.writeOptions(incoming)
    const resource = await this.parts.resources.put(checked, name, document, options)
    this.answerWrite(incoming, resource, options)
  }

  private async patch(incoming: OperatorRequest, kind = '', name = ''): Promise<void> {
    const checked = checkKind(kind)
    const document = await this.readDocument(incoming)
    const options = this.writeOptions(incoming)
    const resource = await this.parts.resources.patch(checked, name, document, options)
    this.answerWrite(incoming, resource, options)
  }

  private async delete(incoming: OperatorRequest, kind = '', name = ''): Promise<void> {
    const options = this.writeOptions(incoming)
    await this.parts.resources.delete(checkKind(kind), name, options)
    answerJson(incoming.response, 200, { writeId: options.writeId, deleted: true })
  }

  private answerWrite({ response }: OperatorRequest, resource: Resource, options: WriteOptions) {
    // Peers learn the new revision from the next heartbeat; this instance need not wait.
    if (!options.dryRun) void this.parts.configuration.catchUp()
    this.answerResource(response, 200, resource, { 'rackwalk-write-id': options.writeId })
  }

  private answerResource(
    response: ServerResponse,
    status: number,
    resource: Resource,
    headers: Record<string, string> = {},
  ): void {
    const { version } = resource.metadata
    const instances = this.parts.rollouts.report(version)
    const reporter = this.parts.membership.self.instanceId
    const document = { ...resource, status: { reporter, instances } }
    answerJson(response, status, document, { ...headers, etag: `"${version}"` })
  }

  private async readDocument({ request }: OperatorRequest): Promise<JsonValue> {
    const { clock, bodies } = this.parts
    const memory = bodies.open()
    const limits = { bytes: MAXIMUM_BODY_BYTES, timeout: BODY_MILLISECONDS, memory }
    try {
      const body = await readBody(request, limits, clock)
      return parseDocument(body)
    } finally {
      memory.release()
    }
  }

  private writeOptions({ operator, request, url }: OperatorRequest): WriteOptions {
    const given = request.headers['rackwalk-write-id']
    if (given !== undefined && !WRITE_ID_PATTERN.test(String(given))) {
      throw new RackwalkError(ResultCode.InvalidResource, 'Rackwalk-Write-Id')
    }
    const writeId =
      given === undefined
        ? this.parts.resources.createWriteId()
        : asId<TransactionId>(`${operator}/${String(given)}`)
    const dryRun = url.searchParams.get('dryRun') === 'true'
    return { operator, writeId, expected: expectedVersion(request), dryRun }
  }
}

function matchPath(pattern: string, path: string): string[] | undefined {
  const wanted = pattern.split('/')
  const given = path.split('/')
  if (wanted.length !== given.length) return undefined
  const names: string[] = []
  for (const [position, part] of wanted.entries()) {
    const value = given[position] ?? ''
    if (part.startsWith('{')) names.push(decodeURIComponent(value))
    else if (part !== value) return undefined
  }
  return names
}

function expectedVersion(request: IncomingMessage): WriteOptions['expected'] {
  if (request.headers['if-none-match'] === '*') return 'absent'
  const match = request.headers['if-match']
  if (match === undefined) return undefined
  const version = Number(match.replaceAll('"', ''))
  if (Number.isInteger(version)) return version
  throw new RackwalkError(ResultCode.InvalidResource, 'If-Match')
}

function checkKind(kind: string): ResourceKind {
  if (isResourceKind(kind)) return kind
  throw new RackwalkError(ResultCode.ResourceNotFound, `no kind ${kind}`)
}

function parseListQuery(url: URL): ListQuery {
  const limit = Math.min(LARGEST_PAGE, Math.max(1, parseCount(url, 'limit', DEFAULT_PAGE)))
  const after = url.searchParams.get('after') ?? undefined
  const selector = url.searchParams.get('labels') ?? ''
  const pairs = selector
    .split(',')
    .filter(part => part !== '')
    .map(part => part.split('='))
  const labels = Object.fromEntries(pairs.map(([name, value]) => [name ?? '', value ?? '']))
  return { limit, after, labels }
}

const countSchema = z.coerce.number().int().nonnegative()

function parseCount(url: URL, name: string, fallback: number): number {
  const text = url.searchParams.get(name)
  if (text === null) return fallback
  const parsed = countSchema.safeParse(text)
  if (parsed.success) return parsed.data
  throw new RackwalkError(ResultCode.InvalidResource, `query ${name}`)
}

/** Parses a time in milliseconds or as an ISO 8601 date. */
function parseTime(url: URL, name: string, fallback: number): number {
  const text = url.searchParams.get(name)
  if (text === null) return fallback
  const time = /^\d+$/.test(text) ? Number(text) : Date.parse(text)
  if (Number.isNaN(time)) throw new RackwalkError(ResultCode.InvalidResource, `query ${name}`)
  return time
}

function parseDocument(body: Buffer): JsonValue {
  try {
    return JSON.parse(body.toString('utf8')) as JsonValue
  } catch {
    throw new RackwalkError(ResultCode.InvalidResource, 'not JSON')
  }
}
