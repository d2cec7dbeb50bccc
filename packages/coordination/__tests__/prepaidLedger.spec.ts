import { describe, expect, it } from 'vitest'
import { VirtualClock } from '@rackwalk/shared'
import {
  DemandHoldingPolicy,
  POOL_KEY,
  PREPAID_TABLE,
  PrepaidLedger,
  StoreClock,
  committedBound,
  holderKey,
  holderRowCodec,
  poolRowCodec,
} from '@rackwalk/coordination'
import type { HolderRow, LoanChannel, PoolRow } from '@rackwalk/coordination'
import { MemoryRowStore } from '@rackwalk/stand-ins'

const BUDGET = 'team'
const LIMIT = 100_000
const PATIENCE = 100

function decoded<Row>(row: Row | undefined): Row {
  if (row === undefined) throw new Error('a malformed row')
  return row
}

function setUp() {
  const clock = new VirtualClock()
  const rows = new MemoryRowStore(clock)
  const events: string[] = []
  const state = { isActive: true }
  const start = (incarnation: string, startedAt: number, loanChannel?: LoanChannel) => {
    const { store, faults } = rows.connect()
    const ledger = new PrepaidLedger({
      instance: 'node-1',
      incarnation,
      store,
      storeClock: new StoreClock(clock),
      clock,
      startedAt,
      policy: new DemandHoldingPolicy(),
      isActive: () => state.isActive,
      otherInstances: () => (loanChannel === undefined ? [] : ['node-2']),
      ...(loanChannel === undefined ? {} : { loanChannel }),
      limits: { writesPerSecond: 600, partitionWritesPerSecond: 150, reserveShare: 0 },
      onEvent: event => events.push(event),
      onMalformedRow: () => {},
    })
    ledger.configure([{ budget: BUDGET, limit: LIMIT }], 1)
    ledger.start()
    return { ledger, faults, store }
  }
  const pool = (): PoolRow => {
    const outcome = rows.read(PREPAID_TABLE, BUDGET)
    const row =
      outcome.kind === 'rows' ? outcome.rows.find(({ key }) => key === POOL_KEY) : undefined
    if (row === undefined) throw new Error('no pool row')
    return decoded(poolRowCodec.decode(row.value))
  }
  const holder = (budget: string): HolderRow => {
    const outcome = rows.read(PREPAID_TABLE, budget)
    const key = holderKey('node-1')
    const row = outcome.kind === 'rows' ? outcome.rows.find(row => row.key === key) : undefined
    if (row === undefined) throw new Error('no holder row')
    return decoded(holderRowCodec.decode(row.value))
  }
  const rowKeys = (): string[] => {
    const outcome = rows.read(PREPAID_TABLE, BUDGET)
    return outcome.kind === 'rows' ? outcome.rows.map(({ key }) => key) : []
  }
  return { clock, rows, start, pool, holder, events, state, rowKeys }
}

const EMPTY_HOLDER: HolderRow = {
  incarnation: 'other',
  sequence: 1,
  granted: 0,
  committed: 0,
  base: 0,
  strictRate: 0,
  strictMilliseconds: 0,
  cutAfterMilliseconds: 0,
  cutBurst: 0,
  cutRate: 0,
  demandPerSecond: 0,
  wanted: 0,
}

type Started = ReturnType<ReturnType<typeof setUp>['start']>

async function ask(clock: VirtualClock, { ledger }: Started, tokens: number) {
  const asked = ledger.reserve(BUDGET, tokens, PATIENCE)
  await clock.advance(PATIENCE)
  return asked
}

