/**
 * Splits a stream of server-sent events into events, and recognises the two kinds that delivery
 * withholds: the usage report and the end marker.
 */

import { HeldBytes } from './heldBytes.js'

const EVENT_END = Buffer.from('\n\n')
/**
 * Maximum size of an incomplete event, which bounds the memory. Engines send only shorter events.
 */
const MAXIMUM_EVENT_BYTES = 1024 * 1024

/** Thrown if an incomplete event exceeds the maximum size. */
export class OversizedEventError extends Error {}

/**
 * Splits a stream of server-sent events. The returned slices share the memory of the chunks; only
 * an event that spans chunks is copied.
 */
export class EventSplitter {
  /** The bytes after the last complete event. */
  private readonly incomplete = new HeldBytes(MAXIMUM_EVENT_BYTES)

  /**
   * Returns the events that the chunk completes, one slice each, including the blank line at the
   * end. Keeps the bytes of an incomplete event for the next call.
   */
  split(chunk: Buffer): readonly Buffer[] {
    // Only the last of the earlier bytes can belong to the blank line that ends the event.
    const searched = Math.max(0, this.incomplete.length - EVENT_END.length + 1)
    this.incomplete.append(chunk)
    const isComplete = this.incomplete.bytes.includes(EVENT_END, searched)
    const events = isComplete ? this.takeEvents() : []
    if (this.incomplete.length > MAXIMUM_EVENT_BYTES) throw new OversizedEventError()
    return events
  }

  /** Number of bytes after the last complete event. */
  get remainderBytes(): number {
    return this.incomplete.length
  }

  /** The bytes after the last complete event; undefined if there are none. */
  get remainder(): Buffer | undefined {
    return this.incomplete.length === 0 ? undefined : this.incomplete.bytes
  }

  private takeEvents(): readonly Buffer[] {
    const data = this.incomplete.take()
    const events: Buffer[] = []
    let start = 0
    for (;;) {
      const end = data.indexOf(EVENT_END, start)
      if (end < 0) break
      events.push(data.subarray(start, end + EVENT_END.length))
      start = end + EVENT_END.length
    }
    if (start < data.length) this.incomplete.append(data.subarray(start))
    return events
  }
}

const DONE = Buffer.from('data: [DONE]')
const EMPTY_CHOICES = Buffer.from('"choices":[]')

/** Whether an event is the end marker of an answer. */
export function isDoneEvent(event: Buffer): boolean {
  return event.length >= DONE.length && event.subarray(0, DONE.length).equals(DONE)
}

/** Whether an event is the chunk that only reports usage, which has an empty list of choices. */
export function isUsageEvent(event: Buffer): boolean {
  return event.includes(EMPTY_CHOICES)
}
