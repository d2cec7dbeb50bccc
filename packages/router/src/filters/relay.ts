/**
 * Passes an endpoint's answer on at the caller's pace, keeps back its end, and finds out what it cost.
 */

import { ResultCode } from '@rackwalk/shared'
import type { AfterDispatchCode, Clock, TokenCount } from '@rackwalk/shared'
import type { AnswerFate } from '@rackwalk/decisions'
import type { BudgetLedger } from '@rackwalk/coordination'
import { EventSplitter, isDoneEvent, isUsageEvent } from '../engine/eventSplitter.js'
import { endOf, isStall } from '../engine/endpointExchange.js'
import type { ReportedUsage } from '../engine/usage.js'
import { findUsage } from '../engine/usage.js'
import type { EndpointTable } from '../routing/endpointTable.js'
import { answerHeaders } from './answerHeaders.js'
import type { DispatchedRequest, Filter, RelayedRequest } from './stages.js'

/** Parts that relaying works with. */
export interface RelayParts {
  readonly ledger: BudgetLedger
  readonly endpoints: EndpointTable
  readonly clock: Clock
  readonly onTokens: (tokens: number) => void
}

/** Bytes at the end of a plain answer in which its usage report is looked for. */
const TAIL_BYTES = 64 * 1024
const NO_USAGE: ReportedUsage = { promptTokens: 0, generatedTokens: 0 }

/** How the passing-on ended. */
interface RelayEnd {
  readonly code: AfterDispatchCode
  readonly detail?: string
}

/** Passes an answer on, chunk by chunk at the caller's pace, all but its end. */
export class RelayFilter implements Filter<DispatchedRequest, RelayedRequest> {
  constructor(private readonly parts: RelayParts) {}

  async apply(request: DispatchedRequest): Promise<RelayedRequest> {
    const { record, receivedAt, answer } = request
    record.firstByteMilliseconds = this.parts.clock.sinceStart() - receivedAt
    const passage = this.passageOf(request)
    const failure = await this.pass(request, passage)
    answer.cancel()
    const end = this.endOf(request, passage, failure)
    noteFate(request, end)
    const usage = passage.usage()
    const billedTokens = billable(request, end, usage)
    const { code, detail } = end
    return { ...request, code, detail, heldBack: passage.heldBack, usage, billedTokens }
  }

  private passageOf(request: DispatchedRequest): Passage {
    if (isEventStream(request)) {
      return request.call.kind === 'chat'
        ? new EventPassage(request, this.parts)
        : new ServiceEventPassage(request)
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

/** One answer on its way through. */
interface Passage {
  /** False when the caller should first be allowed to drain. */
  take(chunk: Buffer): boolean
  /** What must not be passed on before the bill is safe. */
  readonly heldBack: readonly Buffer[]
  /** Whether something in the answer says that it is whole. */
  readonly isClosed: boolean
  /** Whether it is whole where its framing says so. */
  readonly isWhole: boolean
  usage(): ReportedUsage
}

/** A chat's stream of events: keeps back the closing ones and watches the usage reports. */
class EventPassage implements Passage {
  readonly heldBack: Buffer[] = []
  isClosed = false
  private readonly splitter = new EventSplitter()
  private readonly wantsUsage: boolean
  private lastEvent: Buffer | undefined
  private events = 0
  private promptKnown = false
  private usageEvent: Buffer | undefined

  constructor(
    private readonly request: DispatchedRequest,
    private readonly parts: RelayParts,
  ) {
    this.wantsUsage = request.call.kind === 'chat' && request.call.chat.wantsUsage
    // Its last event tells that it is whole, or an error event in place of it.
    request.incoming.caller.begin(request.answer.status, answerHeaders(request))
  }

  take(chunk: Buffer): boolean {
    const events = this.splitter.split(chunk)
    const passed = events.filter(event => this.passes(event))
    if (passed.length === 0) return true
    this.events += passed.length
    this.lastEvent = passed.at(-1)
    this.parts.onTokens(passed.length)
    if (!this.promptKnown) this.shrinkReservation(passed[0])
    return this.request.incoming.caller.write(joined(passed))
  }

  get isWhole(): boolean {
    return this.isClosed
  }

  usage(): ReportedUsage {
    const closing = this.heldBack.find(event => isUsageEvent(event)) ?? this.usageEvent
    const reported = findUsage((closing ?? this.lastEvent)?.toString('utf8') ?? '')
    if (reported !== undefined) return reported
    // An engine that reports nothing before the end is counted by what was passed on.
    const promptTokens =
      this.request.call.kind === 'chat' ? this.request.call.chat.promptTokenBound : 0
    return { promptTokens, generatedTokens: this.events }
  }

  /** False for the events that close the answer; those are kept back or dropped. */
  private passes(event: Buffer): boolean {
    if (isDoneEvent(event)) {
      this.isClosed = true
      this.heldBack.push(Buffer.from(event))
      return false
    }
    if (!isUsageEvent(event)) return true
    this.usageEvent = Buffer.from(event)
    if (this.wantsUsage) this.heldBack.push(this.usageEvent)
    return false
  }

  /** The prompt's true count frees what the bound reserved too much. */
  private shrinkReservation(first: Buffer | undefined): void {
    this.promptKnown = true
    const reported = findUsage(first?.toString('utf8') ?? '')
    if (reported === undefined || this.request.call.kind !== 'chat') return
    const tokens = reported.promptTokens + this.request.call.chat.outputTokenLimit
    this.parts.ledger.shrink(this.request.reservation, tokens)
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
  const routing = request.record.routing.at(-1)
  if (routing === undefined) return
  const { framing, end = 'aborted' } = request.answer
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

function joined(events: readonly Buffer[]): Buffer {
  const [only] = events
  return events.length === 1 && only !== undefined ? only : Buffer.concat(events)
}
