/**
 * Splits the streams of all answers to one request into complete events, counts the events and remembers the
 * last event id, so that another endpoint can resume after it. Withholds events that do not follow those that
 * the caller has. Owns the incomplete event at the end.
 */

import { isStrayEvent } from '@rackwalk/decisions'
import { EventSplitter } from '../engine/eventSplitter.js'
import type { RequestMetadata } from './dialect.js'

const ID_LINE = /^id:[ ]?(.*)$/m
const STATUS_LINE = /^HTTP\/\d\.\d \d{3}/

/** The events of all answers to one request. */
export class EventDelivery {
  private splitter = new EventSplitter()
  private count = 0
  private lastId: string | undefined
  private firstIdOfAnswer: string | undefined
  private lastIdOfAnswer: string | undefined
  private isStray = false

  /** `resumedAfter`: id of the last event that the caller has from its earlier requests, if it resumes a stream. */
  constructor(private readonly resumedAfter?: string) {}

  /**
   * Returns the complete events in the received bytes, one slice each; an incomplete rest is kept until its
   * end arrives. Returns nothing from a stray event on.
   */
  read(chunk: Buffer): readonly Buffer[] {
    const events: Buffer[] = []
    for (const event of this.splitter.split(chunk)) {
      if (this.note(event)) events.push(event)
    }
    return events
  }

  /**
   * Another endpoint continues after the last complete event, so the incomplete rest and what followed a stray
   * event are discarded.
   */
  continueElsewhere(): void {
    this.splitter = new EventSplitter()
    this.firstIdOfAnswer = undefined
    this.lastIdOfAnswer = undefined
    this.isStray = false
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

  /** Ids of the first and the last complete event of the current answer, among those that have one. */
  get idsOfAnswer(): { readonly first: string | undefined; readonly last: string | undefined } {
    return { first: this.firstIdOfAnswer, last: this.lastIdOfAnswer }
  }

  /** Whether the current answer holds an event that does not follow those that the caller has. */
  get hasStrayEvent(): boolean {
    return this.isStray
  }

  /** Counts an event, unless it or an earlier one of its answer is stray. Returns whether it was counted. */
  private note(event: Buffer): boolean {
    const text = event.toString('latin1')
    const id = ID_LINE.exec(text)?.[1]?.trim()
    const received = { beginsAnswer: STATUS_LINE.test(text), id }
    this.isStray ||= isStrayEvent(received, this.lastId ?? this.resumedAfter)
    if (this.isStray) return false
    this.count += 1
    if (id !== undefined) this.noteId(id)
    return true
  }

  private noteId(id: string): void {
    this.lastId = id
    this.lastIdOfAnswer = id
    this.firstIdOfAnswer ??= id
  }
}

/**
 * Returns the delivery of a request's events. They follow those that the caller has if the request resumes a
 * stream; a route without resumption leaves that to its endpoints.
 */
export function eventDeliveryOf({
  metadata,
  route,
}: {
  readonly metadata: Pick<RequestMetadata, 'resumption'>
  readonly route: { readonly isResumable: boolean }
}): EventDelivery {
  return new EventDelivery(route.isResumable ? metadata.resumption?.lastEventId : undefined)
}
