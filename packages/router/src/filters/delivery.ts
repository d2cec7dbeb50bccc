/**
 * Delivers an endpoint's answer at the caller's pace, withholds the end of the answer, lets another
 * engine continue an interrupted chat, and determines the result code and the cost.
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

/** Dependencies of delivery. */
export interface DeliveryParts {
  readonly ledger: BudgetLedger
  readonly endpoints: EndpointTable
  readonly clock: Clock
  readonly onTokens: (tokens: number) => void
  readonly continuation: AnswerContinuation
}

/** Bytes at the end of a plain answer that are searched for its usage report. */
const TAIL_BYTES = 64 * 1024
const NO_USAGE: ReportedUsage = { promptTokens: 0, generatedTokens: 0 }

/** The last engine's part of an answer, and the error that interrupted it, if any. */
interface DeliveredRun {
  readonly request: DispatchedRequest
  readonly failure: Error | undefined
}

/** How the delivery ended. */
interface DeliveryEnd {
  readonly code: DispatchedCode
  readonly detail?: string
}

/** Delivers an answer chunk by chunk at the caller's pace, except for its end. */
export class DeliveryFilter implements Filter<DispatchedRequest, DeliveredRequest> {
  constructor(private readonly parts: DeliveryParts) {}

  async apply(request: DispatchedRequest): Promise<DeliveredRequest> {
    const { record, receivedAt } = request
    record.firstByteMilliseconds = this.parts.clock.sinceStart() - receivedAt
    const delivery = this.createDelivery(request)
    const run = await this.deliverWithContinuation(request, delivery)
    run.request.answer.cancel()
    const end = this.endOf(run.request, delivery, run.failure)
    recordDisposition(run.request, end)
    const usage = delivery.usage()
    const billedTokens = billableTokens(request, end, usage)
    const { code, detail } = end
    return {
      ...run.request,
      code,
      detail,
      withheldChunks: delivery.withheldChunks,
      usage,
      billedTokens,
    }
  }

  /** Delivers the answer and, if it is interrupted, its continuation by another engine. */
  private async deliverWithContinuation(
    request: DispatchedRequest,
    delivery: AnswerDelivery,
  ): Promise<DeliveredRun> {
    const failure = await this.deliverRun(request, delivery)
    const { call } = request
    const isInterrupted = delivery instanceof ChatEventDelivery && !delivery.hasEndMarker
    if (!isInterrupted || call.kind !== 'chat') return { request, failure }
    const { continuation, endpoints } = this.parts
    const next = await continuation.continueAnswer(request, call.chat, delivery)
    if (next === undefined) return { request, failure }
    endpoints.noteFailure(request.answer.endpointId)
    const run = { request: next, failure: await this.deliverRun(next, delivery) }
    if (!delivery.hasEndMarker) continuation.noteInterrupted(next, delivery)
    return run
  }

  private createDelivery(request: DispatchedRequest): AnswerDelivery {
    const { call } = request
    if (isEventStream(request)) {
      if (call.kind !== 'chat') return new ServiceEventDelivery(request)
      const deliveredChat = this.parts.continuation.trackDelivered(request, call.chat)
      return new ChatEventDelivery(request, call.chat, this.parts, deliveredChat)
    }
    return request.answer.isComplete
      ? new BufferedAnswerDelivery(request)
      : new StreamedAnswerDelivery(request)
  }

