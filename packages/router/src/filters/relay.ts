/**
 * Passes an endpoint's answer on at the caller's pace, keeps back its end, and finds out what it cost.
 */

import { ResultCode } from '@rackwalk/shared'
import type { AfterDispatchCode, Clock, TokenCount } from '@rackwalk/shared'
import type { AnswerFate } from '@rackwalk/decisions'
import type { BudgetLedger } from '@rackwalk/coordination'
import { EventSplitter, isDoneEvent } from '../engine/eventSplitter.js'
import { endOf, isStall } from '../engine/endpointExchange.js'
import type { ReportedUsage } from '../engine/usage.js'
import { findUsage } from '../engine/usage.js'
import type { EndpointTable } from '../routing/endpointTable.js'
import { answerHeaders } from './answerHeaders.js'
import type { AnswerContinuation } from './continueAnswer.js'
import { EventPassage } from './eventPassage.js'
import type { Passage } from './passage.js'
import { joined } from './passage.js'
import type { DispatchedRequest, Filter, RelayedRequest } from './stages.js'

/** Parts that relaying works with. */
export interface RelayParts {
  readonly ledger: BudgetLedger
  readonly endpoints: EndpointTable
  readonly clock: Clock
  readonly onTokens: (tokens: number) => void
  readonly continuation: AnswerContinuation
}

/** Bytes at the end of a plain answer in which its usage report is looked for. */
const TAIL_BYTES = 64 * 1024
const NO_USAGE: ReportedUsage = { promptTokens: 0, generatedTokens: 0 }

/** The run that an answer ended with, and what broke it off. */
interface PassedRun {
  readonly request: DispatchedRequest
  readonly failure: Error | undefined
}

/** How the passing-on ended. */
interface RelayEnd {
  readonly code: AfterDispatchCode
  readonly detail?: string
}

/** Passes an answer on, chunk by chunk at the caller's pace, all but its end. */
export class RelayFilter implements Filter<DispatchedRequest, RelayedRequest> {
  constructor(private readonly parts: RelayParts) {}

  async apply(request: DispatchedRequest): Promise<RelayedRequest> {
    const { record, receivedAt } = request
    record.firstByteMilliseconds = this.parts.clock.sinceStart() - receivedAt
    const passage = this.passageOf(request)
    const run = await this.passWithRest(request, passage)
    run.request.answer.cancel()
    const end = this.endOf(run.request, passage, run.failure)
    noteFate(run.request, end)
    const usage = passage.usage()
    const billedTokens = billable(request, end, usage)
    const { code, detail } = end
    return { ...run.request, code, detail, heldBack: passage.heldBack, usage, billedTokens }
  }

  /** Passes the answer on, and what another engine goes on with where it is cut. */
  private async passWithRest(request: DispatchedRequest, passage: Passage): Promise<PassedRun> {
    const failure = await this.pass(request, passage)
    const { call } = request
    const isCut = passage instanceof EventPassage && !passage.isClosed
    if (!isCut || call.kind !== 'chat') return { request, failure }
    const { continuation, endpoints } = this.parts
    const next = await continuation.goOn(request, call.chat, passage)
    if (next === undefined) return { request, failure }
    endpoints.noteFailure(request.answer.endpointId)
    const run = { request: next, failure: await this.pass(next, passage) }
    if (!passage.isClosed) continuation.noteCut(next, passage)
    return run
  }

  private passageOf(request: DispatchedRequest): Passage {
    const { call } = request
    if (isEventStream(request)) {
      if (call.kind !== 'chat') return new ServiceEventPassage(request)
      const kept = this.parts.continuation.keep(request, call.chat)
      return new EventPassage(request, call.chat, this.parts, kept)
    }
    return request.answer.isWhole ? new HeldPassage(request) : new PlainPassage(request)
  }

  /** Resolves with what broke the answer off, or with nothing at its end. */
  private pass(request: DispatchedRequest, passage: Passage): Promise<Error | undefined> {
    const { answer, incoming } = request
    return new Promise(resolve => {
      const consumer = {
        isFull: false,
        take: (chunk: Buffer) => {
          try {
            if (passage.take(chunk) || consumer.isFull) return
          } catch (thrown) {
            return resolve(thrown as Error)
          }
          // What was held comes at once, and one wait for the caller is enough for all of it.
          if (consumer.isFull) return
          consumer.isFull = true
          void incoming.caller.drained().then(() => {
            consumer.isFull = false
            answer.resume()
          })
        },
        end: () => resolve(undefined),
        fail: resolve,
      }
      answer.start(consumer)
    })
  }

  private endOf(request: DispatchedRequest, passage: Passage, failure: Error | undefined) {
    if (request.incoming.caller.left.aborted) return { code: ResultCode.CallerLeft } as const
    // What the answer itself proves whole is whole, whatever became of its connection.
    return failure === undefined || passage.isClosed
      ? this.wholeEnd(request, passage)
      : this.brokenEnd(request, failure)
  }

  private wholeEnd(request: DispatchedRequest, passage: Passage): RelayEnd {
    const { endpointId, status } = request.answer
    if (!passage.isWhole) {
      this.parts.endpoints.noteFailure(endpointId)
      return { code: ResultCode.EndpointBrokeOff, detail: 'the answer has no end' }
    }
    this.parts.endpoints.noteSuccess(endpointId)
    if (status >= 500) return { code: ResultCode.EndpointError, detail: `status ${status}` }
    return { code: ResultCode.Ok }
  }

