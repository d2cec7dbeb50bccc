/**
 * Has another engine go on with a streamed chat that was cut. Owns the memory of what callers have; relies on dispatch for
 * the engine. The rule is in decisions/retrying/continuation.
 */

import { afterCut } from '@rackwalk/decisions'
import type { AnswerEnd, CutStep } from '@rackwalk/decisions'
import type { Clock } from '@rackwalk/shared'
import type { HoldSpace } from '../engine/answerHold.js'
import type { ChatRequest } from '../engine/chatRequest.js'
import { continuedChat } from '../engine/continuedChat.js'
import { KeptAnswer } from '../engine/keptAnswer.js'
import type { ReportedUsage } from '../engine/usage.js'
import type { Catalogue } from '../resources/catalogue.js'
import type { DispatchFilter } from './dispatch.js'
import type { EventPassage } from './eventPassage.js'
import type { DispatchedRequest, RestOfAnswer } from './stages.js'

/** Parts that continuing works with. */
export interface ContinuationParts {
  readonly dispatch: Pick<DispatchFilter, 'continueElsewhere' | 'noteCutAtJoin'>
  readonly catalogue: Catalogue
  readonly space: HoldSpace
  readonly clock: Clock
  /** An engine goes on with the answer of another one. */
  readonly onContinued: () => void
}

/** Ends that leave an answer for another engine: it or the way to it brought them about. */
const ENGINES_ENDS: ReadonlySet<AnswerEnd> = new Set([
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
  keep(request: DispatchedRequest, chat: ChatRequest): KeptAnswer | undefined {
    if (!isContinuable(request, chat) || !this.hasEngine(request, chat)) return undefined
    const { endpointId } = request.answer
    const softwareVersion = this.parts.catalogue.softwareVersionOf(endpointId)
    const kept = new KeptAnswer(this.parts.space, softwareVersion)
    request.scope.onEnd(() => kept.release())
    return kept
  }

  /** The answer of the engine that goes on; undefined where none does, or nothing is missing any more. */
  async goOn(
    cut: DispatchedRequest,
    chat: ChatRequest,
    passage: EventPassage,
  ): Promise<DispatchedRequest | undefined> {
    const { kept } = passage
    const step = this.stepOf(cut, chat, passage)
    if (kept?.usage === undefined || step.kind === 'cut') return undefined
    if (step.kind === 'close') {
      passage.close(kept.usage, step.finishReason)
      return undefined
    }
    return this.ask(cut, passage, {
      body: bodyOf(chat, kept, step.outputTokens),
      softwareVersion: kept.softwareVersion,
      usage: kept.usage,
    })
  }

  /** The answer is cut for good: whether the request may have ended the engine that went on is looked at. */
  noteCut(cut: DispatchedRequest, passage: EventPassage): void {
    const { continuation } = passage
    const isAtJoin = continuation !== undefined && !continuation.hasBegun
    if (isAtJoin && isOfEngine(cut)) this.parts.dispatch.noteCutAtJoin(cut)
  }

  private async ask(
    cut: DispatchedRequest,
    passage: EventPassage,
    rest: RestOfAnswer & { readonly usage: ReportedUsage },
  ): Promise<DispatchedRequest | undefined> {
    const routing = cut.record.routing.at(-1)
    const { framing, end = 'aborted' } = cut.answer
    const next = await this.parts.dispatch.continueElsewhere(cut, rest)
    if (routing) routing.answer = { framing, end, fate: next === undefined ? 'cut' : 'continued' }
    if (next === undefined) return undefined
    passage.goOn(rest.usage)
    this.parts.onContinued()
    return next
  }

  private stepOf(cut: DispatchedRequest, chat: ChatRequest, passage: EventPassage): CutStep {
    const { kept, continuation } = passage
    const isLate = this.parts.clock.sinceStart() >= cut.deadline
    return afterCut({
      isContinuable: kept !== undefined && isContinuable(cut, chat),
      isKnown: kept?.isKnown === true,
      isFinished: kept?.isFinished === true,
      generatedTokens: kept?.usage?.generatedTokens,
      outputTokenLimit: chat.outputTokenLimit,
      continuations: continuation === undefined ? 0 : 1,
      isOver: isLate || cut.incoming.caller.left.aborted || !isOfEngine(cut),
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
  return answer.end !== undefined && ENGINES_ENDS.has(answer.end)
}

/** Before any text the chat is asked anew. */
function bodyOf({ body }: ChatRequest, { text }: KeptAnswer, outputTokens: number) {
  return text === ''
    ? { ...body, max_tokens: outputTokens }
    : continuedChat(body, text, outputTokens)
}