describe('PrepaidLedger while disconnected from the store', () => {
  it('allows more as the disconnection lasts', async () => {
    const { clock, start } = setUp()
    const node = start('first', 0)
    await clock.advance(1_000)
    for (let round = 0; round < 10; round += 1) {
      expect((await ask(clock, node, 500)).kind).toBe('reserved')
      await clock.advance(100)
    }
    node.faults.isUnreachable = true
    await clock.advance(3_000)
    const served: number[] = []
    for (let second = 0; second < 20; second += 1) {
      if ((await ask(clock, node, 4_000)).kind === 'reserved') served.push(second)
      await clock.advance(1_000)
    }
    // Guards against write attempts that restart the bound, so that it never grows.
    expect(served.length).toBeGreaterThan(5)
  })

  it('returns a wait time if the holding covers a request but the bound does not yet', async () => {
    const { clock, start } = setUp()
    const node = start('first', 0)
    await clock.advance(1_000)
    node.faults.isCut = true
    const first = await ask(clock, node, 30_000)
    expect(first).toMatchObject({ kind: 'refused', reason: 'unavailable' })
    const wait = first.kind === 'refused' ? (first.waitMilliseconds ?? 0) : 0
    expect(wait).toBeGreaterThan(0)
    await clock.advance(wait + 1)
    expect((await ask(clock, node, 30_000)).kind).toBe('reserved')
  })
})

describe('PrepaidLedger when the store is reachable again', () => {
  it('records what all budgets spent as soon as one of them is answered', async () => {
    const { clock, start, holder } = setUp()
    const node = start('first', 0)
    const budgets = ['team', 'team-2', 'team-3', 'team-4']
    node.ledger.configure(
      budgets.map(budget => ({ budget, limit: LIMIT })),
      2,
    )
    await clock.advance(1_000)
    node.faults.isUnreachable = true
    await clock.advance(4_000)
    for (const budget of budgets) {
      const asked = node.ledger.reserve(budget, 2_000, PATIENCE)
      await clock.advance(1)
      expect((await asked).kind).toBe('reserved')
    }
    node.faults.isUnreachable = false
    // Guards against each budget waiting for a read of its own, for up to a second.
    await clock.advance(300)
    // The spent tokens, and one more request of that size ahead.
    const recorded = 2_000 + 2_000
    expect(budgets.map(budget => holder(budget).committed)).toEqual(budgets.map(() => recorded))
  })
})

describe('PrepaidLedger after a termination', () => {
  it('settles what the crashed incarnation can have spent and frees the rest', async () => {
    const { clock, start, pool, events } = setUp()
    const node = start('first', 0)
    await clock.advance(1_000)
    expect((await ask(clock, node, 5_000)).kind).toBe('reserved')
    node.ledger.stop()
    node.faults.isCut = true
    await clock.advance(500)
    const successor = start('second', clock.monotonic())
    await clock.advance(2_000)
    expect(events).toContain('prepaid_taken_over')
    expect(pool().settled).toBeGreaterThanOrEqual(5_000)
    expect(pool().settled).toBeLessThan(LIMIT / 2)
    expect((await ask(clock, successor, 30_000)).kind).toBe('reserved')
  })

  it('keeps no holding after a planned stop', async () => {
    const { clock, start, pool } = setUp()
    const node = start('first', 0)
    await clock.advance(1_000)
    const asked = await ask(clock, node, 5_000)
    if (asked.kind === 'reserved') node.ledger.settle(asked.reservation, 1_234)
    const left = node.ledger.leave()
    await clock.advance(1_000)
    expect(await left).toBe(true)
    expect(pool()).toMatchObject({ settled: 1_234, allocated: 0 })
  })
})

