/** The delivery of an endpoint's answer to its caller, independent of the answer's form. */

import type { ReportedUsage } from '../engine/usage.js'

/** The delivery of one answer. */
export interface AnswerDelivery {
  /** Delivers a chunk. Returns false if the caller's buffer should drain first. */
  deliver(chunk: Buffer): boolean
  /** Chunks at the end of the answer that must not be sent before the bill is durable. */
  readonly withheldChunks: readonly Buffer[]
  /** Whether the answer contains an end marker, which proves that it is complete. */
  readonly hasEndMarker: boolean
  /** Whether the answer is complete, given that reading it ended without an error. */
  readonly isComplete: boolean
  /**
   * Returns the usage that the engine reported. Without a report, the usage of a chat's event
   * stream is estimated from the delivered events, and that of any other answer is zero.
   */
  usage(): ReportedUsage
}

/** Joins several events into one write. */
export function concatEvents(events: readonly Buffer[]): Buffer {
  const [only] = events
  return events.length === 1 && only !== undefined ? only : Buffer.concat(events)
}
