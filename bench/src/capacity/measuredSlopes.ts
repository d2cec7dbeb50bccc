/** Measures the slopes of the OpenAI-style kind in this process. */

import { RackwalkError, ResultCode, SeededRandom, VirtualClock, asId } from '@rackwalk/shared'
import type {
  BudgetId,
  EndpointId,
  FailureDomainId,
  IdempotencyKey,
  IncarnationId,
  InstanceId,
  ModelId,
  RegionId,
  RequestId,
  TeamId,
  TransactionId,
} from '@rackwalk/shared'
import type { JsonValue } from '@rackwalk/stores'
import {
  BudgetLedger,
  BudgetStore,
  ConfigurationFollower,
  DirectCommitter,
  Journal,
  Membership,
  MemoryCounters,
  DecisionArchive,
  CostWeightedPolicy,
  createBudgetRow,
  tableKeys,
} from '@rackwalk/coordination'
import type { GroupDigest, MemberInfo, PeerChannel, SettleEntry } from '@rackwalk/coordination'
import { EndpointTable, createRoutingPolicy, prefixHashes } from '@rackwalk/router'
import type { ConfiguredEndpoint } from '@rackwalk/router'
import { MemoryObjects, MemoryTable } from '@rackwalk/stand-ins'
import { heapBytesOf, medianMicroseconds, slopeOverSizes } from './slope.js'
import type { Slope } from './slope.js'

/** Slopes of the OpenAI-style kind for docs/CAPACITY.md. Times in microseconds, memory in bytes. */
export interface MeasuredSlopes {
  readonly heartbeatRound: Slope
  readonly heartbeatBytes: number
  readonly digestBytes: Slope
  readonly memberHeap: Slope
  readonly budgetMaintain: Slope
  readonly budgetHeap: Slope
  readonly routingDecision: Slope
  readonly endpointHeap: Slope
  readonly changeApplied: Slope
  readonly resourceHeap: Slope
  readonly journalEntry: Slope
  readonly journalEntryBytes: number
  readonly backlogHeap: Slope
  readonly recordAdded: Slope
  readonly recordHeap: Slope
  readonly recordBytes: number
}

const SELF = asId<IncarnationId>('instance-0-0a1b2c3d')
const UNREACHABLE: PeerChannel = { call: () => Promise.reject(new Error('unreachable')) }
const DOMAINS_PER_REGION = 4
const MODEL = asId<ModelId>('assistant')

/** Measures all slopes one after another. */
export async function measureSlopes(): Promise<MeasuredSlopes> {
  return {
    heartbeatRound: await slopeOverSizes([8, 90, 180, 360], measureHeartbeatRound),
    heartbeatBytes: JSON.stringify({ sender: member(0, 1), digests: [] }).length,
    digestBytes: await slopeOverSizes([2, 12, 24], async groups => {
      const membership = createMembership(15, 1)
      membership.mergeDigests(Array.from({ length: groups - 1 }, (_, n) => digestOf(n)))
      return JSON.stringify(membership.digests()).length
    }),
    memberHeap: await slopeOverSizes([90, 360, 1_440], size =>
      heapBytesOf(() => createMembership(size, 24)),
    ),
    budgetMaintain: await slopeOverSizes([300, 1_000, 3_000], async size => {
      const ledger = await createLedger(size)
      return medianMicroseconds(() => ledger.maintain(), 5)
    }),
    budgetHeap: await slopeOverSizes([300, 1_000, 3_000], measureBudgetHeap),
    routingDecision: await slopeOverSizes([10, 40, 160], measureRoutingDecision),
    endpointHeap: await slopeOverSizes([10, 40, 160], size =>
      heapBytesOf(() => createEndpointTable(size, PREFIXES_KEPT)),
    ),
    changeApplied: await slopeOverSizes([1_000, 2_000, 4_000], measureChanges),
    resourceHeap: await slopeOverSizes([1_000, 2_000, 4_000], size =>
      heapBytesOf(() => createFollower(size)),
    ),
    journalEntry: await slopeOverSizes([1_000, 4_000, 16_000], measureJournal),
    journalEntryBytes: JSON.stringify({ index: 1_000_000, entry: settleEntry(0) }).length,
    backlogHeap: await slopeOverSizes([1_000, 4_000, 16_000], size =>
      heapBytesOf(() => createJournal(size)),
    ),
    recordAdded: await slopeOverSizes([1_000, 4_000, 16_000], async size => {
      const archive = createArchive(0)
      return (await medianMicroseconds(() => fillArchive(archive, size), 1, 5)) as number
    }),
    recordHeap: await slopeOverSizes([1_000, 4_000, 16_000], size =>
      heapBytesOf(() => createArchive(size)),
    ),
    recordBytes: JSON.stringify(decisionRecord(0)).length,
  }
}

/** Prompts whose blocks an endpoint's prefix index holds in the heap measurement. */
const PREFIXES_KEPT = 300

