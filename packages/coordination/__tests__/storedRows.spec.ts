import { describe, expect, it } from 'vitest'
import { ResultCode, SeededRandom, VirtualClock, asId } from '@rackwalk/shared'
import type {
  BudgetId,
  FailureDomainId,
  IdempotencyKey,
  IncarnationId,
  InstanceId,
  ModelId,
  RegionId,
  RequestId,
  TeamId,
  TransactionId,
  TransferId,
} from '@rackwalk/shared'
import type { JsonValue, RowKey } from '@rackwalk/stores'
import {
  BudgetStore,
  Claims,
  ConfigurationFollower,
  DemandHoldingPolicy,
  DirectCommitter,
  IncarnationRegistry,
  Journal,
  Lease,
  MEMBER_PARTITION,
  MEMBER_TABLE,
  MemberDirectory,
  MemoryCounters,
  PREPAID_TABLE,
  PrepaidLedger,
  ResourceStore,
  Sealer,
  DecisionArchive,
  StoreClock,
  createBudgetRow,
  createRequestId,
  freeTokens,
  holderRowCodec,
  poolRowCodec,
  readJournal,
  tableKeys,
} from '@rackwalk/coordination'
import type { PeerChannel } from '@rackwalk/coordination'
import { MemoryObjects, MemoryRowStore, MemoryTable } from '@rackwalk/stand-ins'

/**
 * Rows as stored. Instances of different versions share them during a rolling restart, and rows
 * outlive every process, so their text must not change: the snapshots fix what is written, and the
 * `READ` texts, kept from commit 86ceb67, must stay readable.
 */

const TEAM = asId<TeamId>('team')
const BUDGET = asId<BudgetId>('budget')
const WRITER = asId<IncarnationId>('instance-1-first')
const OTHER = asId<IncarnationId>('instance-2-first')
const MODEL = asId<ModelId>('assistant')
const REQUEST = asId<RequestId>('instance-1-first.0.1')

const UNREACHABLE: PeerChannel = { call: () => Promise.reject(new Error('unreachable')) }

async function putRow(table: MemoryTable, key: RowKey, text: string): Promise<void> {
  const value = JSON.parse(text) as JsonValue
  const id = asId<TransactionId>('earlier')
  await table.transact(id, [{ kind: 'put', key, condition: { kind: 'absent' }, value }])
}

async function rowsOf(table: MemoryTable, ...partitions: string[]) {
  const rows = await Promise.all(partitions.map(partition => table.query(partition)))
  return rows.flat().map(({ key, value }) => `${key.partition} | ${key.sort} | ${text(value)}`)
}

function text(value: unknown): string {
  return JSON.stringify(value)
}

function memberDirectory(rows: MemoryRowStore, clock: VirtualClock, events: unknown[] = []) {
  const { store } = rows.connect()
  return new MemberDirectory({
    self: {
      instance: 'instance-1',
      incarnation: 'first',
      region: 'region-a',
      failureDomain: 'domain-a',
      callerAddress: '10.0.0.1:80',
      peerAddress: '10.0.0.1:81',
      loadAddress: '10.0.0.1:82',
      capacity: 40,
    },
    requestsPerSecond: () => 7.123,
    isActive: () => true,
    store,
    storeClock: new StoreClock(clock),
    clock,
    random: new SeededRandom(1),
    heartbeatMilliseconds: 1_000,
    silenceMilliseconds: 3_500,
    partitionWritesPerSecond: 150,
    onStateChange: (member, state) => events.push({ event: 'member_state', member, state }),
    onMalformedRow: () => {},
  })
}

function prepaidLedger(rows: MemoryRowStore, clock: VirtualClock) {
  const { store } = rows.connect()
  return new PrepaidLedger({
    instance: 'instance-1',
    incarnation: 'first',
    store,
    storeClock: new StoreClock(clock),
    clock,
    startedAt: 0,
    policy: new DemandHoldingPolicy(),
    isActive: () => true,
    otherInstances: () => [],
    limits: { writesPerSecond: 600, partitionWritesPerSecond: 150, reserveShare: 0.002 },
    onEvent: () => {},
    onMalformedRow: () => {},
  })
}

function texts(rows: MemoryRowStore, table: string, partition: string): readonly string[] {
  const outcome = rows.read(table, partition)
  if (outcome.kind !== 'rows') throw new Error(outcome.kind)
  return outcome.rows.map(({ key, value }) => `${table} | ${partition} | ${key} | ${value}`)
}

function createJournal(table: MemoryTable, clock: VirtualClock): Journal {
  return new Journal({
    incarnation: WRITER,
    table,
    committer: new DirectCommitter(table),
    random: new SeededRandom(1),
    clock,
    counters: new MemoryCounters(),
  })
}