describe('PrepaidLedger calls a budget exhausted', () => {
  it('not while running requests reserve tokens that come back', async () => {
    const { clock, start } = setUp()
    const node = start('first', 0)
    await clock.advance(1_000)
    const running = await ask(clock, node, 90_000)
    const refused = await ask(clock, node, 30_000)
    expect(refused).toMatchObject({ kind: 'refused', reason: 'unavailable' })
    if (running.kind === 'reserved') node.ledger.settle(running.reservation, 1_000)
    expect((await ask(clock, node, 30_000)).kind).toBe('reserved')
  })

  it('not while an idle or terminated instance holds unspent tokens', async () => {
    const { clock, rows, start } = setUp()
    const idle = {
      ...EMPTY_HOLDER,
      granted: LIMIT - 1_000,
      committed: 2_000,
      reserved: 0,
      ahead: 0,
    }
    const pool = { limit: LIMIT, configurationVersion: 1, settled: 0, allocated: idle.granted }
    rows.put(PREPAID_TABLE, holderKey('node-2'), holderRowCodec.encode(idle), BUDGET)
    rows.put(PREPAID_TABLE, POOL_KEY, poolRowCodec.encode(pool), BUDGET)
    const node = start('first', 0)
    await clock.advance(1_000)
    expect(await ask(clock, node, 30_000)).toMatchObject({ reason: 'unavailable' })
  })

  it('not while a raised limit is not yet in the pool row', async () => {
    const { clock, start } = setUp()
    const node = start('first', 0)
    await clock.advance(1_000)
    const spent = await ask(clock, node, 90_000)
    if (spent.kind === 'reserved') node.ledger.settle(spent.reservation, 90_000)
    await clock.advance(1_000)
    node.faults.isCut = true
    node.ledger.configure([{ budget: BUDGET, limit: 2 * LIMIT }], 2)
    expect(await ask(clock, node, 30_000)).toMatchObject({ reason: 'unavailable' })
  })

  it('if less than the request needs was not handed out', async () => {
    const { clock, start } = setUp()
    const node = start('first', 0)
    await clock.advance(1_000)
    const spent = await ask(clock, node, 90_000)
    if (spent.kind === 'reserved') node.ledger.settle(spent.reservation, 90_000)
    expect(await ask(clock, node, 10_001)).toMatchObject({ reason: 'exhausted' })
    expect((await ask(clock, node, 9_000)).kind).toBe('reserved')
  })

  it('not by a holding that counts twice, in its own row and in a newer pool row', async () => {
    const { clock, rows, start } = setUp()
    const ended = { ...EMPTY_HOLDER, granted: 60_000, committed: 60_000, reserved: 0, ahead: 0 }
    const pool = { limit: LIMIT, configurationVersion: 1, settled: 0, allocated: 60_000 }
    rows.put(PREPAID_TABLE, holderKey('node-2'), holderRowCodec.encode(ended), BUDGET)
    rows.put(PREPAID_TABLE, POOL_KEY, poolRowCodec.encode(pool), BUDGET)
    const node = start('first', 0)
    await clock.advance(1_000)
    const running = await ask(clock, node, 20_000)
    // A feed brings the change of the pool before the removal of the holder's row.
    const later = { limit: LIMIT, configurationVersion: 1, settled: 60_000, allocated: 40_000 }
    const value = poolRowCodec.encode(later)
    const change = { table: PREPAID_TABLE, partition: BUDGET, key: POOL_KEY, value }
    node.ledger.observe([{ ...change, version: 1_000_000 }], false)
    expect(await ask(clock, node, 30_000)).toMatchObject({ reason: 'unavailable' })
    expect(running.kind).toBe('reserved')
  })
})

