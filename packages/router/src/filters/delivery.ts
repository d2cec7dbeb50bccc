/**
 * Passes an endpoint's answer on at the caller's pace, keeps back its end, and finds out what it cost.
 */

import { ResultCode } from '@rackwalk/shared'
import type { DispatchedCode, Clock, TokenCount } from '@rackwalk/shared'
import type { AnswerDisposition } from '@rackwalk/decisions'
import type { BudgetLedger } from '@rackwalk/coordination'
import { EventSplitter, isDoneEvent } from '../engine/eventSplitter.js'
import { answerEndOf, isStall } from '../engine/endpointExchange.js'
import type { ReportedUsage } from '../engine/usage.js'
import { findUsage } from '../engine/usage.js'
import type { EndpointTable } from '../routing/endpointTable.js'
import { answerHeaders } from './answerHeaders.js'
import type { AnswerContinuation } from './continueAnswer.js'
import { ChatEventDelivery } from './chatEventDelivery.js'
import type { AnswerDelivery } from './answerDelivery.js'
import { concatEvents } from './answerDelivery.js'
import type { DispatchedRequest, Filter, DeliveredRequest } from './stages.js'

/** Parts that relaying works with. */
export interface DeliveryParts {
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
interface DeliveryEnd {
  readonly code: DispatchedCode
  readonly detail?: string
}

/** Passes an answer on, chunk by chunk at the caller's pace, all but its end. */
export class DeliveryFilter implements Filter<DispatchedRequest, DeliveredRequest> {
  constructor(private readonly parts: DeliveryParts) {}

  async apply(request: DispatchedRequest): Promise<DeliveredRequest> {
    const { record, receivedAt } = request
    record.firstByteMilliseconds = this.parts.clock.sinceStart() - receivedAt
    const passage = this.passageOf(request)
    const run = await this.passWithRest(request, passage)
    run.request.answer.cancel()
    const end = this.endOf(run.request, passage, run.failure)
    noteFate(run.request, end)
    const usage = passage.usage()
    const billedTokens = billableTokens(request, end, usage)
    const { code, detail } = end
    return {
      ...run.request,
      code,
      detail,
      withheldChunks: passage.withheldChunks,
      usage,
      billedTokens,
    }
  }

  /** Passes the answer on, and what another engine goes on with where it is cut. */
  private async passWithRest(
    request: DispatchedRequest,
    passage: AnswerDelivery,
  ): Promise<PassedRun> {
    const failure = await this.pass(request, passage)
    const { call } = request
    const isCut = passage instanceof ChatEventDelivery && !passage.hasEndMarker
    if (!isCut || call.kind !== 'chat') return { request, failure }
    const { continuation, endpoints } = this.parts
    const next = await continuation.continueAnswer(request, call.chat, passage)
    if (next === undefined) return { request, failure }
    endpoints.noteFailure(request.answer.endpointId)
    const run = { request: next, failure: await this.pass(next, passage) }
    if (!passage.hasEndMarker) continuation.noteInterrupted(next, passage)
    return run
  }

  private passageOf(request: DispatchedRequest): AnswerDelivery {
    const { call } = request
    if (isEventStream(request)) {
      if (call.kind !== 'chat') return new ServiceEventDelivery(request)
      const kept = this.parts.continuation.trackDelivered(request, call.chat)
      return new ChatEventDelivery(request, call.chat, this.parts, kept)
    }
    return request.answer.isComplete
      ? new BufferedAnswerDelivery(request)
      : new StreamedAnswerDelivery(request)
  }

  /** Resolves with what broke the answer off, or with nothing at its end. */
  private pass(request: DispatchedRequest, passage: AnswerDelivery): Promise<Error | undefined> {
    const { answer, incoming } = request
    return new Promise(resolve => {
      const consumer = {
        isFull: false,
        receive: (chunk: Buffer) => {
          try {
            if (passage.deliver(chunk) || consumer.isFull) return
          } catch (thrown) {
            return resolve(thrown as Error)
          }
          // What was held comes at once, and one wait for the caller is enough for all of it.
          if (consumer.isFull) return
          consumer.isFull = true
          void incoming.caller.waitForDrain().then(() => {
            consumer.isFull = false
            answer.resume()
          })
        },
        end: () => resolve(undefined),
        fail: resolve,
      }
      answer.startReading(consumer)
    })
  }

  private endOf(request: DispatchedRequest, passage: AnswerDelivery, failure: Error | undefined) {
    if (request.incoming.caller.disconnectSignal.aborted)
      return { code: ResultCode.CallerLeft } as const
    // What the answer itself proves whole is whole, whatever became of its connection.
    return failure === undefined || passage.hasEndMarker
      ? this.wholeEnd(request, passage)
      : this.brokenEnd(request, failure)
  }

