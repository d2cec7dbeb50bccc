import { describe, expect, it } from 'vitest'
import { RackwalkError, ResultCode, SeededRandom, VirtualClock, asId } from '@rackwalk/shared'
import type {
  BudgetId,
  FailureDomainId,
  IdempotencyKey,
  IncarnationId,
  InstanceId,
  RegionId,
  RequestId,
  TeamId,
  TransactionId,
} from '@rackwalk/shared'
import type { JsonValue, TableService } from '@rackwalk/stores'
import {
  CoordinationNode,
  MemoryCounters,
  CostWeightedPolicy,
  createBudgetRow,
  tableKeys,
} from '@rackwalk/coordination'
import type { PeerChannel, PeerMessageKind, PeerRequest } from '@rackwalk/coordination'
import { MemoryObjects, MemoryTable } from '@rackwalk/stand-ins'

/**
 * Messages between instances of the OpenAI-style kind, as JSON. Two versions run side by side
 * during a rolling restart, so the texts must not change: what the senders write is compared with
 * snapshots, and the texts of `READ`, kept from commit 86ceb67, must get the same answers.
 */

const TEAM = asId<TeamId>('team')
const BUDGET = asId<BudgetId>('budget')
const KEY = asId<IdempotencyKey>('key')
const REQUEST = asId<RequestId>('instance-1-first.0.1')
const REGION = asId<RegionId>('region-a')

interface Wiretap {
  readonly requests: Map<PeerMessageKind, string>
  readonly replies: Map<PeerMessageKind, string>
}

/** Nodes that communicate through JSON text; the first message of each kind is recorded. */
class Fleet {
  readonly clock = new VirtualClock()
  readonly table = new MemoryTable()
  readonly tap: Wiretap = { requests: new Map(), replies: new Map() }
  readonly nodes = new Map<IncarnationId, CoordinationNode>()
  isTableUnavailable = false

  add(number: number, domain: string): CoordinationNode {
    const incarnation = asId<IncarnationId>(`instance-${number}-first`)
    const node = new CoordinationNode({
      identity: {
        instanceId: asId<InstanceId>(`instance-${number}`),
        incarnation,
        region: REGION,
        failureDomain: asId<FailureDomainId>(domain),
        peerAddress: `10.0.0.${number}:81`,
        callerAddress: `10.0.0.${number}:80`,
        operatorAddress: `10.0.0.${number}:82`,
      },
      table: this.failingTable(),
      objects: new MemoryObjects(),
      instances: { list: () => Promise.resolve([]) },
      peers: this.channel(),
      clock: this.clock,
      random: new SeededRandom(number),
      counters: new MemoryCounters(),
      policy: new CostWeightedPolicy({ overspend: 1, falseRefusal: 1 }),
      resourceKinds: ['teams'],
      requiredReplicas: 1,
      leavingEndpoints: () => ['engine-1'],
      onSealed: () => {},
      onFault: error => {
        throw error
      },
    })
    this.nodes.set(incarnation, node)
    node.start()
    return node
  }

  /** Starts nodes that know each other and are registered. */
  async start(count: number): Promise<readonly CoordinationNode[]> {
    const nodes = Array.from({ length: count }, (_, index) =>
      this.add(index + 1, `domain-${index % 2}`),
    )
    for (const node of nodes)
      for (const other of nodes) node.membership.mergeMember(other.describe())
    await this.clock.advance(1_500)
    return nodes
  }

  stop(): void {
    for (const node of this.nodes.values()) node.stop()
  }

  private channel(): PeerChannel {
    return {
      call: async (target, kind, request) => {
        const node = this.nodes.get(target)
        const sent = JSON.stringify(request)
        if (!this.tap.requests.has(kind)) this.tap.requests.set(kind, sent)
        const reply = JSON.stringify(await answer(node, kind, sent))
        if (!this.tap.replies.has(kind)) this.tap.replies.set(kind, reply)
        return JSON.parse(reply) as never
      },
    }
  }

  private failingTable(): TableService {
    const { table } = this
    const check = () => {
      if (this.isTableUnavailable) throw new RackwalkError(ResultCode.PlatformUnavailable)
    }
    return {
      get: async key => (check(), table.get(key)),
      query: async (partition, range) => (check(), table.query(partition, range)),
      transact: async (id, writes) => (check(), table.transact(id, writes)),
      transactMany: async parts => (check(), table.transactMany(parts)),
    }
  }
}

async function answer(node: CoordinationNode | undefined, kind: PeerMessageKind, text: string) {
  const handler = node?.handlers[kind] as ((request: unknown) => unknown) | undefined
  if (handler === undefined) throw new Error(`no handler for ${kind}`)
  return handler(JSON.parse(text))
}

const SETTLE = {
  kind: 'settle',
  budgetId: BUDGET,
  teamId: TEAM,
  billKey: KEY,
  requestId: REQUEST,
  promptTokens: 10,
  generatedTokens: 5,
  billedTokens: 15,
  creditedTokens: 0,
  code: ResultCode.Ok,
  endedAt: 1_234,
} as const

async function putBudget(table: MemoryTable, limit: number): Promise<void> {
  const value = createBudgetRow(BUDGET, TEAM, limit) as unknown as JsonValue
  const key = tableKeys.budgetKey(BUDGET)
  const id = asId<TransactionId>('operator')
  await table.transact(id, [{ kind: 'put', key, condition: { kind: 'absent' }, value }])
}

function register(incarnation: IncarnationId, requestId: RequestId): PeerRequest<'registerKey'> {
  return { teamId: TEAM, key: KEY, incarnation, requestId, fingerprint: 'print', repeatable: true }
}