function member(number: number, groups: number): MemberInfo {
  const domain = number % Math.max(1, groups)
  return {
    instanceId: asId<InstanceId>(`instance-${number}`),
    incarnation: asId<IncarnationId>(`instance-${number}-0a1b2c3d`),
    region: asId<RegionId>(`region-${Math.floor(domain / DOMAINS_PER_REGION)}`),
    failureDomain: asId<FailureDomainId>(`domain-${domain}`),
    peerAddress: '10.20.30.40:7070',
    callerAddress: '10.20.30.40:8080',
    operatorAddress: '10.20.30.40:8090',
    state: 'serving',
    heartbeat: 1_000,
    inFlight: 10,
    configurationRevision: 1_000_000,
    leavingEndpoints: [],
  }
}

function createMembership(size: number, groups: number): Membership {
  const self = member(0, groups)
  const membership = new Membership(self, () => self, new VirtualClock(), new SeededRandom(1))
  for (let number = 1; number < size; number += 1) membership.mergeMember(member(number, groups))
  return membership
}

function digestOf(number: number): GroupDigest {
  const group = `domain-far-${number}`
  return { group, beat: 1_000_000, membersHash: 'abcdefghijkl', configurationRevision: 1_000_000 }
}

/** Measures planning a round, encoding it, and merging the heartbeats of group members. */
async function measureHeartbeatRound(size: number): Promise<number> {
  const groups = Math.max(1, Math.round(size / 15))
  const membership = createMembership(size, groups)
  let heartbeat = 1_000
  return medianMicroseconds(() => {
    heartbeat += 1
    const planned = membership.planHeartbeats()
    for (const { digests } of planned) JSON.stringify({ sender: membership.self, digests })
    for (const { target } of planned) {
      const known = membership.find(target)
      if (known === undefined) continue
      const sent = JSON.stringify({ ...known, heartbeat })
      membership.mergeMember(JSON.parse(sent) as MemberInfo)
    }
  }, 20)
}

async function createLedger(size: number): Promise<BudgetLedger> {
  const clock = new VirtualClock()
  const random = new SeededRandom(1)
  const counters = new MemoryCounters()
  const table = new MemoryTable()
  const budgets = Array.from({ length: size }, (_, n) => asId<BudgetId>(`budget-${n}`))
  for (const budgetId of budgets) {
    const row = createBudgetRow(budgetId, asId<TeamId>('team'), 1_000_000)
    const key = tableKeys.budgetKey(budgetId)
    await table.transact(asId<TransactionId>('create'), [
      { kind: 'put', key, condition: { kind: 'absent' }, value: row as unknown as JsonValue },
    ])
  }
  const ledger = new BudgetLedger({
    incarnation: SELF,
    region: asId<RegionId>('region-0'),
    store: new BudgetStore(table, random, counters),
    journal: createJournal(0),
    peers: UNREACHABLE,
    clock,
    random,
    counters,
    policy: new CostWeightedPolicy({ overspend: 1, falseRefusal: 1 }),
    liveIncarnations: () => [SELF],
    onSealed: () => undefined,
  })
  await ledger.preallocate(budgets)
  return ledger
}

/** Subtracts the heap of the in-memory table's rows, which an instance does not hold. */
async function measureBudgetHeap(size: number): Promise<number> {
  const rows = await heapBytesOf(async () => {
    const table = new MemoryTable()
    for (let n = 0; n < size; n += 1) {
      const row = createBudgetRow(asId<BudgetId>(`budget-${n}`), asId<TeamId>('team'), 1_000_000)
      const key = { partition: 'budgets', sort: `budget-${n}` }
      await table.transact(asId<TransactionId>('create'), [
        { kind: 'put', key, condition: { kind: 'absent' }, value: row as unknown as JsonValue },
      ])
    }
    return table
  })
  return (await heapBytesOf(() => createLedger(size))) - rows
}

function createEndpointTable(size: number, prompts: number): EndpointTable {
  const endpoints: readonly ConfiguredEndpoint[] = Array.from({ length: size }, (_, n) => ({
    endpointId: asId<EndpointId>(`engine-${n}`),
    spec: {
      kind: 'model',
      address: 'http://10.20.30.40:8000',
      models: [MODEL],
      maximumInFlight: 64,
      prefillTokensPerSecond: 8_000,
      checksOrders: true,
    },
  }))
  const find = (id: EndpointId) => endpoints.find(({ endpointId }) => endpointId === id)
  const table = new EndpointTable(
    { endpoints, findEndpoint: find, isEvacuated: () => false },
    new VirtualClock(),
    { allows: () => true, refusalOf: () => undefined },
    () => undefined,
  )
  const report = { running: 10, waiting: 0, cacheUse: 0, leaving: false, queuedPromptTokens: 0 }
  for (const { endpointId } of endpoints) {
    table.noteReport(endpointId, report, 0)
    for (let prompt = 0; prompt < prompts; prompt += 1) {
      const text = Buffer.alloc(8_192, `prompt ${endpointId} ${prompt} `)
      table.prefixes.noteSent(endpointId, prefixHashes(text))
    }
  }
  return table
}