function createClaims(table: MemoryTable, journal: Journal, clock: VirtualClock): Claims {
  return new Claims({
    incarnation: WRITER,
    table,
    journal,
    peers: UNREACHABLE,
    clock,
    counters: new MemoryCounters(),
    isLive: () => false,
    timeoutMilliseconds: 500,
  })
}

function createFollower(table: MemoryTable): ConfigurationFollower {
  return new ConfigurationFollower({
    table,
    peers: UNREACHABLE,
    counters: new MemoryCounters(),
    kinds: ['teams'],
    peersToAsk: () => [],
  })
}

const RECORD = {
  instanceId: asId<InstanceId>('instance-1'),
  incarnation: WRITER,
  region: asId<RegionId>('region-a'),
  failureDomain: asId<FailureDomainId>('domain-a'),
  peerAddress: '10.0.0.1:81',
}

const SETTLE = {
  kind: 'settle',
  budgetId: BUDGET,
  teamId: TEAM,
  billKey: asId<IdempotencyKey>('key'),
  requestId: REQUEST,
  modelId: MODEL,
  promptTokens: 10,
  generatedTokens: 5,
  billedTokens: 15,
  creditedTokens: 0,
  code: ResultCode.Ok,
  endedAt: 1_234,
} as const

describe('rows of the gateway kind, as written', () => {
  it('tell of a member', async () => {
    const clock = new VirtualClock()
    const rows = new MemoryRowStore(clock)
    memberDirectory(rows, clock).start()
    await clock.advance(20)
    expect(texts(rows, MEMBER_TABLE, MEMBER_PARTITION)).toMatchSnapshot()
  })

  it('tell of a prepaid budget: its pool and a holder', async () => {
    const clock = new VirtualClock()
    const rows = new MemoryRowStore(clock)
    const ledger = prepaidLedger(rows, clock)
    ledger.configure([{ budget: BUDGET, limit: 100_000 }], 3)
    ledger.start()
    await clock.advance(1_000)
    void ledger.reserve(BUDGET, 700, 100)
    await clock.advance(1_000)
    expect(texts(rows, PREPAID_TABLE, BUDGET)).toMatchSnapshot()
  })
})

describe('rows of the gateway kind, as commit 86ceb67 wrote them', () => {
  const MEMBER_READ =
    '{"instance":"instance-9","incarnation":"ab12cd34","region":"region-a","failureDomain":"domain-b",' +
    '"callerAddress":"10.0.0.9:80","peerAddress":"10.0.0.9:81","loadAddress":"10.0.0.9:82",' +
    '"capacity":101.25,"requestsPerSecond":7.1,"state":"serving","heartbeat":12,' +
    '"renewalMilliseconds":1000}'
  const POOL_READ = '{"limit":99800,"configurationVersion":3,"settled":1200,"allocated":50000}'
  const HOLDER_READ =
    '{"incarnation":"first","sequence":7,"granted":50000,"committed":700,"base":52000,' +
    '"strictRate":12,"strictMilliseconds":2000,"cutBurst":560,"cutRate":90,' +
    '"demandPerSecond":33,"wanted":0}'

  it('tell of a member', () => {
    const clock = new VirtualClock()
    const directory = memberDirectory(new MemoryRowStore(clock), clock)
    const address = { table: MEMBER_TABLE, partition: MEMBER_PARTITION, key: 'instance-9' }
    directory.observe([{ ...address, value: MEMBER_READ, version: 5 }], true)
    expect(directory.others).toMatchSnapshot()
  })

  it('tell of a pool and a holder', () => {
    expect(poolRowCodec.decode(POOL_READ)).toMatchSnapshot()
    expect(holderRowCodec.decode(HOLDER_READ)).toMatchSnapshot()
  })

  it('are what the next incarnation takes over', async () => {
    const clock = new VirtualClock()
    const rows = new MemoryRowStore(clock)
    rows.put(PREPAID_TABLE, 'pool', POOL_READ, BUDGET)
    rows.put(PREPAID_TABLE, 'holder/instance-1', HOLDER_READ.replace('first', 'dead'), BUDGET)
    const ledger = prepaidLedger(rows, clock)
    ledger.configure([{ budget: BUDGET, limit: 100_000 }], 3)
    ledger.start()
    await clock.advance(1_000)
    expect(texts(rows, PREPAID_TABLE, BUDGET)).toMatchSnapshot()
  })
})

