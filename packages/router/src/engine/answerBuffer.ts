/**
 * Buffers answers until they are complete, within limits. If a buffered answer is interrupted, the
 * request gets an error with a result code or another attempt, and never half an answer. Owns the
 * memory that all buffered answers share.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Limits of answer buffering. */
export interface AnswerBufferLimits {
  /** Larger answers are streamed. */
  readonly maximumAnswerBytes: number
  /** Limit for all answers of an instance together. Beyond it, answers are streamed. */
  readonly maximumTotalBytes: number
  /** Longest time for which an answer is buffered that may be meant to be read as it arrives. */
  readonly maximumUnsizedMilliseconds: Milliseconds
}

const MEBIBYTE = 1024 * 1024

/** Limits of an instance. */
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

  /** Reserves memory for one more chunk. Returns whether the chunk may be buffered. */
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
 * A JSON document is useless in part. Any other answer without a length may be read as it arrives.
 */
const DOCUMENT_TYPE = /^application\/(?!stream\+)([\w.-]+\+)?json\s*(;|$)/i
const STREAM_TYPE = /^text\/event-stream/i

/** How an answer is buffered, by its headers. */
export type BufferingMode = 'until-whole' | 'for-a-while' | 'not'

/**
 * Returns whether and how long an answer is buffered. Events are delivered at once and never
 * buffered.
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