  /** Resolves with the error that interrupted the answer, or with undefined at its end. */
  private deliverRun(
    request: DispatchedRequest,
    delivery: AnswerDelivery,
  ): Promise<Error | undefined> {
    const { answer, incoming } = request
    return new Promise(resolve => {
      const consumer = {
        isFull: false,
        receive: (chunk: Buffer) => {
          try {
            if (delivery.deliver(chunk) || consumer.isFull) return
          } catch (thrown) {
            return resolve(thrown as Error)
          }
          // Buffered chunks arrive in one go; one wait for the caller covers them all.
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

  private endOf(request: DispatchedRequest, delivery: AnswerDelivery, failure: Error | undefined) {
    if (request.incoming.caller.disconnectSignal.aborted)
      return { code: ResultCode.CallerLeft } as const
    // An answer with an end marker is complete, however its connection ended.
    return failure === undefined || delivery.hasEndMarker
      ? this.completeEnd(request, delivery)
      : this.interruptedEnd(request, failure)
  }

  private completeEnd(request: DispatchedRequest, delivery: AnswerDelivery): DeliveryEnd {
    const { endpointId, status } = request.answer
    if (!delivery.isComplete) {
      this.parts.endpoints.noteFailure(endpointId)
      return { code: ResultCode.EndpointBrokeOff, detail: 'the answer has no end' }
    }
    this.parts.endpoints.noteSuccess(endpointId)
    if (status >= 500) return { code: ResultCode.EndpointError, detail: `status ${status}` }
    return { code: ResultCode.Ok }
  }

  private interruptedEnd(request: DispatchedRequest, failure: Error): DeliveryEnd {
    if (answerEndOf(failure) === 'deadline' || this.parts.clock.sinceStart() >= request.deadline)
      return { code: ResultCode.DeadlinePassed }
    this.parts.endpoints.noteFailure(request.answer.endpointId)
    const detail = failure.message
    const code = isStall(failure) ? ResultCode.EndpointStalled : ResultCode.EndpointBrokeOff
    return { code, detail }
  }
}

/**
 * The delivery of a service's event stream, which is complete if its framing proves so or if it
 * contains a done event as the stream of a chat does.
 */
class ServiceEventDelivery implements AnswerDelivery {
  hasEndMarker = false
  private readonly splitter = new EventSplitter()
  private readonly closingEvents: Buffer[] = []

  constructor(private readonly request: DispatchedRequest) {
    request.incoming.caller.writeHead(request.answer.status, answerHeaders(request))
  }

  get isComplete(): boolean {
    return this.hasEndMarker || this.request.answer.isDelimited
  }

  /** Data after the last complete event still belongs to a complete answer. */
  get withheldChunks(): readonly Buffer[] {
    const { remainder } = this.splitter
    return remainder === undefined ? this.closingEvents : [...this.closingEvents, remainder]
  }

  deliver(chunk: Buffer): boolean {
    const forwarded = this.splitter.split(chunk).filter(event => this.shouldForward(event))
    return forwarded.length === 0 || this.request.incoming.caller.write(concatEvents(forwarded))
  }

  usage(): ReportedUsage {
    return NO_USAGE
  }

  private shouldForward(event: Buffer): boolean {
    this.hasEndMarker ||= isDoneEvent(event)
    if (this.hasEndMarker) this.closingEvents.push(Buffer.from(event))
    return !this.hasEndMarker
  }
}

/**
 * The delivery of an answer that is no event stream and was received completely. All of the answer
 * is withheld, including its head, so that an error can still replace it.
 */
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

/** The delivery of any other answer, as the answer arrives. Its last chunk is withheld. */
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

  /**
   * Sends the head together with the first bytes; until then an error can still replace the answer.
   */
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

/** Returns the end of an answer, which contains its usage report. */
function tailOf(chunks: readonly Buffer[]): Buffer {
  const data = Buffer.concat(chunks)
  return data.subarray(Math.max(0, data.length - TAIL_BYTES))
}

/**
 * Returns the tokens to bill, less those already billed for the same key. Complete answers are
 * billed, and so are those that the caller gave up or whose deadline passed. Service calls, answers
 * with an error status and answers that the fleet failed to complete cost nothing.
 */
function billableTokens(
  request: DispatchedRequest,
  end: DeliveryEnd,
  usage: ReportedUsage,
): TokenCount {
  const isError = request.answer.status >= 400
  const isBillable =
    end.code === ResultCode.Ok ||
    end.code === ResultCode.CallerLeft ||
    end.code === ResultCode.DeadlinePassed
  if (request.call.kind === 'service' || isError || !isBillable) return 0
  const cost = usage.promptTokens + usage.generatedTokens
  return Math.max(0, cost - request.creditedTokens)
}

/** Records what became of an answer that was delivered completely or in part. */
function recordDisposition(request: DispatchedRequest, { code }: DeliveryEnd): void {
  const { framing, end = 'aborted', endpointId } = request.answer
  // The last routing entry may belong to an engine that was asked to continue and did not answer.
  const routing = request.record.routing.findLast(record => record.endpointId === endpointId)
  if (routing === undefined) return
  routing.answer = { framing, end, fate: dispositionOf(request, code) }
}

function dispositionOf({ incoming }: DispatchedRequest, code: DispatchedCode): AnswerDisposition {
  if (code === ResultCode.Ok || code === ResultCode.EndpointError) return 'whole'
  if (code === ResultCode.CallerLeft) return 'dropped'
  return incoming.caller.hasSentHead ? 'cut' : 'refused'
}

function isEventStream({ answer }: DispatchedRequest): boolean {
  return (answer.headers['content-type'] ?? '').startsWith('text/event-stream')
}