async function measureRoutingDecision(size: number): Promise<number> {
  const table = createEndpointTable(size, 10)
  const policy = createRoutingPolicy('expected-first-token')
  const random = new SeededRandom(1)
  const prompt = Buffer.alloc(8_192, 'prompt engine-3 4 ')
  const demand = { promptTokens: 2_048, instances: 360 }
  return medianMicroseconds(() => {
    const views = table.modelCandidates(MODEL, prefixHashes(prompt))
    policy.choose(views, demand, random)
  }, 200)
}

async function configuredTable(size: number): Promise<MemoryTable> {
  const table = new MemoryTable()
  for (let revision = 1; revision <= size; revision += 1) {
    const name = `team-${revision}`
    const spec = { budget: name, keyHashes: ['a'.repeat(64)], weight: 1 }
    const metadata = { name, version: revision, labels: {}, createdAt: 1 }
    const resource = { kind: 'teams', metadata, spec }
    const change = { revision, kind: 'teams', name, resource, writeId: 'w', operator: 'o', at: 1 }
    const key = tableKeys.changeKey(revision)
    await table.transact(asId<TransactionId>('w'), [
      { kind: 'put', key, condition: { kind: 'absent' }, value: change },
    ])
  }
  return table
}

async function createFollower(size: number): Promise<ConfigurationFollower> {
  const full = await configuredTable(size)
  const changes = (await full.query('changes')).map(row => row.value)
  // The changes come in a peer's message, so that the follower applies them one by one.
  const channel = { call: async () => ({ changes }) }
  const follower = new ConfigurationFollower({
    table: unavailableTable(),
    peers: channel as unknown as PeerChannel,
    counters: new MemoryCounters(),
    kinds: ['teams'],
    peersToAsk: () => [SELF],
  })
  await follower.catchUp()
  return follower
}

async function measureChanges(size: number): Promise<number> {
  return medianMicroseconds(() => createFollower(size), 1, 5)
}

function unavailableTable(): MemoryTable {
  const table = new MemoryTable()
  table.query = () => Promise.reject(new RackwalkError(ResultCode.PlatformUnavailable))
  return table
}

function createJournal(size: number): Journal {
  const journal = new Journal({
    incarnation: SELF,
    table: new MemoryTable(),
    committer: new DirectCommitter(new MemoryTable()),
    random: new SeededRandom(1),
    clock: new VirtualClock(),
    counters: new MemoryCounters(),
  })
  for (let n = 0; n < size; n += 1) journal.append({ entry: settleEntry(n) })
  return journal
}

async function measureJournal(size: number): Promise<number> {
  return medianMicroseconds(
    async () => {
      const journal = createJournal(size)
      while (journal.backlog > 0) await journal.flush()
    },
    1,
    5,
  )
}

function settleEntry(number: number): SettleEntry {
  return {
    kind: 'settle',
    budgetId: asId<BudgetId>('budget-123456'),
    teamId: asId<TeamId>('team-123'),
    billKey: asId<IdempotencyKey>(`instance-123-0a1b2c3d.mx5y2ssw.${number}`),
    requestId: asId<RequestId>(`instance-123-0a1b2c3d.mx5y2ssw.${number}`),
    modelId: MODEL,
    promptTokens: 1_234,
    generatedTokens: 567,
    billedTokens: 1_801,
    creditedTokens: 0,
    code: ResultCode.Ok,
    endedAt: 1_790_000_000_000,
  }
}

function createArchive(size: number): DecisionArchive {
  const archive = new DecisionArchive(new MemoryObjects(), new VirtualClock(), SELF)
  fillArchive(archive, size)
  return archive
}

function fillArchive(archive: DecisionArchive, size: number): void {
  for (let n = 0; n < size; n += 1) {
    const record = decisionRecord(n)
    archive.add({ requestId: asId<RequestId>(record.requestId), record })
  }
}

function decisionRecord(number: number) {
  const compared = [1, 2, 3, 4].map(n => ({ endpointId: `engine-${n}`, score: 123.456 }))
  const routing = [
    { policy: 'expected-first-token', endpointId: 'engine-1', outcome: 'status 200', compared },
  ]
  const allocation = {
    limit: 1e6,
    settled: 1e5,
    free: 1e5,
    available: 1e4,
    reserved: 1e3,
    grantedTotal: 1e5,
    ratePerSecond: 12.3456,
    idleMilliseconds: 1_234,
    instances: 360,
  }
  const entry = settleEntry(number)
  return {
    ...entry,
    instanceId: SELF as string,
    receivedAt: 1_790_000_000_000,
    target: 'assistant',
    repeatable: true,
    priority: 1,
    queuedMilliseconds: 0,
    allocation,
    reservedTokens: 6_000,
    routing,
    billDurability: 'durable',
    firstByteMilliseconds: 123.4,
    totalMilliseconds: 4_567.8,
    execution: 'ran',
  }
}
