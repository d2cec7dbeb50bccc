/**
 * Determines from the body of an answer whether the answer is complete. Used for JSON answers
 * without a length and without chunked encoding: such an answer ends with its connection, so the
 * framing does not show whether the connection was closed after the answer or broken off within it.
 */

import type { AnswerFraming } from '@rackwalk/decisions'
import { isJson } from './answerBuffer.js'

/**
 * `open`: the end of the body is missing. `closed`: the body is complete. `unknown`: the body does
 * not show whether it is complete.
 */
export type BodyCompleteness = 'open' | 'closed' | 'unknown'

/** Reads a body as it arrives and tells whether the body is complete so far. */
export interface CompletenessCheck {
  read(chunk: Buffer): void
  readonly state: BodyCompleteness
}

/** Creates the check that fits an answer's framing and headers. */
export function createCompletenessCheck(
  framing: AnswerFraming,
  headers: Readonly<Record<string, string>>,
): CompletenessCheck {
  return framing === 'connection' && isJson(headers)
    ? new JsonCompletenessCheck()
    : UNKNOWN_COMPLETENESS
}

/** The check of a body that does not show whether it is complete, or whose framing shows it. */
class UnknownCompleteness implements CompletenessCheck {
  readonly state = 'unknown'

  read(): void {
    // The state does not depend on the body.
  }
}

const UNKNOWN_COMPLETENESS = new UnknownCompleteness()

const QUOTE = 0x22
const BACKSLASH = 0x5c
const OPENING = new Set([0x5b, 0x7b])
const CLOSING = new Set([0x5d, 0x7d])
const BLANK = new Set([0x09, 0x0a, 0x0d, 0x20])

/**
 * The check of a JSON document, which is complete once all its brackets and strings are closed.
 * Only brackets and strings are tracked, so that a document that a strict parser would reject is
 * not mistaken for a truncated one. A number or literal at the top level may continue in the next
 * chunk, so its state is `unknown`. An empty body is `open`.
 */
export class JsonCompletenessCheck implements CompletenessCheck {
  private depth = 0
  private isInString = false
  private isEscaped = false
  private hasBegun = false
  private hasClosed = false

  get state(): BodyCompleteness {
    if (this.depth > 0 || this.isInString || !this.hasBegun) return 'open'
    return this.hasClosed ? 'closed' : 'unknown'
  }

  read(chunk: Buffer): void {
    for (const byte of chunk) {
      if (this.isInString) this.readInString(byte)
      else this.readOutside(byte)
    }
  }

  private readInString(byte: number): void {
    if (this.isEscaped) this.isEscaped = false
    else if (byte === BACKSLASH) this.isEscaped = true
    else if (byte === QUOTE) this.endString()
  }

  private endString(): void {
    this.isInString = false
    this.hasClosed = this.depth === 0
  }

  private readOutside(byte: number): void {
    if (BLANK.has(byte)) return
    this.hasBegun = true
    this.hasClosed = false
    if (byte === QUOTE) this.isInString = true
    else if (OPENING.has(byte)) this.depth += 1
    else if (CLOSING.has(byte)) this.close()
  }

  private close(): void {
    this.depth -= 1
    this.hasClosed = this.depth === 0
  }
}
