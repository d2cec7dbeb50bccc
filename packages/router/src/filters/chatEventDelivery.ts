/**
 * Delivers a chat's event stream: withholds the closing events (the usage chunk and the end
 * marker), reads the usage reports, and appends the events of an engine that continues an answer to
 * those that the caller already has.
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

/** Dependencies of a chat event delivery. */
export interface EventDeliveryParts {
  readonly ledger: BudgetLedger
  readonly onTokens: (tokens: number) => void
}

/** The delivery of a streamed chat. */
export class ChatEventDelivery implements AnswerDelivery {
  readonly withheldChunks: Buffer[] = []
  hasEndMarker = false
  /** Rewrites the events of the run that continues the answer; undefined during the first run. */
  continuation: ContinuationRewriter | undefined
  private splitter = new EventSplitter()
  private lastEvent: Buffer | undefined
  private deliveredEvents = 0
  private hasPromptTokens = false
  private usageEvent: Buffer | undefined

  constructor(
    private readonly request: DispatchedRequest,
    private readonly chat: ChatRequest,
    private readonly parts: EventDeliveryParts,
    /** What the caller has received; undefined if the chat is not continued. */
    readonly deliveredChat: DeliveredChat | undefined,
  ) {
    // The head can be sent before the outcome is known: the last event shows that the answer is
    // complete, and an error event may take its place.
    request.incoming.caller.writeHead(request.answer.status, answerHeaders(request))
  }

  deliver(chunk: Buffer): boolean {
    const forwarded = this.eventsOf(chunk).filter(event => this.shouldForward(event))
    if (forwarded.length === 0) return true
    this.deliveredEvents += forwarded.length
    this.lastEvent = forwarded.at(-1)
    this.parts.onTokens(forwarded.length)
    if (!this.hasPromptTokens) this.shrinkReservation(forwarded[0])
    return this.request.incoming.caller.write(concatEvents(forwarded))
  }

  get isComplete(): boolean {
    return this.hasEndMarker
  }

  usage(): ReportedUsage {
    const closing = this.withheldChunks.find(event => isUsageEvent(event)) ?? this.usageEvent
    const reported = findUsage((closing ?? this.lastEvent)?.toString('utf8') ?? '')
    if (reported !== undefined) return reported
    // Without a report, each delivered event counts as one generated token, and outside of a
    // continuation the prompt counts with its upper bound.
    if (this.continuation !== undefined) return this.continuation.usage()
    return { promptTokens: this.chat.promptTokenBound, generatedTokens: this.deliveredEvents }
  }

  /**
   * Switches to the answer of another engine. An incomplete last event of the previous engine is
   * discarded.
   */
  startContinuation(usage: ReportedUsage): void {
    this.continuation = new ContinuationRewriter(this.firstRun(usage))
    this.splitter = new EventSplitter()
    this.deliveredChat?.release()
  }

  /**
   * Appends the closing events that the engine did not send. To be called when all text has been
   * delivered.
   */
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

  /** Returns false for the closing events, which are withheld or dropped. */
  private shouldForward(event: Buffer): boolean {
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

  /** Releases the part of the reservation by which the bound exceeds the reported prompt size. */
  private shrinkReservation(first: Buffer | undefined): void {
    this.hasPromptTokens = true
    const reported = findUsage(first?.toString('utf8') ?? '')
    if (reported === undefined) return
    const tokens: TokenCount = reported.promptTokens + this.chat.outputTokenLimit
    this.parts.ledger.shrink(this.request.reservation, tokens)
  }
}