/** Advances the clock until a call has settled. */
async function run<Outcome>(fleet: Fleet, call: Promise<Outcome>): Promise<Outcome> {
  let isOver = false
  const watched = call.finally(() => (isOver = true))
  watched.catch(() => {})
  while (!isOver) await fleet.clock.advance(50)
  return watched
}

describe('messages between instances, as senders write them', () => {
  it('are heartbeats, loans, keys, claims, copies and questions for the configuration', async () => {
    const fleet = new Fleet()
    await putBudget(fleet.table, 10_000)
    const [first, second] = await fleet.start(2)
    if (first === undefined || second === undefined) throw new Error('no nodes')

    await run(fleet, first.ledger.reserve(BUDGET, 1))
    await run(fleet, second.ledger.reserve(BUDGET, 6_000))

    for (const node of [first, second]) {
      const request = register(node.incarnation, asId<RequestId>(`${node.incarnation}.0.1`))
      await run(fleet, node.keys.register(request))
    }
    const end = { teamId: TEAM, key: KEY, requestId: REQUEST, complete: true, billedTokens: 15 }
    for (const node of [first, second]) await run(fleet, node.keys.end(end))

    const claimKey = asId<IdempotencyKey>('once')
    await run(fleet, first.claims.claim(TEAM, claimKey, REQUEST))
    await run(fleet, second.claims.claim(TEAM, claimKey, asId<RequestId>('instance-2-first.0.2')))

    fleet.isTableUnavailable = true
    first.journal.append({ entry: SETTLE })
    await fleet.clock.advance(5_000)
    fleet.isTableUnavailable = false
    await fleet.clock.advance(3_000)
    fleet.stop()
    const { requests, replies } = fleet.tap
    expect(Object.fromEntries([...requests].sort())).toMatchSnapshot('requests')
    expect(Object.fromEntries([...replies].sort())).toMatchSnapshot('replies')
  })

  it('are batches for the committer of a failure domain in a fleet of sixteen', async () => {
    const fleet = new Fleet()
    const nodes = await fleet.start(16)
    for (const node of nodes) node.journal.append({ entry: SETTLE })
    await fleet.clock.advance(1_000)
    fleet.stop()
    expect(fleet.tap.requests.get('commitBatch')).toMatchSnapshot('request')
    expect(fleet.tap.replies.get('commitBatch')).toMatchSnapshot('reply')
  })
})

describe('messages between instances, as commit 86ceb67 wrote them', () => {
  const MEMBER =
    '{"instanceId":"instance-9","incarnation":"instance-9-first","region":"region-a",' +
    '"failureDomain":"domain-1","peerAddress":"10.0.0.9:81","callerAddress":"10.0.0.9:80",' +
    '"operatorAddress":"10.0.0.9:82","state":"serving","heartbeat":3,"inFlight":2,' +
    '"configurationRevision":0,"leavingEndpoints":[]}'
  const DIGEST =
    '{"group":"region-b","beat":4,"membersHash":"2jmj7l5rSw0y","configurationRevision":0}'
  const ITEM =
    '{"index":1,"entry":{"kind":"settle","budgetId":"budget","teamId":"team","billKey":"key",' +
    '"requestId":"r-1","promptTokens":10,"generatedTokens":5,"billedTokens":15,' +
    '"creditedTokens":0,"code":0,"endedAt":1234},"attachment":{"kind":"put",' +
    '"key":{"partition":"claim/team","sort":"key"},"condition":{"kind":"version","version":1},' +
    '"value":{"state":"done"}}}'
  const KEY_FIELDS = '"teamId":"team","key":"key"'
  const READ: readonly (readonly [PeerMessageKind, string])[] = [
    ['heartbeat', `{"sender":${MEMBER},"digests":[${DIGEST}]}`],
    ['members', '{"group":"region-a"}'],
    ['hold', `{"writer":"instance-9-first","items":[${ITEM}]}`],
    ['releaseHeld', '{"writer":"instance-9-first","throughIndex":0}'],
    ['collectHeld', '{"writer":"instance-9-first"}'],
    ['lend', '{"transferId":"t-1","budgetId":"budget","borrower":"instance-9-first","tokens":300}'],
    ['claimState', '{"requestId":"r-1"}'],
    [
      'registerKey',
      `{${KEY_FIELDS},"incarnation":"instance-9-first","requestId":"r-1","fingerprint":"f","repeatable":true}`,
    ],
    ['endKey', `{${KEY_FIELDS},"requestId":"r-1","complete":true,"billedTokens":15}`],
    [
      'registerKey',
      `{${KEY_FIELDS},"incarnation":"instance-9-first","requestId":"r-2","fingerprint":"f","repeatable":true}`,
    ],
    [
      'commitBatch',
      '{"id":"id-1","writes":[{"kind":"put","key":{"partition":"journal/instance-9-first",' +
        '"sort":"00000000000001"},"condition":{"kind":"absent"},"value":{"kind":"batch","entries":[]}}]}',
    ],
    ['configurationSince', '{"revision":0}'],
    ['explain', '{"requestId":"r-1"}'],
    ['drain', '{}'],
  ]

  it('get the answers that they got then', async () => {
    const fleet = new Fleet()
    await putBudget(fleet.table, 10_000)
    const [node] = await fleet.start(1)
    if (node === undefined) throw new Error('no node')
    await run(fleet, node.ledger.reserve(BUDGET, 1))
    const answers: string[] = []
    for (const [kind, text] of READ) {
      const reply = await run(fleet, Promise.resolve(answer(node, kind, text)))
      answers.push(`${kind}: ${JSON.stringify(reply)}`)
    }
    fleet.stop()
    expect(answers).toMatchSnapshot()
  })
})