describe('rows of the OpenAI-style kind, as written', () => {
  it('tell of a budget and of the holding that an exchange began', async () => {
    const table = new MemoryTable()
    const row = createBudgetRow(BUDGET, TEAM, 100_000)
    await putRow(table, tableKeys.budgetKey(BUDGET), text(row))
    const store = new BudgetStore(table, new SeededRandom(1), new MemoryCounters())
    const request = {
      incarnation: WRITER,
      region: RECORD.region,
      exchange: 1,
      foldThrough: 0,
      spent: 0,
      transfers: [],
      returned: 0,
      wanted: 40_000,
    }
    await store.exchange(BUDGET, request, false)
    const partitions = [tableKeys.BUDGETS_PARTITION, tableKeys.holdingPartition(WRITER)]
    expect(await rowsOf(table, ...partitions)).toMatchSnapshot()
  })

  it('tell of claims and of journal segments', async () => {
    const table = new MemoryTable()
    const clock = new VirtualClock()
    const journal = createJournal(table, clock)
    const claims = createClaims(table, journal, clock)
    const keys = ['running', 'done', 'released'].map(name => asId<IdempotencyKey>(name))
    const claimed = keys.map(key => claims.claim(TEAM, key, REQUEST))
    await journal.flush()
    const [, done, released] = await Promise.all(claimed)
    if (done?.kind !== 'claimed' || released?.kind !== 'claimed') throw new Error('not claimed')
    journal.append({ entry: SETTLE, attachment: claims.completion(done.claim, ResultCode.Ok) })
    claims.release(released.claim)
    const lend = { budgetId: BUDGET, borrower: OTHER, tokens: 300 }
    const transferId = asId<TransferId>('transfer-1')
    journal.append({ entry: { kind: 'lend', transferId, ...lend } })
    await journal.flush()
    const partitions = [`claim/${TEAM}`, tableKeys.journalPartition(WRITER)]
    expect(await rowsOf(table, ...partitions)).toMatchSnapshot()
  })

  it('tell of incarnations, of one that is sealed, and of its seal', async () => {
    const table = new MemoryTable()
    const random = new SeededRandom(1)
    const registry = new IncarnationRegistry(table, random)
    await registry.register(RECORD)
    const sealer = new Sealer({
      incarnation: OTHER,
      table,
      registry,
      peers: UNREACHABLE,
      random,
      counters: new MemoryCounters(),
      isConfirmedDead: () => true,
    })
    expect(await sealer.seal(RECORD)).toBe('sealed')
    const { INCARNATIONS_PARTITION, SEALING_PARTITION, journalPartition } = tableKeys
    const partitions = [INCARNATIONS_PARTITION, SEALING_PARTITION, journalPartition(WRITER)]
    expect(await rowsOf(table, ...partitions)).toMatchSnapshot()
  })

  it('tell of resources, of their changes and of accepted writes', async () => {
    const table = new MemoryTable()
    const store = new ResourceStore(table, new VirtualClock(), new SeededRandom(1))
    const write = { operator: 'operator', kind: 'teams', name: 'team' }
    const content = { spec: { budget: 'budget' }, labels: { site: 'north' } }
    const first = asId<TransactionId>('write-1')
    const second = asId<TransactionId>('write-2')
    await store.write({ ...write, writeId: first, expected: 'absent', content })
    const before = await rowsOf(table, 'resources/teams')
    await store.write({ ...write, writeId: second, expected: 1, content: undefined })
    const after = await rowsOf(table, 'resources/teams', tableKeys.CHANGES_PARTITION, 'writes')
    expect({ before, after }).toMatchSnapshot()
  })

  it('tell of a lease', async () => {
    const table = new MemoryTable()
    const lease = new Lease({
      name: 'planner',
      incarnation: WRITER,
      table,
      clock: new VirtualClock(),
      random: new SeededRandom(1),
      durationMilliseconds: 1_000,
    })
    await lease.acquireOrRenew()
    expect(await rowsOf(table, tableKeys.LEASES_PARTITION)).toMatchSnapshot()
  })

  it('tell of decisions, in segments of the object store', async () => {
    const objects = new MemoryObjects()
    const archive = new DecisionArchive(objects, new VirtualClock(), WRITER)
    const requestId = createRequestId(WRITER, 0, 1)
    archive.add({ requestId, record: { requestId, code: 0, routing: [] } })
    await archive.writeDue(true)
    const keys = await objects.list('', 10)
    const bodies = await Promise.all(keys.map(key => objects.get(key)))
    expect({ keys, bodies: bodies.map(String) }).toMatchSnapshot()
  })
})