describe('PrepaidLedger on a standby instance', () => {
  it('writes nothing and holds nothing until a caller arrives', async () => {
    const { clock, start, state, rowKeys, pool } = setUp()
    state.isActive = false
    const node = start('first', 0)
    await clock.advance(5_000)
    expect(rowKeys()).toEqual([])
    expect((await ask(clock, node, 5_000)).kind).toBe('reserved')
    expect(pool().allocated).toBeGreaterThanOrEqual(5_000)
  })

  it('gives back what it held while active, except for reserved tokens', async () => {
    const { clock, start, state, pool, holder } = setUp()
    const node = start('first', 0)
    await clock.advance(1_000)
    const asked = await ask(clock, node, 5_000)
    expect(pool().allocated).toBeGreaterThan(LIMIT / 2)
    state.isActive = false
    // Recent demand may return, so tokens are held for it; this demand decays.
    await clock.advance(90_000)
    expect(pool().allocated).toBe(5_000)
    if (asked.kind === 'reserved') node.ledger.settle(asked.reservation, 1_000)
    await clock.advance(5_000)
    expect(holder(BUDGET)).toMatchObject({ granted: 1_000, committed: 1_000 })
  })

  it('holds tokens for callers that arrive nevertheless, so that a disconnection does not refuse them', async () => {
    const { clock, start, state } = setUp()
    state.isActive = false
    const node = start('first', 0)
    await clock.advance(1_000)
    for (let round = 0; round < 20; round += 1) {
      expect((await ask(clock, node, 500)).kind).toBe('reserved')
      await clock.advance(100)
    }
    node.faults.isUnreachable = true
    await clock.advance(3_000)
    // Guards against an instance of small capacity holding next to nothing although it receives all
    // callers of a tenant.
    let served = 0
    for (let round = 0; round < 10; round += 1) {
      if ((await ask(clock, node, 500)).kind === 'reserved') served += 1
      await clock.advance(400)
    }
    expect(served).toBeGreaterThan(7)
  })

  it('requests a holding of its own although the pool is empty and loans cover each request', async () => {
    const { clock, rows, start, state, rowKeys } = setUp()
    state.isActive = false
    const other = { ...EMPTY_HOLDER, granted: LIMIT }
    const full = { limit: LIMIT, configurationVersion: 1, settled: 0, allocated: LIMIT }
    rows.put(PREPAID_TABLE, holderKey('node-2'), holderRowCodec.encode(other), BUDGET)
    rows.put(PREPAID_TABLE, POOL_KEY, poolRowCodec.encode(full), BUDGET)
    const node = start('first', 0, {
      requestLoan: (_, { tokens }) => Promise.resolve(tokens),
      repay: () => Promise.resolve(true),
    })
    void follow(node)
    await clock.advance(1_000)
    for (let round = 0; round < 20; round += 1) {
      expect((await ask(clock, node, 500)).kind).toBe('reserved')
    }
    // Other instances give back tokens for demand that rows show; without a row, none of them
    // learns of the demand.
    expect(rowKeys()).toContain(holderKey('node-1'))
  })

  it('frees what its own crashed predecessor held', async () => {
    const { clock, start, state, pool, events } = setUp()
    const node = start('first', 0)
    await clock.advance(1_000)
    expect((await ask(clock, node, 5_000)).kind).toBe('reserved')
    node.ledger.stop()
    node.faults.isCut = true
    state.isActive = false
    const successor = start('second', clock.monotonic())
    void follow(successor)
    await clock.advance(2_000)
    expect(events).toContain('prepaid_taken_over')
    expect(pool().allocated).toBe(0)
    expect(pool().settled).toBeGreaterThanOrEqual(5_000)
  })
})

/** Passes the rows of the budget to an instance, as its mirror of the table does. */
async function follow({ ledger, store }: Started): Promise<void> {
  const outcome = await store.readPartition(PREPAID_TABLE, BUDGET)
  if (outcome.kind === 'rows') ledger.observe(outcome.rows, true)
}

describe('the bound of a holder row', () => {
  const row: HolderRow = {
    incarnation: 'a',
    sequence: 1,
    granted: 10_000,
    committed: 1_000,
    base: 0,
    strictRate: 100,
    strictMilliseconds: 1_000,
    cutAfterMilliseconds: 1_000,
    cutBurst: 500,
    cutRate: 1_000,
    demandPerSecond: 100,
    wanted: 0,
  }

  it.each([
    [0, 1_000],
    [1_000, 1_100],
    [1_001, 1_601],
    [3_000, 3_600],
    [60_000, 10_000],
  ])('after %i ms is %i tokens', (elapsed, tokens) => {
    expect(committedBound(row, elapsed)).toBe(tokens)
  })
})
