/**
 * Delivers the head and body of an endpoint's answer to the caller: streams by complete events as they
 * arrive, other answers once they are complete, or from `MAXIMUM_HELD_BYTES` on as they arrive. Ends the
 * caller's answer only if the endpoint's answer is proven complete. Owns the part of one answer that is held
 * back; relies on the exchange to tell a complete answer from an interrupted one.
 */

import type { IncomingMessage } from 'node:http'
import { isBodyMissing, isProvenComplete } from '@rackwalk/decisions'
import type { AnswerEnd, AnswerFraming, EndedAnswer } from '@rackwalk/decisions'
import { OversizedEventError } from '../engine/eventSplitter.js'
import { HeldBytes } from '../engine/heldBytes.js'
import type { CallerReply } from './callerReply.js'
import type { EventDelivery } from './eventDelivery.js'
import type { AnswerRecord } from './gatewayRecord.js'
import type { UpstreamExchange } from './upstreamExchange.js'

/** Dependencies and callbacks of a delivery. */
export interface GatewayAnswerDeliveryParts {
  readonly exchange: UpstreamExchange
  readonly response: IncomingMessage
  readonly reply: CallerReply
  /** Events of all attempts at the request. */
  readonly events: EventDelivery
  /** The caller is about to receive the first bytes of an answer. */
  readonly onStart: () => void
  /** Complete events arrived from the endpoint; the first ones show that it has read the prompt. */
  readonly onEvents: (count: number) => void
  /** Bytes arrived of an answer that is no stream. */
  readonly onBytes: () => void
}

/**
 * An answer that is no stream is held until it is complete or reaches this size, so that the request can be
 * repeated if the answer is interrupted.
 */
const MAXIMUM_HELD_BYTES = 256 * 1024

/** Thrown if an answer holds an event that does not follow those that its caller has. */
class StrayEventError extends Error {}

/** Delivers one answer to its caller. */
export class GatewayAnswerDelivery {
  private readonly held = new HeldBytes(MAXIMUM_HELD_BYTES)
  private receivedBytes = 0
  private deliveredBytes = 0
  private eventCount = 0
  private isStream = false
  private ended: EndedAnswer | undefined

  constructor(private readonly parts: GatewayAnswerDeliveryParts) {}

  /** How the body arrived; undefined until it has ended. */
  get record(): AnswerRecord | undefined {
    if (this.ended === undefined) return undefined
    const { framing, end } = this.ended
    const bodyBytes = this.receivedBytes
    const withheldBytes = bodyBytes - this.deliveredBytes
    const bytes = { bodyBytes, withheldBytes }
    return { framing, end, events: this.eventCount, ...bytes, ...this.order }
  }

  /** Which part of the stream this answer gave; empty for an answer that is no stream. */
  private get order(): Pick<AnswerRecord, 'firstEventId' | 'lastEventId' | 'hasStrayEvent'> {
    const { idsOfAnswer, hasStrayEvent } = this.parts.events
    const ids = this.isStream ? idsOfAnswer : { first: undefined, last: undefined }
    return { firstEventId: ids.first, lastEventId: ids.last, hasStrayEvent }
  }

  /** Delivers complete events as they arrive; an incomplete event at the end is never delivered. */
  deliverEvents(): Promise<EndedAnswer> {
    const { events } = this.parts
    this.isStream = true
    events.continueElsewhere()
    return this.readBody(
      chunk => this.writeEvents(chunk),
      () => events.isInsideEvent,
    )
  }

  /** Holds an answer until it is complete; a large one is delivered as it arrives. */
  deliverWhole(): Promise<EndedAnswer> {
    return this.readBody(
      chunk => this.hold(chunk),
      () => false,
    )
  }

  /**
   * Reads the body. Ends the caller's answer only if the endpoint's answer is proven complete. Whatever the listeners
   * throw rejects the returned promise: out of a socket's listener it would end the process with all its requests.
   */
  private readBody(
    onData: (chunk: Buffer) => void,
    isBodyOpen: () => boolean,
  ): Promise<EndedAnswer> {
    const { exchange } = this.parts
    return new Promise((resolve, reject) => {
      const finish = (end: AnswerEnd) => {
        if (this.ended !== undefined) return
        const { framing } = exchange
        const isBodyTruncated = isBodyOpen() || this.isBodyMissing(framing)
        const ended = { framing, end, isBodyTruncated }
        if (isProvenComplete(ended)) this.end()
        this.ended = ended
        resolve(ended)
      }
      const fail = (thrown: unknown) => {
        exchange.abort('aborted')
        if (isInvalidBody(thrown)) finish('reset')
        else reject(thrown as Error)
      }
      exchange.readBody({ onData: guarded(onData, fail), onEnd: guarded(finish, fail) })
    })
  }

  private isBodyMissing(framing: AnswerFraming): boolean {
    const { statusCode: status = 0 } = this.parts.response
    return isBodyMissing(framing, { status, hasBody: this.receivedBytes > 0 })
  }

  private end(): void {
    this.start()
    this.deliveredBytes += this.held.length
    this.parts.reply.end(this.held.take())
  }

  private writeEvents(chunk: Buffer): void {
    const { events } = this.parts
    this.receivedBytes += chunk.length
    const whole = events.read(chunk)
    if (whole.length > 0) this.writeWhole(whole)
    if (events.hasStrayEvent) throw new StrayEventError()
  }

  private writeWhole(whole: readonly Buffer[]): void {
    this.eventCount += whole.length
    this.parts.onEvents(whole.length)
    this.start()
    const [first] = whole
    this.write(whole.length === 1 && first !== undefined ? first : Buffer.concat(whole))
  }

  private hold(chunk: Buffer): void {
    this.parts.onBytes()
    this.receivedBytes += chunk.length
    this.held.append(chunk)
    if (this.held.length < MAXIMUM_HELD_BYTES) return
    this.start()
    this.write(this.held.take())
  }

  private start(): void {
    const { reply, response, exchange, onStart } = this.parts
    if (reply.isStarted) return
    onStart()
    reply.start(response, this.isLengthKnown(exchange.framing))
  }

  /**
   * The length of a stream is never declared: another endpoint may continue it and word the rest differently.
   */
  private isLengthKnown(framing: AnswerFraming): boolean {
    if (framing === 'bodiless') return true
    return framing === 'length' && !this.isStream
  }

  /**
   * Delivers bytes. Pauses reading from the endpoint while the caller is behind, so that a slow caller slows
   * down the endpoint instead of filling this process's memory.
   */
  private write(bytes: Buffer): void {
    const { reply, exchange } = this.parts
    this.deliveredBytes += bytes.length
    if (!reply.write(bytes, () => exchange.resume())) exchange.pause()
  }
}

function isInvalidBody(thrown: unknown): boolean {
  return thrown instanceof OversizedEventError || thrown instanceof StrayEventError
}

/** Returns the listener with a handler for what it throws. After the first throw, the listener is not called again. */
function guarded<Argument>(
  listener: (argument: Argument) => void,
  onThrow: (thrown: unknown) => void,
): (argument: Argument) => void {
  let hasThrown = false
  return argument => {
    if (hasThrown) return
    try {
      listener(argument)
    } catch (thrown) {
      hasThrown = true
      onThrow(thrown)
    }
  }
}
