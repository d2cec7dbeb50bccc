/**
 * Passes the body of an endpoint's answer on to the caller: streams by whole events as they come,
 * other answers when they are whole, or as they come where they are large. Owns what is held back
 * of one answer; relies on the exchange to tell a whole answer from a broken one.
 */

import type { IncomingMessage } from 'node:http'
import type { CallerReply } from './callerReply.js'
import type { EventRelay } from './eventRelay.js'
import type { AnswerRecord } from './gatewayRecord.js'
import type { UpstreamExchange } from './upstreamExchange.js'

/** What an answer is passed on with. */
export interface AnswerRelayParts {
  readonly exchange: UpstreamExchange
  readonly response: IncomingMessage
  readonly reply: CallerReply
  /** Events of all attempts at the request. */
  readonly events: EventRelay
  /** Whether the caller has left or the deadline has passed. */
  readonly isOver: () => boolean
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
export class AnswerRelay {
  private held: Buffer[] = []
  private heldBytes = 0
  private receivedBytes = 0
  private passedBytes = 0
  private eventCount = 0

  constructor(private readonly parts: AnswerRelayParts) {}

  /** How the body came; ask it when the answer has ended. */
  get record(): AnswerRecord {
    const { framing, answerEnd } = this.parts.exchange
    return {
      framing,
      end: answerEnd,
      events: this.eventCount,
      withheldBytes: this.receivedBytes - this.passedBytes,
    }
  }

  /** Passes whole events on as they come; a rest without its end is never passed on. */
  relayEvents(): Promise<boolean> {
    const { exchange, events, reply } = this.parts
    events.continueElsewhere()
    return new Promise(resolve => {
      exchange.readBody({
        onData: chunk => this.passEvents(chunk),
        onEnd: isComplete => {
          const isWhole = isComplete && !events.isInsideEvent
          if (isWhole) {
            this.start()
            reply.end()
          }
          resolve(isWhole)
        },
      })
    })
  }

  /** Keeps an answer until it is whole; a large one is passed on as it comes. */
  relayWhole(): Promise<boolean> {
    const { exchange, reply, isOver } = this.parts
    return new Promise(resolve => {
      exchange.readBody({
        onData: chunk => this.hold(chunk),
        onEnd: isComplete => {
          const isWhole = isComplete && !isOver()
          if (isWhole) {
            this.start()
            this.passedBytes += this.heldBytes
            reply.end(this.takeHeld())
          }
          resolve(isWhole)
        },
      })
    })
  }

  private passEvents(chunk: Buffer): void {
    const { events, isOver, onEvents } = this.parts
    this.receivedBytes += chunk.length
    const whole = events.read(chunk)
    this.eventCount += whole.length
    if (whole.length === 0 || isOver()) return
    onEvents(whole.length)
    this.start()
    this.write(whole.length === 1 ? (whole[0] ?? chunk) : Buffer.concat(whole))
  }

  private hold(chunk: Buffer): void {
    this.parts.onBytes()
    this.receivedBytes += chunk.length
    this.held.push(chunk)
    this.heldBytes += chunk.length
    if (this.heldBytes < MAXIMUM_HELD_BYTES || this.parts.isOver()) return
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
    reply.start(response, exchange.isFramed)
  }

  /** A caller that reads slowly slows the endpoint down, not this process's memory. */
  private write(bytes: Buffer): void {
    const { reply, exchange } = this.parts
    this.passedBytes += bytes.length
    if (!reply.write(bytes, () => exchange.resume())) exchange.pause()
  }
}
