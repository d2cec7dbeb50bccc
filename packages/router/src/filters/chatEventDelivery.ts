/**
 * A chat's stream of events on its way: keeps back the closing ones, watches the usage reports, and joins the events of an
 * engine that goes on with an answer to those that its caller has.
 */

import type { TokenCount } from '@rackwalk/shared'
import type { BudgetLedger } from '@rackwalk/coordination'
import { ContinuationRewriter, closingEvents } from '../engine/continuationRewriter.js'
import { EventSplitter, isDoneEvent, isUsageEvent } from '../engine/eventSplitter.js'
import type { DeliveredChat } from '../engine/deliveredChat.js'
import type { ReportedUsage } from '../engine/usage.js'
import { findUsage } from '../engine/usage.js'
import { answerHeaders } from './answerHeaders.js'
import type { AnswerDelivery } from './answerDelivery.js'
import { concatEvents } from './answerDelivery.js'
import type { ChatRequest } from '../engine/chatRequest.js'
import type { DispatchedRequest } from './stages.js'

/** What the events of a chat are passed on with. */
export interface EventPassageParts {
  readonly ledger: BudgetLedger
  readonly onTokens: (tokens: number) => void
}

/** A streamed chat on its way. */
export class ChatEventDelivery implements AnswerDelivery {
  readonly withheldChunks: Buffer[] = []
  hasEndMarker = false
  /** The run that goes on with the answer; undefined while the first one is passed on. */
  continuation: ContinuationRewriter | undefined
  private splitter = new EventSplitter()
  private lastEvent: Buffer | undefined
  private events = 0
  private promptKnown = false
  private usageEvent: Buffer | undefined

  constructor(
    private readonly request: DispatchedRequest,
    private readonly chat: ChatRequest,
    private readonly parts: EventPassageParts,
    /** What the caller has; undefined where the chat is not continued. */
    readonly deliveredChat: DeliveredChat | undefined,
  ) {
    // Its last event tells that it is whole, or an error event in place of it.
    request.incoming.caller.writeHead(request.answer.status, answerHeaders(request))
  }

  deliver(chunk: Buffer): boolean {
    const passed = this.eventsOf(chunk).filter(event => this.passes(event))
    if (passed.length === 0) return true
    this.events += passed.length
    this.lastEvent = passed.at(-1)
    this.parts.onTokens(passed.length)
    if (!this.promptKnown) this.shrinkReservation(passed[0])
    return this.request.incoming.caller.write(concatEvents(passed))
  }

  get isComplete(): boolean {
    return this.hasEndMarker
  }

  usage(): ReportedUsage {
    const closing = this.withheldChunks.find(event => isUsageEvent(event)) ?? this.usageEvent
    const reported = findUsage((closing ?? this.lastEvent)?.toString('utf8') ?? '')
    if (reported !== undefined) return reported
    // An engine that reports nothing before the end is counted by what was passed on.
    if (this.continuation !== undefined) return this.continuation.usage()
    return { promptTokens: this.chat.promptTokenBound, generatedTokens: this.events }
  }

  /** Another engine goes on: what of its predecessor's last event was not whole is void. */
  startContinuation(usage: ReportedUsage): void {
    this.continuation = new ContinuationRewriter(this.firstRun(usage))
    this.splitter = new EventSplitter()
    this.deliveredChat?.release()
  }

  /** All text is there: gives the answer the closing events that its engine did not come to. */
  appendClosingEvents(usage: ReportedUsage, finishReason: 'length' | undefined): void {
    const chunks = closingEvents(this.firstRun(usage), finishReason)
    if (chunks.finish) this.request.incoming.caller.write(chunks.finish)
    this.usageEvent ??= chunks.usage
    if (this.chat.wantsUsage && this.withheldChunks.length === 0)
      this.withheldChunks.push(this.usageEvent)
    this.withheldChunks.push(chunks.done)
    this.hasEndMarker = true
  }

  private firstRun(usage: ReportedUsage) {
    const { outputTokenLimit } = this.chat
    return { head: this.deliveredChat?.head ?? {}, usage, outputTokenLimit }
  }

  private eventsOf(chunk: Buffer): readonly Buffer[] {
    const events = this.splitter.split(chunk)
    const { continuation } = this
    if (continuation === undefined) return events
    return events.flatMap(event => continuation.rewrite(event) ?? [])
  }

  /** False for the events that close the answer; those are kept back or dropped. */
  private passes(event: Buffer): boolean {
    if (isDoneEvent(event)) {
      this.hasEndMarker = true
      this.withheldChunks.push(Buffer.from(event))
      return false
    }
    if (this.continuation === undefined) this.deliveredChat?.append(event)
    if (!isUsageEvent(event)) return true
    this.usageEvent = Buffer.from(event)
    if (this.chat.wantsUsage) this.withheldChunks.push(this.usageEvent)
    return false
  }

  /** The prompt's true count frees what the bound reserved too much. */
  private shrinkReservation(first: Buffer | undefined): void {
    this.promptKnown = true
    const reported = findUsage(first?.toString('utf8') ?? '')
    if (reported === undefined) return
    const tokens: TokenCount = reported.promptTokens + this.chat.outputTokenLimit
    this.parts.ledger.shrink(this.request.reservation, tokens)
  }
}
