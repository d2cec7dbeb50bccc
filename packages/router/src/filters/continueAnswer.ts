/**
 * Has another engine go on with a streamed chat that was cut. Owns the memory of what callers have; relies on dispatch for
 * the engine. The rule is in decisions/retrying/continuation.
 */

import { continuationStep } from '@rackwalk/decisions'
import type { AnswerEnd, ContinuationStep } from '@rackwalk/decisions'
import type { Clock } from '@rackwalk/shared'
import type { AnswerBufferPool } from '../engine/answerBuffer.js'
import type { ChatRequest } from '../engine/chatRequest.js'
import { continuationBody } from '../engine/chatContinuation.js'
import { DeliveredChat } from '../engine/deliveredChat.js'
import type { ReportedUsage } from '../engine/usage.js'
import type { Catalogue } from '../resources/catalogue.js'
import type { DispatchFilter } from './dispatch.js'
import type { ChatEventDelivery } from './chatEventDelivery.js'
import type { DispatchedRequest, ContinuationRequest } from './stages.js'

/** Parts that continuing works with. */
export interface ContinuationParts {
  readonly dispatch: Pick<DispatchFilter, 'dispatchContinuation' | 'noteContinuationFailure'>
  readonly catalogue: Catalogue
  readonly space: AnswerBufferPool
  readonly clock: Clock
  /** An engine goes on with the answer of another one. */
  readonly onContinued: () => void
}

/** Ends that leave an answer for another engine: it or the way to it brought them about. */
const CONTINUABLE_ENDS: ReadonlySet<AnswerEnd> = new Set([
  'complete',
  'closed',
  'reset',
  'silence',
  'endpoint-ended',
])

/** Goes on with answers that were cut. */
export class AnswerContinuation {
  constructor(private readonly parts: ContinuationParts) {}

  /** Where what the caller has is kept; undefined where no engine could go on with it. */
  trackDelivered(request: DispatchedRequest, chat: ChatRequest): DeliveredChat | undefined {
    if (!isContinuable(request, chat) || !this.hasEngine(request, chat)) return undefined
    const { endpointId } = request.answer
    const softwareVersion = this.parts.catalogue.softwareVersionOf(endpointId)
    const kept = new DeliveredChat(this.parts.space, softwareVersion)
    request.scope.onEnd(() => kept.release())
    return kept
  }

  /** The answer of the engine that goes on; undefined where none does, or nothing is missing any more. */
  async continueAnswer(
    cut: DispatchedRequest,
    chat: ChatRequest,
    passage: ChatEventDelivery,
  ): Promise<DispatchedRequest | undefined> {
    const { deliveredChat } = passage
    const step = this.stepOf(cut, chat, passage)
    if (deliveredChat?.usage === undefined || step.kind === 'cut') return undefined
    if (step.kind === 'close') {
      passage.appendClosingEvents(deliveredChat.usage, step.finishReason)
      return undefined
    }
    return this.ask(cut, passage, {
      body: bodyOf(chat, deliveredChat, step.outputTokens),
      softwareVersion: deliveredChat.softwareVersion,
      usage: deliveredChat.usage,
    })
  }

  /** The answer is cut for good: whether the request may have ended the engine that went on is looked at. */
  noteInterrupted(cut: DispatchedRequest, passage: ChatEventDelivery): void {
    const { continuation } = passage
    const isAtJoin = continuation !== undefined && !continuation.hasBegun
    if (isAtJoin && isOfEngine(cut)) this.parts.dispatch.noteContinuationFailure(cut)
  }

  private async ask(
    cut: DispatchedRequest,
    passage: ChatEventDelivery,
    rest: ContinuationRequest & { readonly usage: ReportedUsage },
  ): Promise<DispatchedRequest | undefined> {
    const routing = cut.record.routing.at(-1)
    const { framing, end = 'aborted' } = cut.answer
    const next = await this.parts.dispatch.dispatchContinuation(cut, rest)
    if (routing) routing.answer = { framing, end, fate: next === undefined ? 'cut' : 'continued' }
    if (next === undefined) return undefined
    passage.startContinuation(rest.usage)
    this.parts.onContinued()
    return next
  }

  private stepOf(
    cut: DispatchedRequest,
    chat: ChatRequest,
    passage: ChatEventDelivery,
  ): ContinuationStep {
    const { deliveredChat, continuation } = passage
    const isLate = this.parts.clock.sinceStart() >= cut.deadline
    return continuationStep({
      isContinuable: deliveredChat !== undefined && isContinuable(cut, chat),
      isFullyKnown: deliveredChat?.isReconstructible === true,
      isFinished: deliveredChat?.isFinished === true,
      generatedTokens: deliveredChat?.usage?.generatedTokens,
      outputTokenLimit: chat.outputTokenLimit,
      continuations: continuation === undefined ? 0 : 1,
      isAbandoned: isLate || cut.incoming.caller.disconnectSignal.aborted || !isOfEngine(cut),
    })
  }

  private hasEngine({ answer }: DispatchedRequest, { modelId }: ChatRequest): boolean {
    const { catalogue } = this.parts
    const softwareVersion = catalogue.softwareVersionOf(answer.endpointId)
    return catalogue.endpoints.some(
      ({ endpointId, spec }) =>
        endpointId !== answer.endpointId &&
        spec.kind === 'model' &&
        spec.continuesAnswers === true &&
        catalogue.softwareVersionOf(endpointId) === softwareVersion &&
        spec.models.includes(modelId),
    )
  }
}

function isContinuable({ repeatable }: DispatchedRequest, { isContinuable }: ChatRequest): boolean {
  return repeatable && isContinuable
}

function isOfEngine({ answer }: DispatchedRequest): boolean {
  return answer.end !== undefined && CONTINUABLE_ENDS.has(answer.end)
}

/** Before any text the chat is asked anew. */
function bodyOf({ body }: ChatRequest, { text }: DeliveredChat, outputTokens: number) {
  return text === ''
    ? { ...body, max_tokens: outputTokens }
    : continuationBody(body, text, outputTokens)
}
