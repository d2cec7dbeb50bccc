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

/** A holding of so many tokens. */
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

  it('gives nothing to a request that comes after its end', async () => {
    const holding = new Holding(1_000)
    const lender = new Lender(() => holding)
    // The borrower took the loan for lost and called it back; then the request arrived.
    lender.repay({ id: 'a/1', budget: BUDGET, spent: 0 })
    expect(await lender.lend(request('a/1', 600))).toBe(0)
    expect(holding.tokens).toBe(1_000)
  })

  it('knows no loan of an earlier life', () => {
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
      // As long as the call to an instance that is gone lasts.
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

  it('repays all of them where they do not suffice', async () => {
    const { borrow, repaid } = setUp({ first: 300, second: 500 })
    expect(await borrow(900)).toBeUndefined()
    expect(repaid).toEqual([
      { id: 'self/1', budget: BUDGET, spent: 0 },
      { id: 'self/2', budget: BUDGET, spent: 0 },
    ])
  })

  it('calls back a loan whose answer did not come, and leaves the lender alone for a second', async () => {
    const { clock, borrow, asked, repaid } = setUp({ first: 'silent', second: 500 })
    expect(await borrow(400)).toHaveLength(1)
    expect(repaid).toEqual([{ id: 'self/1', budget: BUDGET, spent: 0 }])
    await borrow(400)
    await clock.advance(1_001)
    await borrow(400)
    expect(asked).toEqual(['first', 'second', 'second', 'first', 'second'])
  })

  // An instance without power stays a holder by its row for seconds, and the wait for it used all of the patience.
  it('asks one that gives no sign of life last', async () => {
    const { borrow, asked, clock } = setUp(
      { first: 'silent', second: 500 },
      lender => lender === 'first',
    )
    const loans = borrow(400)
    await clock.advance(3 * PATIENCE)
    expect(await loans).toHaveLength(1)
    expect(asked).toEqual(['second'])
  })

  it('asks it all the same where nobody else has enough', async () => {
    const { borrow, asked } = setUp({ first: 300, second: 500 }, lender => lender === 'first')
    expect(await borrow(700)).toHaveLength(2)
    expect(asked).toEqual(['second', 'first'])
  })

  it('asks each lender in turn for requests that come together', async () => {
    const { borrow, asked } = setUp({ first: 900, second: 500, third: 300 })
    // One connection to the first lender would make the others wait until they gave up.
    await Promise.all([borrow(100), borrow(100), borrow(100), borrow(100)])
    expect(asked).toEqual(['first', 'second', 'third', 'first'])
  })

  it('does not ask a lender again at once that had too little', async () => {
    const { clock, borrow, asked } = setUp({ first: 100 })
    await borrow(400)
    await borrow(400)
    await clock.advance(201)
    await borrow(400)
    expect(asked).toEqual(['first', 'first'])
  })
})
