/**
 * Borrows tokens that other instances hold, for one request, when neither this instance's holding
 * nor the pool covers the request. Remembers for a short time which lenders gave no answer or too
 * few tokens, and retries repayments that a lender has not acknowledged. Reaches lenders through a
 * `LoanChannel`.
 */

import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'
import type { Loan, LoanChannel } from './loan.js'

/** Dependencies of a `Borrower`. */
export interface BorrowerParts {
  readonly channel: LoanChannel
  readonly clock: Clock
  /** Id of this run of the instance's process; prefix of loan ids, which makes them unique. */
  readonly incarnation: string
}

/** A lender's answer to one loan request. */
export interface LenderAnswer {
  readonly lender: string
  readonly asked: TokenCount
  /** Undefined if no answer arrived. */
  readonly lent: TokenCount | undefined
  readonly milliseconds: Milliseconds
}

/** The result of borrowing for one request. */
export interface BorrowResult {
  /** Undefined if the loans did not add up to the requested tokens; all of them are then repaid. */
  readonly loans: readonly Loan[] | undefined
  /** Answers of all lenders that were asked, in order. */
  readonly answers: readonly LenderAnswer[]
}

/**
 * A lender that gave no answer is not asked again for this long, for any budget: each attempt takes
 * up time in which other lenders could be asked.
 */
const UNANSWERED_BACKOFF_MILLISECONDS = 1_000
/**
 * A lender that lent fewer tokens than it was asked for is not asked for the same budget again for
 * this long.
 */
const SHORTFALL_BACKOFF_MILLISECONDS = 200
/** Maximum number of lenders asked for one request. */
const LENDERS_ASKED = 6
/** Maximum time for which a lender may wait for a store transaction of its own. */
const LENDER_PATIENCE_MILLISECONDS = 50
/** Maximum number of times that one repayment is sent. */
const REPAY_ATTEMPTS = 5
/** Delay after the first unacknowledged repayment; doubles with each further attempt. */
const REPAY_RETRY_MILLISECONDS = 700

/** Borrows tokens for one instance, across all its budgets. */
export class Borrower {
  private readonly unansweredBackoffUntil = new Map<string, Milliseconds>()
  private readonly shortfallBackoffUntil = new Map<string, Milliseconds>()
  /** Number of unanswered loan requests per lender. */
  private readonly inFlightRequests = new Map<string, number>()
  private loans = 0

  constructor(private readonly parts: BorrowerParts) {}

  /**
   * Requests loans from one lender after another until they add up to `tokens`. If they do not add
   * up, repays every loan and returns none. Asks no further lender once `patience` has passed.
   */
  async borrow(
    budget: string,
    tokens: TokenCount,
    lenders: readonly string[],
    patience: Milliseconds,
  ): Promise<BorrowResult> {
    const endsAt = this.parts.clock.monotonic() + patience
    const loans: Loan[] = []
    const answers: LenderAnswer[] = []
    let missing = tokens
    for (const lender of this.eligibleLenders(budget, lenders)) {
      const askedAt = this.parts.clock.monotonic()
      if (askedAt >= endsAt) break
      const asked = missing
      const loan = await this.ask(lender, budget, asked)
      const milliseconds = this.parts.clock.monotonic() - askedAt
      answers.push({ lender, asked, lent: loan?.tokens, milliseconds })
      if (loan === undefined || loan.tokens === 0) continue
      loans.push(loan)
      missing -= loan.tokens
      if (missing <= 0) return { loans, answers }
    }
    for (const loan of loans) this.repay(budget, loan, 0)
    return { loans: undefined, answers }
  }

  /**
   * Reports to the lender how much of a loan was spent, with retries. A lender that receives no
   * repayment counts the whole loan as spent.
   */
  repay(budget: string, loan: Loan, spent: TokenCount): void {
    void this.repayWithRetries(budget, loan, spent)
  }

  /**
   * Returns the lenders to ask, without those whose backoff is not over. The given order holds
   * except in two cases. Lenders with more unanswered requests come later: otherwise simultaneous
   * requests would all wait for the first lender and all lose that time if it does not answer.
   * Silent instances come last: a request to one takes longer than a caller may spend on borrowing,
   * so no other lender would be asked.
   */
  private eligibleLenders(budget: string, lenders: readonly string[]): readonly string[] {
    const now = this.parts.clock.monotonic()
    const isBackoffOver = (time: Milliseconds | undefined) => time === undefined || time <= now
    return lenders
      .filter(lender => isBackoffOver(this.unansweredBackoffUntil.get(lender)))
      .filter(lender => isBackoffOver(this.shortfallBackoffUntil.get(`${lender}/${budget}`)))
      .sort((left, right) => this.inFlightTo(left) - this.inFlightTo(right))
      .sort((left, right) => Number(this.isSilent(left)) - Number(this.isSilent(right)))
      .slice(0, LENDERS_ASKED)
  }

  /** Requests a loan from one lender; undefined if no answer arrived. */
  private async ask(lender: string, budget: string, tokens: TokenCount): Promise<Loan | undefined> {
    this.loans += 1
    const id = `${this.parts.incarnation}/${this.loans}`
    const patienceMilliseconds = LENDER_PATIENCE_MILLISECONDS
    const lent = await this.trackInFlight(
      lender,
      this.parts.channel.requestLoan(lender, { id, budget, tokens, patienceMilliseconds }),
    )
    const now = this.parts.clock.monotonic()
    if (lent === undefined) {
      this.unansweredBackoffUntil.set(lender, now + UNANSWERED_BACKOFF_MILLISECONDS)
      // The lender may have granted the loan although its answer was lost.
      this.repay(budget, { lender, id, tokens }, 0)
      return undefined
    }
    if (lent < tokens)
      this.shortfallBackoffUntil.set(`${lender}/${budget}`, now + SHORTFALL_BACKOFF_MILLISECONDS)
    return { lender, id, tokens: Math.min(lent, tokens) }
  }

  private isSilent(lender: string): boolean {
    return this.parts.channel.isSilent?.(lender) === true
  }

  private inFlightTo(lender: string): number {
    return this.inFlightRequests.get(lender) ?? 0
  }

  /** Counts a request to a lender as in flight until it is answered. */
  private async trackInFlight<Answer>(lender: string, request: Promise<Answer>): Promise<Answer> {
    this.inFlightRequests.set(lender, this.inFlightTo(lender) + 1)
    try {
      return await request
    } finally {
      this.inFlightRequests.set(lender, this.inFlightTo(lender) - 1)
    }
  }

  private async repayWithRetries(budget: string, loan: Loan, spent: TokenCount): Promise<void> {
    for (let attempt = 0; attempt < REPAY_ATTEMPTS; attempt += 1) {
      if (await this.parts.channel.repay(loan.lender, { id: loan.id, budget, spent })) return
      await sleep(this.parts.clock, REPAY_RETRY_MILLISECONDS * 2 ** attempt)
    }
  }
}
