import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ResultCode, VirtualClock, asId } from '@rackwalk/shared'
import type { BudgetId, IdempotencyKey, IncarnationId, RequestId, TeamId } from '@rackwalk/shared'
import {
  EqualSplitPolicy,
  KeyRegistrar,
  RateProportionalPolicy,
  DecisionArchive,
  CostWeightedPolicy,
  allocatedTokens,
  applyExchange,
  createBudgetRow,
  createRequestId,
  foldBills,
  freeTokens,
  withLimit,
} from '@rackwalk/coordination'
import type { AllocationView, JournalSlot, SettleEntry } from '@rackwalk/coordination'
import { MemoryObjects } from '@rackwalk/stand-ins'

const TEAM = asId<TeamId>('team')
const BUDGET = asId<BudgetId>('budget')
const HOLDER = asId<IncarnationId>('holder')
const KEY = asId<IdempotencyKey>('key')

function bill(tokens: number, credited: number, code = ResultCode.Ok): SettleEntry {
  return {
    kind: 'settle',
    budgetId: BUDGET,
    teamId: TEAM,
    billKey: KEY,
    requestId: asId<RequestId>(`request-${tokens}`),
    promptTokens: 0,
    generatedTokens: tokens,
    billedTokens: tokens,
    creditedTokens: credited,
    code,
    endedAt: 0,
  }
}

function journalOf(...entries: readonly SettleEntry[]): readonly JournalSlot[] {
  return [{ kind: 'batch', entries: entries.map((entry, index) => ({ index, entry })) }]
}

describe('foldBills', () => {
  it('bills a key once, however many attempts and journals there are', () => {
    const { bills, excessTokens } = foldBills([journalOf(bill(30, 0)), journalOf(bill(50, 0))])
    expect(bills.map(({ billedTokens }) => billedTokens)).toEqual([50])
    expect(excessTokens, 'attempts that did not know of each other').toBe(30)
  })

  it('adds up to the whole cost where a later attempt was credited the earlier bill', () => {
    const partial = bill(30, 0, ResultCode.CallerLeft)
    const { bills, excessTokens } = foldBills([journalOf(partial), journalOf(bill(20, 30))])
    expect(bills.map(({ billedTokens }) => billedTokens)).toEqual([50])
    expect(excessTokens).toBe(0)
  })
})

describe('a budget row', () => {
  const request = (exchange: number, wanted: number, spent = 0) => ({
    incarnation: HOLDER,
    region: asId<never>('region'),
    exchange,
    foldThrough: 0,
    spent,
    transfers: [],
    returned: 0,
    wanted,
  })

  it('grants no more than is free, and nothing after a limit was lowered below it', () => {
    const first = applyExchange(createBudgetRow(BUDGET, TEAM, 100), request(1, 80))
    expect(first.granted).toBe(80)
    const lowered = withLimit(first.row, 50)
    expect(freeTokens(lowered)).toBe(0)
    const second = applyExchange(lowered, request(2, 10, 40))
    expect(second.granted, '40 settled and 40 allocated are over 50').toBe(0)
    const raised = applyExchange(withLimit(second.row, 200), request(3, 500))
    expect(raised.granted).toBe(120)
    expect(raised.row.settled + allocatedTokens(raised.row)).toBe(200)
  })
})

describe('allocation policies', () => {
  const view: fc.Arbitrary<AllocationView> = fc.record({
    limit: fc.nat(1_000_000),
    settled: fc.nat(1_000_000),
    free: fc.nat(1_000_000),
    available: fc.nat(1_000_000),
    reserved: fc.nat(10_000),
    grantedTotal: fc.nat(1_000_000),
    ratePerSecond: fc.double({ min: 0, max: 10_000, noNaN: true }),
    idleMilliseconds: fc.nat(10_000_000),
    instances: fc.integer({ min: 1, max: 360 }),
  })

  it.each([
    new EqualSplitPolicy(),
    new RateProportionalPolicy(),
    new CostWeightedPolicy({ overspend: 4, falseRefusal: 1 }),
  ])('$name never lends, gives back or holds what is not there', policy => {
    fc.assert(
      fc.property(view, fc.nat(10_000), (seen, asked) => {
        const lent = policy.tokensToLend(seen, asked)
        expect(lent).toBeGreaterThanOrEqual(0)
        expect(lent).toBeLessThanOrEqual(Math.min(asked, seen.available))
        expect(policy.tokensToReturn(seen)).toBeGreaterThanOrEqual(0)
        expect(policy.tokensToReturn(seen)).toBeLessThanOrEqual(seen.available)
        expect(policy.tokensToBorrow(seen, asked)).toBeGreaterThanOrEqual(asked)
        expect(Number.isInteger(policy.target(seen))).toBe(true)
      }),
      { seed: 1, numRuns: 500 },
    )
  })
})

describe('KeyRegistrar', () => {
  const request = (requestId: string, fingerprint = 'body', repeatable = true) => ({
    teamId: TEAM,
    key: KEY,
    incarnation: HOLDER,
    requestId: asId<RequestId>(requestId),
    fingerprint,
    repeatable,
  })
  const end = (requestId: string, billedTokens: number, complete: boolean) => ({
    teamId: TEAM,
    key: KEY,
    requestId: asId<RequestId>(requestId),
    billedTokens,
    complete,
  })

  it('tracks a key from its first run through a partial bill to the complete one', () => {
    const registrar = new KeyRegistrar(new VirtualClock(), () => true)
    expect(registrar.register(request('a'))).toEqual({ state: 'first' })
    expect(registrar.register(request('b'))).toMatchObject({ state: 'running', requestId: 'a' })
    expect(registrar.register(request('b', 'other body'))).toMatchObject({ state: 'mismatch' })
    registrar.end(end('a', 30, false))
    expect(registrar.register(request('b'))).toMatchObject({ state: 'ended', creditedTokens: 30 })
    registrar.end(end('b', 20, true))
    const again = registrar.register(request('c', 'body', false))
    expect(again).toMatchObject({ state: 'ended', complete: true, creditedTokens: 50 })
    expect(registrar.register(request('d', 'body', false)), 'c was refused').toMatchObject({
      state: 'ended',
    })
  })

  it('does not wait for a run whose instance died', () => {
    const live = new Set([HOLDER])
    const registrar = new KeyRegistrar(new VirtualClock(), incarnation => live.has(incarnation))
    registrar.register(request('a'))
    live.clear()
    expect(registrar.register(request('b'))).toMatchObject({ state: 'ended', complete: false })
  })
})

describe('SegmentArchive', () => {
  it('finds a record after its instance died, and only what was written', async () => {
    const clock = new VirtualClock()
    const objects = new MemoryObjects()
    const archive = new DecisionArchive(objects, clock, HOLDER)
    await clock.advance(5_000)
    const ids = [1, 2, 3].map(count => createRequestId(HOLDER, clock.wallTime(), count))
    const [first, second, third] = ids as [RequestId, RequestId, RequestId]
    archive.add({ requestId: first, record: { n: 1 } })
    archive.add({ requestId: second, record: { n: 2 } })
    await clock.advance(20_000)
    expect(await archive.writeDue()).toBe(true)
    archive.add({ requestId: third, record: { n: 3 } })
    const other = new DecisionArchive(objects, clock, asId<IncarnationId>('other'))
    expect(await other.findWritten(second)).toEqual({ n: 2 })
    expect(await other.findWritten(third)).toBeUndefined()
    expect(objects.writes, 'one segment for both').toBe(1)
  })
})
