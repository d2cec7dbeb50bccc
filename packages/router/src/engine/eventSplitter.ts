/**
 * Splits a stream of server-sent events into events, and recognises the two kinds that delivery
 * withholds: the usage report and the end marker.
 */

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
  private incomplete: Buffer | undefined

  /**
   * Returns the events that the chunk completes, one slice each, including the blank line at the
   * end. Keeps the bytes of an incomplete event for the next call.
   */
  split(chunk: Buffer): readonly Buffer[] {
    const data = this.incomplete === undefined ? chunk : Buffer.concat([this.incomplete, chunk])
    const events: Buffer[] = []
    let start = 0
    for (;;) {
      const end = data.indexOf(EVENT_END, start)
      if (end < 0) break
      events.push(data.subarray(start, end + EVENT_END.length))
      start = end + EVENT_END.length
    }
    this.incomplete = start < data.length ? data.subarray(start) : undefined
    if ((this.incomplete?.length ?? 0) > MAXIMUM_EVENT_BYTES) throw new OversizedEventError()
    return events
  }

  /** Number of bytes after the last complete event. */
  get remainderBytes(): number {
    return this.incomplete?.length ?? 0
  }

  /** The bytes after the last complete event; undefined if there are none. */
  get remainder(): Buffer | undefined {
    return this.incomplete
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