  private brokenEnd(request: DispatchedRequest, failure: Error): RelayEnd {
    if (endOf(failure) === 'deadline' || this.parts.clock.sinceStart() >= request.deadline)
      return { code: ResultCode.DeadlinePassed }
    this.parts.endpoints.noteFailure(request.answer.endpointId)
    const detail = failure.message
    const code = isStall(failure) ? ResultCode.EndpointStalled : ResultCode.EndpointBrokeOff
    return { code, detail }
  }
}

/** A service's stream of events: whole where its framing says so, or else by a last event as a chat has it. */
class ServiceEventPassage implements Passage {
  isClosed = false
  private readonly splitter = new EventSplitter()
  private readonly closing: Buffer[] = []

  constructor(private readonly request: DispatchedRequest) {
    request.incoming.caller.begin(request.answer.status, answerHeaders(request))
  }

  get isWhole(): boolean {
    return this.isClosed || this.request.answer.isDelimited
  }

  /** What follows the last whole event is a part of a whole answer. */
  get heldBack(): readonly Buffer[] {
    const { remainder } = this.splitter
    return remainder === undefined ? this.closing : [...this.closing, remainder]
  }

  take(chunk: Buffer): boolean {
    const passed = this.splitter.split(chunk).filter(event => this.passes(event))
    return passed.length === 0 || this.request.incoming.caller.write(joined(passed))
  }

  usage(): ReportedUsage {
    return NO_USAGE
  }

  private passes(event: Buffer): boolean {
    this.isClosed ||= isDoneEvent(event)
    if (this.isClosed) this.closing.push(Buffer.from(event))
    return !this.isClosed
  }
}

/** Any other answer that is whole: all of it is kept back, its head as well, so that it may still become an error. */
class HeldPassage implements Passage {
  readonly heldBack: Buffer[] = []
  readonly isClosed = false
  readonly isWhole = true

  constructor(private readonly request: DispatchedRequest) {}

  take(chunk: Buffer): boolean {
    this.heldBack.push(chunk)
    return true
  }

  usage(): ReportedUsage {
    if (this.request.call.kind !== 'chat') return NO_USAGE
    return findUsage(tailOf(this.heldBack).toString('utf8')) ?? NO_USAGE
  }
}

/** Any other answer that goes as it comes: its last chunk is kept back. */
class PlainPassage implements Passage {
  readonly isClosed = false
  readonly isWhole = true
  private last: Buffer | undefined
  private tail: Buffer = Buffer.alloc(0)

  constructor(private readonly request: DispatchedRequest) {}

  get heldBack(): readonly Buffer[] {
    return this.last === undefined ? [] : [this.last]
  }

  take(chunk: Buffer): boolean {
    const previous = this.last
    this.last = chunk
    if (this.request.call.kind === 'chat') this.keepTail(chunk)
    return previous === undefined || this.write(previous)
  }

  usage(): ReportedUsage {
    return findUsage(this.tail.toString('utf8')) ?? NO_USAGE
  }

  /** The head goes with the first bytes: until then the answer may still become an error. */
  private write(chunk: Buffer): boolean {
    const { incoming, answer } = this.request
    if (!incoming.caller.hasBegun) {
      incoming.caller.begin(answer.status, answerHeaders(this.request), answer.isDelimited)
    }
    return incoming.caller.write(chunk)
  }

  private keepTail(chunk: Buffer): void {
    this.tail = tailOf([this.tail, chunk])
  }
}

/** The end of an answer, in which its usage is reported. */
function tailOf(chunks: readonly Buffer[]): Buffer {
  const data = Buffer.concat(chunks)
  return data.subarray(Math.max(0, data.length - TAIL_BYTES))
}

/**
 * What a request costs: whole answers and those that the caller gave up. An answer that the
 * fleet failed to bring to its end costs its team nothing.
 */
function billable(request: DispatchedRequest, end: RelayEnd, usage: ReportedUsage): TokenCount {
  const isError = request.answer.status >= 400
  const isCallers =
    end.code === ResultCode.Ok ||
    end.code === ResultCode.CallerLeft ||
    end.code === ResultCode.DeadlinePassed
  if (request.call.kind === 'service' || isError || !isCallers) return 0
  const cost = usage.promptTokens + usage.generatedTokens
  return Math.max(0, cost - request.creditedTokens)
}

/** Notes what became of an answer that was passed on, all or in part. */
function noteFate(request: DispatchedRequest, { code }: RelayEnd): void {
  const { framing, end = 'aborted', endpointId } = request.answer
  // Whoever was asked to go on after it did not answer.
  const routing = request.record.routing.findLast(record => record.endpointId === endpointId)
  if (routing === undefined) return
  routing.answer = { framing, end, fate: fateOf(request, code) }
}

function fateOf({ incoming }: DispatchedRequest, code: AfterDispatchCode): AnswerFate {
  if (code === ResultCode.Ok || code === ResultCode.EndpointError) return 'whole'
  if (code === ResultCode.CallerLeft) return 'dropped'
  return incoming.caller.hasBegun ? 'cut' : 'refused'
}

function isEventStream({ answer }: DispatchedRequest): boolean {
  return (answer.headers['content-type'] ?? '').startsWith('text/event-stream')
}
