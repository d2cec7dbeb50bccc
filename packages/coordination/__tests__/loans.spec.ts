import { describe, expect, it } from 'vitest'
import { VirtualClock, sleep } from '@rackwalk/shared'
import type { TokenCount } from '@rackwalk/shared'
import { Borrower, Lender } from '@rackwalk/coordination'
import type {
  LendingAccount,
  LoanChannel,
  LoanRepayment,
  LoanRequest,
} from '@rackwalk/coordination'

const BUDGET = 'team'
const PATIENCE = 60

/** A holding of a given number of tokens. */
class Holding implements LendingAccount {
  constructor(public tokens: TokenCount) {}

  lend(tokens: TokenCount): Promise<TokenCount> {
    const lent = Math.min(tokens, this.tokens)
    this.tokens -= lent
    return Promise.resolve(lent)
  }

  settle(lent: TokenCount, spent: TokenCount): void {
    this.tokens += lent - spent
  }
}

function request(id: string, tokens: TokenCount): LoanRequest {
  return { id, budget: BUDGET, tokens, patienceMilliseconds: 10 }
}

describe('Lender', () => {
  it('frees what was not spent, once', async () => {
    const holding = new Holding(1_000)
    const lender = new Lender(() => holding)
    expect(await lender.lend(request('a/1', 600))).toBe(600)
    const repayment = { id: 'a/1', budget: BUDGET, spent: 250 }
    lender.repay(repayment)
    lender.repay(repayment)
    expect(holding.tokens).toBe(750)
  })

  it('counts a loan that is never repaid as spent', async () => {
    const holding = new Holding(1_000)
    const lender = new Lender(() => holding)
    await lender.lend(request('a/1', 600))
    expect(holding.tokens).toBe(400)
  })

  it('grants nothing to a request that arrives after its own repayment', async () => {
    const holding = new Holding(1_000)
    const lender = new Lender(() => holding)
    // The borrower considered the loan lost and repaid it; the loan request arrives only
    // afterwards.
    lender.repay({ id: 'a/1', budget: BUDGET, spent: 0 })
    expect(await lender.lend(request('a/1', 600))).toBe(0)
    expect(holding.tokens).toBe(1_000)
  })

  it('ignores the repayment of a loan of an earlier incarnation', () => {
    const holding = new Holding(1_000)
    new Lender(() => holding).repay({ id: 'a/1', budget: BUDGET, spent: 0 })
    expect(holding.tokens).toBe(1_000)
  })
})

function setUp(
  held: Readonly<Record<string, TokenCount | 'silent'>>,
  isSilent?: (lender: string) => boolean,
) {
  const clock = new VirtualClock()
  const asked: string[] = []
  const repaid: LoanRepayment[] = []
  const channel: LoanChannel = {
    isSilent,
    requestLoan: async (lender, { tokens }) => {
      asked.push(lender)
      // Duration of a call to an instance that has terminated.
      if (held[lender] === 'silent' && isSilent !== undefined) await sleep(clock, 2 * PATIENCE)
      const available = held[lender] ?? 0
      return available === 'silent' ? undefined : Math.min(tokens, available)
    },
    repay: (_, repayment) => {
      repaid.push(repayment)
      return Promise.resolve(true)
    },
  }
  const borrower = new Borrower({ channel, clock, incarnation: 'self' })
  const borrow = async (tokens: TokenCount) =>
    (await borrower.borrow(BUDGET, tokens, Object.keys(held), PATIENCE)).loans
  return { clock, asked, repaid, borrow }
}

describe('Borrower', () => {
  it('adds up loans of several lenders', async () => {
    const { borrow } = setUp({ first: 300, second: 500, third: 100 })
    expect(await borrow(700)).toEqual([
      { lender: 'first', id: 'self/1', tokens: 300 },
      { lender: 'second', id: 'self/2', tokens: 400 },
    ])
  })

  it('repays all of them if they do not suffice', async () => {
    const { borrow, repaid } = setUp({ first: 300, second: 500 })
    expect(await borrow(900)).toBeUndefined()
    expect(repaid).toEqual([
      { id: 'self/1', budget: BUDGET, spent: 0 },
      { id: 'self/2', budget: BUDGET, spent: 0 },
    ])
  })

  it('repays a loan whose answer was lost, and does not ask its lender for a second', async () => {
    const { clock, borrow, asked, repaid } = setUp({ first: 'silent', second: 500 })
    expect(await borrow(400)).toHaveLength(1)
    expect(repaid).toEqual([{ id: 'self/1', budget: BUDGET, spent: 0 }])
    await borrow(400)
    await clock.advance(1_001)
    await borrow(400)
    expect(asked).toEqual(['first', 'second', 'second', 'first', 'second'])
  })

  // The row of an instance that lost power shows a holding for seconds, and waiting for that
  // instance used up all of the patience.
  it('asks a silent lender last', async () => {
    const { borrow, asked, clock } = setUp(
      { first: 'silent', second: 500 },
      lender => lender === 'first',
    )
    const loans = borrow(400)
    await clock.advance(3 * PATIENCE)
    expect(await loans).toHaveLength(1)
    expect(asked).toEqual(['second'])
  })

  it('asks a silent lender if no other lender has enough', async () => {
    const { borrow, asked } = setUp({ first: 300, second: 500 }, lender => lender === 'first')
    expect(await borrow(700)).toHaveLength(2)
    expect(asked).toEqual(['second', 'first'])
  })

  it('asks different lenders for simultaneous requests', async () => {
    const { borrow, asked } = setUp({ first: 900, second: 500, third: 300 })
    // If all requests asked the first lender over its one connection, the others would wait until
    // they gave up.
    await Promise.all([borrow(100), borrow(100), borrow(100), borrow(100)])
    expect(asked).toEqual(['first', 'second', 'third', 'first'])
  })

  it('does not immediately repeat a request to a lender that had too few tokens', async () => {
    const { clock, borrow, asked } = setUp({ first: 100 })
    await borrow(400)
    await borrow(400)
    await clock.advance(201)
    await borrow(400)
    expect(asked).toEqual(['first', 'first'])
  })
})
