/**
 * Determines from the body of an answer whether it is complete. Used if nothing else shows this: an
 * answer without a length ends with its connection, whatever the reason was.
 */

import type { AnswerFraming } from '@rackwalk/decisions'
import { isJson } from './answerBuffer.js'

/**
 * `open`: something is missing. `closed`: nothing is missing. `unknown`: a body of this type cannot
 * show it.
 */
export type BodyCompleteness = 'open' | 'closed' | 'unknown'

/** Follows a body as it arrives. */
export interface CompletenessCheck {
  read(chunk: Buffer): void
  readonly state: BodyCompleteness
}

/** Creates the check that fits an answer's framing and headers. */
export function createCompletenessCheck(
  framing: AnswerFraming,
  headers: Readonly<Record<string, string>>,
): CompletenessCheck {
  return framing === 'connection' && isJson(headers) ? new JsonCompletenessCheck() : NO_PROOF
}

/** The check of a body that cannot or need not show whether it is complete. */
class UnknownCompleteness implements CompletenessCheck {
  readonly state = 'unknown'

  read(): void {
    // No byte of such a body would change the state.
  }
}

const NO_PROOF = new UnknownCompleteness()

const QUOTE = 0x22
const BACKSLASH = 0x5c
const OPENING = new Set([0x5b, 0x7b])
const CLOSING = new Set([0x5d, 0x7d])
const BLANK = new Set([0x09, 0x0a, 0x0d, 0x20])

/**
 * The check of a JSON document, which is complete once everything that it opened is closed. Only
 * brackets and strings are followed, so that a document that a strict parser would reject is not
 * mistaken for a truncated one. A top-level number or literal may continue, so it proves nothing.
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
