/**
 * Decides whether an answer is buffered until it is complete, and limits the memory for buffers. If
 * a buffered answer is interrupted, the caller has received none of it, so the request gets another
 * attempt or an error with a result code. An answer beyond the limits is streamed, and its caller
 * may receive a truncated answer. Owns the count of the memory that all buffered answers and the
 * records of delivered chats share.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Limits of answer buffering. */
export interface AnswerBufferLimits {
  /** Limit for one answer. Larger answers are streamed. */
  readonly maximumAnswerBytes: number
  /** Limit for all answers of an instance together. Answers beyond the limit are streamed. */
  readonly maximumTotalBytes: number
  /**
   * Longest time for which an answer without a length, and that is no JSON document, is buffered.
   * Callers may want to read such an answer as it arrives.
   */
  readonly maximumUnsizedMilliseconds: Milliseconds
}

const MEBIBYTE = 1024 * 1024

/** Limits of answer buffering on an instance. */
export const ANSWER_BUFFER_LIMITS: AnswerBufferLimits = {
  maximumAnswerBytes: MEBIBYTE,
  maximumTotalBytes: 64 * MEBIBYTE,
  maximumUnsizedMilliseconds: 1_000,
}

/** The memory that an instance uses to buffer answers. */
export class AnswerBufferPool {
  private used = 0

  constructor(readonly limits: AnswerBufferLimits) {}

  /** Opens the reservation of one answer. */
  openReservation(): BufferReservation {
    return new BufferReservation(this)
  }

  /** Reserves memory. Returns false if there is no room. */
  reserve(bytes: number): boolean {
    if (this.used + bytes > this.limits.maximumTotalBytes) return false
    this.used += bytes
    return true
  }

  release(bytes: number): void {
    this.used -= bytes
  }

  /** Number of bytes reserved now. */
  get usedBytes(): number {
    return this.used
  }
}

/** The buffer memory of one answer. */
export class BufferReservation {
  private bytes = 0
  private isOpen = true

  constructor(private readonly pool: AnswerBufferPool) {}

  /**
   * Reserves memory for one more chunk. Returns false if the chunk exceeds a limit or buffering has
   * stopped; the answer is streamed then.
   */
  reserve(bytes: number): boolean {
    if (!this.isOpen) return false
    const hasRoom =
      this.bytes + bytes <= this.pool.limits.maximumAnswerBytes && this.pool.reserve(bytes)
    if (hasRoom) this.bytes += bytes
    else this.isOpen = false
    return hasRoom
  }

  /** Stops buffering. Buffered chunks keep their memory. */
  close(): void {
    this.isOpen = false
  }

  /** Releases the memory. Further calls have no effect. */
  release(): void {
    this.isOpen = false
    this.pool.release(this.bytes)
    this.bytes = 0
  }
}

/**
 * Content types of JSON documents. A part of a JSON document is useless to a caller, whereas a part
 * of any other answer without a length may be useful as it arrives.
 */
const DOCUMENT_TYPE = /^application\/(?!stream\+)([\w.-]+\+)?json\s*(;|$)/i
const STREAM_TYPE = /^text\/event-stream/i

/**
 * How an answer is buffered, by its headers: until it is complete, for a limited time, or not at
 * all.
 */
export type BufferingMode = 'until-whole' | 'for-a-while' | 'not'

/**
 * Returns whether and for how long an answer is buffered. An event stream is never buffered. An
 * answer with a length or a JSON document is buffered until it is complete, any other answer for a
 * limited time.
 */
export function bufferingModeOf(headers: Readonly<Record<string, string>>): BufferingMode {
  if (STREAM_TYPE.test(headers['content-type'] ?? '')) return 'not'
  return headers['content-length'] !== undefined || isJson(headers) ? 'until-whole' : 'for-a-while'
}

/** Whether a body is a single, unencoded JSON document. */
export function isJson(headers: Readonly<Record<string, string>>): boolean {
  const isEncoded = (headers['content-encoding'] ?? 'identity') !== 'identity'
  return !isEncoded && DOCUMENT_TYPE.test(headers['content-type'] ?? '')
}
