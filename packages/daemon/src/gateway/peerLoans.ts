import { Agent } from 'node:http'
import * as z from 'zod'
import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import type { Lender, LoanChannel, LoanRepayment, LoanRequest } from '@rackwalk/coordination'
import { callPeer } from './peerCall.js'
import type { PlainAnswer } from './platformAdapter.js'

/** Loans of prepaid tokens between instances, over the listener for peers. */

const LEND_PATH = '/loans/lend'
const REPAY_PATH = '/loans/repay'
/** Connections to one peer. */
const MAXIMUM_CONNECTIONS = 4

const loanRequest = z.strictObject({
  id: z.string(),
  budget: z.string(),
  tokens: z.number().nonnegative(),
  patienceMilliseconds: z.number().nonnegative(),
})
const loanRepayment = z.strictObject({
  id: z.string(),
  budget: z.string(),
  spent: z.number().nonnegative(),
})
const loanAnswer = z.object({ lent: z.number().nonnegative() })

/** Answers a peer that wants to borrow or repays; undefined where the path is neither. */
export async function answerLoan(
  path: string,
  body: string,
  lender: Lender,
): Promise<PlainAnswer | undefined> {
  if (path === LEND_PATH) {
    const call = parse(loanRequest, body)
    if (call === undefined) return { status: 400 }
    return { status: 200, body: { lent: await lender.lend(call) } }
  }
  if (path !== REPAY_PATH) return undefined
  const call = parse(loanRepayment, body)
  if (call === undefined) return { status: 400 }
  lender.repay(call)
  return { status: 200, body: {} }
}

export interface PeerLoansParts {
  /** IP:PORT at which an instance takes calls from peers; undefined where it is not known. */
  readonly addressOf: (instance: string) => string | undefined
  readonly timeoutMilliseconds: Milliseconds
}

/** Asks other instances for loans. */
export class PeerLoans implements LoanChannel {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_CONNECTIONS })

  constructor(private readonly parts: PeerLoansParts) {}

  async ask(lender: string, call: LoanRequest): Promise<TokenCount | undefined> {
    const text = await this.post(lender, LEND_PATH, call)
    return text === undefined ? undefined : parse(loanAnswer, text)?.lent
  }

  async repay(lender: string, call: LoanRepayment): Promise<boolean> {
    return (await this.post(lender, REPAY_PATH, call)) !== undefined
  }

  close(): void {
    this.agent.destroy()
  }

  /** The answer's text; undefined where there was none, or not a good one, in time. */
  private post(instance: string, path: string, body: object): Promise<string | undefined> {
    const address = this.parts.addressOf(instance)
    if (address === undefined || address === '') return Promise.resolve(undefined)
    const { timeoutMilliseconds } = this.parts
    return callPeer({ address, path, body, agent: this.agent, timeoutMilliseconds })
  }
}

function parse<Schema extends z.ZodType>(schema: Schema, text: string) {
  try {
    return schema.safeParse(JSON.parse(text)).data
  } catch {
    return undefined
  }
}