describe('rows of the OpenAI-style kind, as commit 86ceb67 wrote them', () => {
  it('tell of a budget', async () => {
    const table = new MemoryTable()
    const BUDGET_READ =
      '{"budgetId":"budget","teamId":"team","limit":100000,"settled":2500,"holders":{' +
      '"instance-1-first":{"region":"region-a","allocated":40000,"exchange":3,' +
      '"lastGranted":40000,"foldedIndex":9},' +
      '"instance-3-first":{"region":"region-a","allocated":-20,"exchange":1,"lastGranted":10,' +
      '"foldedIndex":2,"sealed":true}}}'
    await putRow(table, tableKeys.budgetKey(BUDGET), BUDGET_READ)
    const store = new BudgetStore(table, new SeededRandom(1), new MemoryCounters())
    const row = await store.read(BUDGET)
    expect(row).toMatchSnapshot()
    expect(row === undefined ? undefined : freeTokens(row)).toBe(57_520)
  })

  it('tell of a claim that ran, one that was released and one of a dead instance', async () => {
    const table = new MemoryTable()
    const clock = new VirtualClock()
    const journal = createJournal(table, clock)
    const claims = createClaims(table, journal, clock)
    const read = (state: string, more = '') =>
      `{"state":"${state}","incarnation":"instance-2-first","requestId":"r-1","claimedAt":5${more}}`
    const outcomes = []
    for (const [name, row] of [
      ['ran', read('done', ',"code":4007')],
      ['released', read('released')],
      ['dead', read('claimed')],
    ] as const) {
      const key = asId<IdempotencyKey>(name)
      await putRow(table, tableKeys.claimKey(TEAM, key), row)
      const claimed = claims.claim(TEAM, key, REQUEST)
      await journal.flush()
      await clock.advance(0)
      await journal.flush()
      outcomes.push(await claimed)
    }
    expect(outcomes).toMatchSnapshot()
  })

  it('tell of a journal', async () => {
    const table = new MemoryTable()
    const BATCH_READ =
      '{"kind":"batch","entries":[{"index":1},{"index":2,"entry":{"kind":"settle",' +
      '"budgetId":"budget","teamId":"team","billKey":"key","requestId":"r-1","modelId":"assistant",' +
      '"promptTokens":10,"generatedTokens":5,"billedTokens":15,"creditedTokens":0,"code":0,' +
      '"endedAt":1234}},{"index":3,"entry":{"kind":"lend","budgetId":"budget",' +
      '"transferId":"transfer-1","borrower":"instance-2-first","tokens":300}}]}'
    const SEAL_READ = '{"kind":"seal","sealedBy":"instance-2-first","entries":[]}'
    await putRow(table, tableKeys.journalSlotKey(WRITER, 1), BATCH_READ)
    await putRow(table, tableKeys.journalSlotKey(WRITER, 2), SEAL_READ)
    expect(await readJournal(table, WRITER)).toMatchSnapshot()
  })

  it('tell of incarnations', async () => {
    const table = new MemoryTable()
    const INCARNATION_READ =
      '{"instanceId":"instance-1","incarnation":"instance-1-first","region":"region-a",' +
      '"failureDomain":"domain-a","peerAddress":"10.0.0.1:81"}'
    await putRow(table, tableKeys.incarnationKey(WRITER), INCARNATION_READ)
    expect(await new IncarnationRegistry(table, new SeededRandom(1)).list()).toEqual([RECORD])
  })

  it('tell of resources and of changes', async () => {
    const table = new MemoryTable()
    const resource = (version: number) =>
      `{"kind":"teams","metadata":{"name":"team","version":${version},"labels":{"site":"north"},` +
      '"createdAt":7},"spec":{"budget":"budget"}}'
    const change = (revision: number) =>
      `{"revision":${revision},"kind":"teams","name":"team","resource":${resource(revision)},` +
      '"writeId":"write-1","operator":"operator","at":8}'
    await putRow(table, { partition: 'resources/teams', sort: 'team' }, resource(1))
    await putRow(table, tableKeys.changeKey(1), change(1))
    const follower = createFollower(table)
    await follower.catchUp()
    await putRow(table, tableKeys.changeKey(2), change(2))
    await follower.catchUp()
    expect(follower.list('teams')).toMatchSnapshot()
    expect(follower.changesSince(0)).toMatchSnapshot()
  })

  it('tell who holds a lease', async () => {
    const table = new MemoryTable()
    await putRow(table, tableKeys.leaseKey('planner'), '{"holder":"instance-1-first","epoch":4}')
    const lease = new Lease({
      name: 'planner',
      incarnation: WRITER,
      table,
      clock: new VirtualClock(),
      random: new SeededRandom(1),
      durationMilliseconds: 1_000,
    })
    expect(await lease.acquireOrRenew()).toBe(4)
  })

  it('tell of decisions', async () => {
    const objects = new MemoryObjects()
    const line = '{"requestId":"instance-1-first.0.1","record":{"code":0,"routing":[]}}'
    await objects.put('decisions/instance-1-first/00000000000000-1', Buffer.from(line))
    const archive = new DecisionArchive(objects, new VirtualClock(), OTHER)
    expect(await archive.findWritten(REQUEST)).toEqual({ code: 0, routing: [] })
  })
})
