/**
 * Passes the body of an endpoint's answer on to the caller: streams by whole events as they come,
 * other answers when they are whole, or as they come where they are large. Owns what is held back
 * of one answer; relies on the exchange to tell a whole answer from a broken one.
 */

import type { IncomingMessage } from 'node:http'
import { isProvenComplete } from '@rackwalk/decisions'
import type { AnswerEnd, AnswerFraming, EndedAnswer } from '@rackwalk/decisions'
import type { CallerReply } from './callerReply.js'
import type { EventDelivery } from './eventDelivery.js'
import type { AnswerRecord } from './gatewayRecord.js'
import type { UpstreamExchange } from './upstreamExchange.js'

/** What an answer is passed on with. */
export interface GatewayAnswerDeliveryParts {
  readonly exchange: UpstreamExchange
  readonly response: IncomingMessage
  readonly reply: CallerReply
  /** Events of all attempts at the request. */
  readonly events: EventDelivery
  /** The caller is about to get the first bytes of an answer. */
  readonly onStart: () => void
  /** Whole events have come from the endpoint; the first ones say that its prompt is read. */
  readonly onEvents: (count: number) => void
  /** Bytes of an answer that is no stream have come. */
  readonly onBytes: () => void
}

/** Answers up to this size are kept until they are whole, so that a broken one can be repeated. */
const MAXIMUM_HELD_BYTES = 256 * 1024

/** One answer on its way to the caller. */
export class GatewayAnswerDelivery {
  private held: Buffer[] = []
  private heldBytes = 0
  private receivedBytes = 0
  private passedBytes = 0
  private eventCount = 0
  private isStream = false
  private ended: EndedAnswer | undefined

  constructor(private readonly parts: GatewayAnswerDeliveryParts) {}

  /** How the body came; undefined until it has ended. */
  get record(): AnswerRecord | undefined {
    if (this.ended === undefined) return undefined
    const { framing, end } = this.ended
    const withheldBytes = this.receivedBytes - this.passedBytes
    return { framing, end, events: this.eventCount, withheldBytes }
  }

  /** Passes whole events on as they come; a rest without its end is never passed on. */
  relayEvents(): Promise<EndedAnswer> {
    const { events } = this.parts
    this.isStream = true
    events.continueElsewhere()
    return this.relay(
      chunk => this.passEvents(chunk),
      () => events.isInsideEvent,
    )
  }

  /** Keeps an answer until it is whole; a large one is passed on as it comes. */
  relayWhole(): Promise<EndedAnswer> {
    return this.relay(
      chunk => this.hold(chunk),
      () => false,
    )
  }

  /** Only an answer that is proven whole is ended. */
  private relay(onData: (chunk: Buffer) => void, isBodyOpen: () => boolean): Promise<EndedAnswer> {
    const { exchange } = this.parts
    return new Promise(resolve => {
      const onEnd = (end: AnswerEnd) => {
        const ended = { framing: exchange.framing, end, isBodyTruncated: isBodyOpen() }
        if (isProvenComplete(ended)) this.end()
        this.ended = ended
        resolve(ended)
      }
      exchange.readBody({ onData, onEnd })
    })
  }

  private end(): void {
    this.start()
    this.passedBytes += this.heldBytes
    this.parts.reply.end(this.takeHeld())
  }

  private passEvents(chunk: Buffer): void {
    const { events, onEvents } = this.parts
    this.receivedBytes += chunk.length
    const whole = events.read(chunk)
    if (whole.length === 0) return
    this.eventCount += whole.length
    onEvents(whole.length)
    this.start()
    this.write(whole.length === 1 ? (whole[0] ?? chunk) : Buffer.concat(whole))
  }

  private hold(chunk: Buffer): void {
    this.parts.onBytes()
    this.receivedBytes += chunk.length
    this.held.push(chunk)
    this.heldBytes += chunk.length
    if (this.heldBytes < MAXIMUM_HELD_BYTES) return
    this.start()
    this.write(this.takeHeld())
  }

  private takeHeld(): Buffer {
    const bytes = Buffer.concat(this.held)
    this.held = []
    this.heldBytes = 0
    return bytes
  }

  private start(): void {
    const { reply, response, exchange, onStart } = this.parts
    if (reply.isStarted) return
    onStart()
    reply.start(response, this.isLengthKnown(exchange.framing))
  }

  /** Another endpoint may go on with a stream and word the rest otherwise. */
  private isLengthKnown(framing: AnswerFraming): boolean {
    if (framing === 'bodiless') return true
    return framing === 'length' && !this.isStream
  }

  /** A caller that reads slowly slows the endpoint down, not this process's memory. */
  private write(bytes: Buffer): void {
    const { reply, exchange } = this.parts
    this.passedBytes += bytes.length
    if (!reply.write(bytes, () => exchange.resume())) exchange.pause()
  }
}