  private wholeEnd(request: DispatchedRequest, passage: AnswerDelivery): DeliveryEnd {
    const { endpointId, status } = request.answer
    if (!passage.isComplete) {
      this.parts.endpoints.noteFailure(endpointId)
      return { code: ResultCode.EndpointBrokeOff, detail: 'the answer has no end' }
    }
    this.parts.endpoints.noteSuccess(endpointId)
    if (status >= 500) return { code: ResultCode.EndpointError, detail: `status ${status}` }
    return { code: ResultCode.Ok }
  }

  private brokenEnd(request: DispatchedRequest, failure: Error): DeliveryEnd {
    if (answerEndOf(failure) === 'deadline' || this.parts.clock.sinceStart() >= request.deadline)
      return { code: ResultCode.DeadlinePassed }
    this.parts.endpoints.noteFailure(request.answer.endpointId)
    const detail = failure.message
    const code = isStall(failure) ? ResultCode.EndpointStalled : ResultCode.EndpointBrokeOff
    return { code, detail }
  }
}

/** A service's stream of events: whole where its framing says so, or else by a last event as a chat has it. */
class ServiceEventDelivery implements AnswerDelivery {
  hasEndMarker = false
  private readonly splitter = new EventSplitter()
  private readonly closing: Buffer[] = []

  constructor(private readonly request: DispatchedRequest) {
    request.incoming.caller.writeHead(request.answer.status, answerHeaders(request))
  }

  get isComplete(): boolean {
    return this.hasEndMarker || this.request.answer.isDelimited
  }

  /** What follows the last whole event is a part of a whole answer. */
  get withheldChunks(): readonly Buffer[] {
    const { remainder } = this.splitter
    return remainder === undefined ? this.closing : [...this.closing, remainder]
  }

  deliver(chunk: Buffer): boolean {
    const passed = this.splitter.split(chunk).filter(event => this.passes(event))
    return passed.length === 0 || this.request.incoming.caller.write(concatEvents(passed))
  }

  usage(): ReportedUsage {
    return NO_USAGE
  }

  private passes(event: Buffer): boolean {
    this.hasEndMarker ||= isDoneEvent(event)
    if (this.hasEndMarker) this.closing.push(Buffer.from(event))
    return !this.hasEndMarker
  }
}

/** Any other answer that is whole: all of it is kept back, its head as well, so that it may still become an error. */
class BufferedAnswerDelivery implements AnswerDelivery {
  readonly withheldChunks: Buffer[] = []
  readonly hasEndMarker = false
  readonly isComplete = true

  constructor(private readonly request: DispatchedRequest) {}

  deliver(chunk: Buffer): boolean {
    this.withheldChunks.push(chunk)
    return true
  }

  usage(): ReportedUsage {
    if (this.request.call.kind !== 'chat') return NO_USAGE
    return findUsage(tailOf(this.withheldChunks).toString('utf8')) ?? NO_USAGE
  }
}

/** Any other answer that goes as it comes: its last chunk is kept back. */
class StreamedAnswerDelivery implements AnswerDelivery {
  readonly hasEndMarker = false
  readonly isComplete = true
  private last: Buffer | undefined
  private tail: Buffer = Buffer.alloc(0)

  constructor(private readonly request: DispatchedRequest) {}

  get withheldChunks(): readonly Buffer[] {
    return this.last === undefined ? [] : [this.last]
  }

  deliver(chunk: Buffer): boolean {
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
    if (!incoming.caller.hasSentHead) {
      incoming.caller.writeHead(answer.status, answerHeaders(this.request), answer.isDelimited)
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
function billableTokens(
  request: DispatchedRequest,
  end: DeliveryEnd,
  usage: ReportedUsage,
): TokenCount {
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
function noteFate(request: DispatchedRequest, { code }: DeliveryEnd): void {
  const { framing, end = 'aborted', endpointId } = request.answer
  // Whoever was asked to go on after it did not answer.
  const routing = request.record.routing.findLast(record => record.endpointId === endpointId)
  if (routing === undefined) return
  routing.answer = { framing, end, fate: fateOf(request, code) }
}

function fateOf({ incoming }: DispatchedRequest, code: DispatchedCode): AnswerDisposition {
  if (code === ResultCode.Ok || code === ResultCode.EndpointError) return 'whole'
  if (code === ResultCode.CallerLeft) return 'dropped'
  return incoming.caller.hasSentHead ? 'cut' : 'refused'
}

function isEventStream({ answer }: DispatchedRequest): boolean {
  return (answer.headers['content-type'] ?? '').startsWith('text/event-stream')
}
