/**
 * Cuts a stream into events and recognises the ones that matter to relaying: the report of usage and the
 * end.
 */

const EVENT_END = Buffer.from('\n\n')
/** An event longer than this is not one of a model's answer. */
const MAXIMUM_EVENT_BYTES = 1024 * 1024

/** Thrown when an endpoint sends an event without an end. */
class OversizedEventError extends Error {}

/**
 * Cuts a stream of server-sent events at their ends. Slices share the memory of the chunks;
 * only an event that spans chunks is copied.
 */
export class EventSplitter {
  private rest: Buffer | undefined

  /** Whole events in the chunk, as one slice each, the blank line included. */
  split(chunk: Buffer): readonly Buffer[] {
    const data = this.rest === undefined ? chunk : Buffer.concat([this.rest, chunk])
    const events: Buffer[] = []
    let start = 0
    for (;;) {
      const end = data.indexOf(EVENT_END, start)
      if (end < 0) break
      events.push(data.subarray(start, end + EVENT_END.length))
      start = end + EVENT_END.length
    }
    this.rest = start < data.length ? data.subarray(start) : undefined
    if ((this.rest?.length ?? 0) > MAXIMUM_EVENT_BYTES) throw new OversizedEventError()
    return events
  }

  /** Bytes after the last whole event. */
  get remainderBytes(): number {
    return this.rest?.length ?? 0
  }

  /** The bytes after the last whole event, where there are any. */
  get remainder(): Buffer | undefined {
    return this.rest
  }
}

const DONE = Buffer.from('data: [DONE]')
const EMPTY_CHOICES = Buffer.from('"choices":[]')

/** The event that ends an answer. */
export function isDoneEvent(event: Buffer): boolean {
  return event.length >= DONE.length && event.subarray(0, DONE.length).equals(DONE)
}

/** The chunk that only reports usage. */
export function isUsageEvent(event: Buffer): boolean {
  return event.includes(EMPTY_CHOICES)
}
