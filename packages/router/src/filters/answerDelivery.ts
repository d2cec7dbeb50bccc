/** An answer on its way from its endpoint to its caller, whatever its form. */

import type { ReportedUsage } from '../engine/usage.js'

/** One answer on its way through. */
export interface AnswerDelivery {
  /** False when the caller should first be allowed to drain. */
  deliver(chunk: Buffer): boolean
  /** What must not be passed on before the bill is safe. */
  readonly withheldChunks: readonly Buffer[]
  /** Whether something in the answer says that it is whole. */
  readonly hasEndMarker: boolean
  /** Whether it is whole where its framing says so. */
  readonly isComplete: boolean
  usage(): ReportedUsage
}

/** Several events as one write. */
export function concatEvents(events: readonly Buffer[]): Buffer {
  const [only] = events
  return events.length === 1 && only !== undefined ? only : Buffer.concat(events)
}
