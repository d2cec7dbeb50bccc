/**
 * Loans of prepaid tokens between instances, over the listener for peers. Owns the paths and encodings of the
 * messages and the connections to peers; the lender and the borrower make the decisions.
 */

import { Agent } from 'node:http'
import * as z from 'zod'
import type { Milliseconds, TokenCount } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'
import type { Lender, LoanChannel, LoanRepayment, LoanRequest } from '@rackwalk/coordination'
import type { MalformedInput } from '../observe/malformedInputLog.js'
import { callPeer } from './peerCall.js'
import type { PlainAnswer } from './platformAdapter.js'

const LEND_PATH = '/loans/lend'
const REPAY_PATH = '/loans/repay'
/** Connections to one peer. */
const MAXIMUM_CONNECTIONS = 4

/** Far more tokens than any request has; a lender tells others how many it lacks. */
const LARGEST_LOAN: TokenCount = 1e12
/** Far longer than any request waits for a loan. */
const LONGEST_PATIENCE_MILLISECONDS: Milliseconds = 600_000

const loanTokens = z.number().nonnegative().max(LARGEST_LOAN)

const requestSchema = z.strictObject({
  id: z.string(),
  budget: z.string(),
  tokens: loanTokens,
  patienceMilliseconds: z.number().nonnegative().max(LONGEST_PATIENCE_MILLISECONDS),
})

const requestCodec = new JsonCodec<z.infer<typeof requestSchema>, LoanRequest>({
  schema: requestSchema,
  toWire: ({ id, budget, tokens, patienceMilliseconds }) => ({
    id,
    budget,
    tokens,
    patienceMilliseconds,
  }),
  fromWire: wire => wire,
})

const repaymentSchema = z.strictObject({
  id: z.string(),
  budget: z.string(),
  spent: loanTokens,
})

const repaymentCodec = new JsonCodec<z.infer<typeof repaymentSchema>, LoanRepayment>({
  schema: repaymentSchema,
  toWire: ({ id, budget, spent }) => ({ id, budget, spent }),
  fromWire: wire => wire,
})

const answerSchema = z.object({ lent: loanTokens })

/** The number of tokens that a lender lends. */
const answerCodec = new JsonCodec<z.infer<typeof answerSchema>, TokenCount>({
  schema: answerSchema,
  toWire: lent => ({ lent }),
  fromWire: ({ lent }) => lent,
})

/** Answers a peer that wants to borrow or repay; undefined if the path is neither. */
export async function handleLoanRequest(
  path: string,
  body: string,
  lender: Lender,
): Promise<PlainAnswer | undefined> {
  if (path === LEND_PATH) {
    const call = requestCodec.decode(body)
    if (call === undefined) return { status: 400 }
    return { status: 200, json: answerCodec.encode(await lender.lend(call)) }
  }
  if (path !== REPAY_PATH) return undefined
  const call = repaymentCodec.decode(body)
  if (call === undefined) return { status: 400 }
  lender.repay(call)
  return { status: 200, body: {} }
}

/** What the client needs. */
export interface PeerLoanClientParts {
  /** IP:PORT at which an instance takes calls from peers; undefined if unknown. */
  readonly addressOf: (instance: string) => string | undefined
  /** Whether an instance sends no heartbeats any more. */
  readonly isSilent: (instance: string) => boolean
  readonly timeoutMilliseconds: Milliseconds
  readonly onMalformed: (input: MalformedInput) => void
}

/** Requests loans from other instances. */
export class PeerLoanClient implements LoanChannel {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: MAXIMUM_CONNECTIONS })

  constructor(private readonly parts: PeerLoanClientParts) {}

  async requestLoan(lender: string, call: LoanRequest): Promise<TokenCount | undefined> {
    const text = await this.post(lender, LEND_PATH, requestCodec.encode(call))
    if (text === undefined) return undefined
    const lent = answerCodec.decode(text)
    if (lent === undefined) this.parts.onMalformed({ form: 'loan', source: lender })
    return lent
  }

  async repay(lender: string, call: LoanRepayment): Promise<boolean> {
    const body = repaymentCodec.encode(call)
    return (await this.post(lender, REPAY_PATH, body)) !== undefined
  }

  isSilent(lender: string): boolean {
    return this.parts.isSilent(lender)
  }

  close(): void {
    this.agent.destroy()
  }

  /** Returns the answer's text, or undefined if no successful answer arrived in time. */
  private post(instance: string, path: string, body: string): Promise<string | undefined> {
    const address = this.parts.addressOf(instance)
    if (address === undefined || address === '') return Promise.resolve(undefined)
    const { timeoutMilliseconds } = this.parts
    return callPeer({ address, path, body, agent: this.agent, timeoutMilliseconds })
  }
}
