/**
 * Splits the streams of all answers to one request into complete events, counts the events and remembers the
 * last event id, so that another endpoint can resume after it. Owns the incomplete event at the end.
 */

import { EventSplitter } from '../engine/eventSplitter.js'

const ID_LINE = /^id:[ ]?(.*)$/m

/** The events of all answers to one request. */
export class EventDelivery {
  private splitter = new EventSplitter()
  private count = 0
  private lastId: string | undefined

  /**
   * Returns the complete events in the received bytes, one slice each; an incomplete rest is kept until its
   * end arrives.
   */
  read(chunk: Buffer): readonly Buffer[] {
    const events = this.splitter.split(chunk)
    for (const event of events) this.note(event)
    return events
  }

  /** Another endpoint continues after the last complete event, so the incomplete rest is discarded. */
  continueElsewhere(): void {
    this.splitter = new EventSplitter()
  }

  /** Number of complete events so far. */
  get events(): number {
    return this.count
  }

  /** Id of the last complete event that has one; undefined if none has. */
  get lastEventId(): string | undefined {
    return this.lastId
  }

  /** Whether an incomplete event was received. */
  get isInsideEvent(): boolean {
    return this.splitter.remainderBytes > 0
  }

  private note(event: Buffer): void {
    this.count += 1
    const id = ID_LINE.exec(event.toString('latin1'))?.[1]
    if (id !== undefined) this.lastId = id.trim()
  }
}
