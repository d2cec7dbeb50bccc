/**
 * Bytes of an answer that are held back. They are copied into one buffer: an endpoint that sends chunks of one byte
 * would otherwise cost some hundred bytes for each of them.
 */

import type { Bytes } from '@rackwalk/shared'

/** Smallest size that is allocated for more than one part. */
const FIRST_BYTES: Bytes = 4_096

/** A buffer that grows with what is appended; it seldom holds more than `expectedMaximum`. */
export class HeldBytes {
  private buffer: Buffer = Buffer.alloc(0)
  private used: Bytes = 0

  constructor(private readonly expectedMaximum: Bytes) {}

  get length(): Bytes {
    return this.used
  }

  /** The bytes; valid until the next call. */
  get bytes(): Buffer {
    return this.buffer.subarray(0, this.used)
  }

  append(part: Buffer): void {
    // Most answers arrive in one part, which needs no copy.
    if (this.used === 0) this.buffer = part
    else this.copyIn(part)
    this.used += part.length
  }

  /** Returns the bytes and holds none any more. */
  take(): Buffer {
    const { bytes } = this
    this.buffer = Buffer.alloc(0)
    this.used = 0
    return bytes
  }

  private copyIn(part: Buffer): void {
    const needed = this.used + part.length
    if (needed > this.buffer.length) this.grow(needed)
    part.copy(this.buffer, this.used)
  }

  private grow(needed: Bytes): void {
    const doubled = Math.max(FIRST_BYTES, 2 * this.buffer.length)
    const grown = Buffer.allocUnsafeSlow(Math.max(needed, Math.min(doubled, this.expectedMaximum)))
    this.buffer.copy(grown, 0, 0, this.used)
    this.buffer = grown
  }
}
