/**
 * Borrows tokens that other instances hold, for one request, where neither the own holding nor the
 * pool covers it. Owns which lenders lately gave no answer or too little, and which loans are still to
 * be repaid; relies on a channel to reach lenders.
 */

import { sleep } from '@rackwalk/shared'
import type { Clock, Milliseconds, TokenCount } from '@rackwalk/shared'
import type { Loan, LoanChannel } from './loan.js'

/** What a borrower works with. */
export interface BorrowerParts {
  readonly channel: LoanChannel
  readonly clock: Clock
  /** Prefix of loan ids; no other incarnation has it. */
  readonly incarnation: string
}

/** What a lender answered to one request. */
export interface LenderAnswer {
  readonly lender: string
  readonly asked: TokenCount
  /** Undefined where no answer came. */
  readonly lent: TokenCount | undefined
  readonly milliseconds: Milliseconds
}

/** What came of borrowing for one request. */
export interface BorrowResult {
  /** Undefined where the loans do not add up; they are repaid then. */
  readonly loans: readonly Loan[] | undefined
  /** Every lender that was asked, in order. */
  readonly answers: readonly LenderAnswer[]
}

/** A lender that gave no answer is not asked again for this long. */
const SILENT_BACKOFF_MILLISECONDS = 1_000
/** A lender that had too little of a budget is not asked for it again for this long. */
const SHORT_BACKOFF_MILLISECONDS = 200
/** Lenders that one request asks at most. */
const LENDERS_ASKED = 6
/** Time that a lender may take for a transaction of its own. */
const LENDER_PATIENCE_MILLISECONDS = 50
const REPAY_ATTEMPTS = 5
const REPAY_RETRY_MILLISECONDS = 700

/** Borrows for one instance, over all its budgets. */
export class Borrower {
  private readonly silentUntil = new Map<string, Milliseconds>()
  private readonly shortUntil = new Map<string, Milliseconds>()
  /** Questions to each lender that are not answered yet. */
  private readonly inFlightRequests = new Map<string, number>()
  private loans = 0

  constructor(private readonly parts: BorrowerParts) {}

  /**
   * Loans that add up to `tokens`, from lenders in the order given; none where they do not, with
   * everything repaid. Asks nobody after `patience` has passed.
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

  /** Tells the lender what of a loan was spent; a lender never reached counts all of it. */
  repay(budget: string, loan: Loan, spent: TokenCount): void {
    void this.repayWithRetries(budget, loan, spent)
  }

  /**
   * In the order given, but for lenders that have not answered other requests yet: requests that
   * come together would all wait for the first one, and then all take it for silent. Those that give no sign of life come
   * last: waiting for one of them takes longer than a request may borrow, so that nobody else would be asked.
   */
  private eligibleLenders(budget: string, lenders: readonly string[]): readonly string[] {
    const now = this.parts.clock.monotonic()
    const isRested = (time: Milliseconds | undefined) => time === undefined || time <= now
    return lenders
      .filter(lender => isRested(this.silentUntil.get(lender)))
      .filter(lender => isRested(this.shortUntil.get(`${lender}/${budget}`)))
      .sort((left, right) => this.inFlightTo(left) - this.inFlightTo(right))
      .sort((left, right) => Number(this.isSilent(left)) - Number(this.isSilent(right)))
      .slice(0, LENDERS_ASKED)
  }

  /** Undefined where no answer came. */
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
      this.silentUntil.set(lender, now + SILENT_BACKOFF_MILLISECONDS)
      // The loan may have been given although the answer was lost.
      this.repay(budget, { lender, id, tokens }, 0)
      return undefined
    }
    if (lent < tokens) this.shortUntil.set(`${lender}/${budget}`, now + SHORT_BACKOFF_MILLISECONDS)
    return { lender, id, tokens: Math.min(lent, tokens) }
  }

  private isSilent(lender: string): boolean {
    return this.parts.channel.isSilent?.(lender) === true
  }

  private inFlightTo(lender: string): number {
    return this.inFlightRequests.get(lender) ?? 0
  }

  /** Counts a question to a lender until it is answered. */
  private async trackInFlight<Answer>(lender: string, question: Promise<Answer>): Promise<Answer> {
    this.inFlightRequests.set(lender, this.inFlightTo(lender) + 1)
    try {
      return await question
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
