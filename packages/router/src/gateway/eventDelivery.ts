/**
 * Reads a stream of events as it passes: counts them and knows the last id. Owns the piece of an event
 * whose end has not come.
 */

import { EventSplitter } from '../engine/eventSplitter.js'

const ID_LINE = /^id:[ ]?(.*)$/m

/** The events of all answers to one request. */
export class EventDelivery {
  private splitter = new EventSplitter()
  private count = 0
  private lastId: string | undefined

  /** Whole events among the bytes, as one slice each; the rest waits for its end. */
  read(chunk: Buffer): readonly Buffer[] {
    const events = this.splitter.split(chunk)
    for (const event of events) this.note(event)
    return events
  }

  /** Another endpoint continues after the last whole event: the piece of the next one is void. */
  continueElsewhere(): void {
    this.splitter = new EventSplitter()
  }

  /** Events seen so far. */
  get events(): number {
    return this.count
  }

  /** Id of the last whole event. */
  get lastEventId(): string | undefined {
    return this.lastId
  }

  /** Whether bytes of an event without its end were seen. */
  get isInsideEvent(): boolean {
    return this.splitter.remainderBytes > 0
  }

  private note(event: Buffer): void {
    this.count += 1
    const id = ID_LINE.exec(event.toString('latin1'))?.[1]
    if (id !== undefined) this.lastId = id.trim()
  }
}
