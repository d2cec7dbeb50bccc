/**
 * How much of an answer may be held back until it is whole? A held answer that breaks off becomes a numbered
 * error or another attempt, and never half an answer. Owns the memory that all of them share.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Bounds of what is held. */
export interface AnswerBufferLimits {
  /** Larger answers go as they come. */
  readonly maximumAnswerBytes: number
  /** Of all answers of an instance at the same time; past it they go as they come. */
  readonly maximumTotalBytes: number
  /** Longest hold of an answer that may be meant to be read while it arrives. */
  readonly maximumUnsizedMilliseconds: Milliseconds
}

const MEBIBYTE = 1024 * 1024

/** Bounds of an instance. */
export const ANSWER_BUFFER_LIMITS: AnswerBufferLimits = {
  maximumAnswerBytes: MEBIBYTE,
  maximumTotalBytes: 64 * MEBIBYTE,
  maximumUnsizedMilliseconds: 1_000,
}

/** Memory for the answers that an instance holds. */
export class AnswerBufferPool {
  private used = 0

  constructor(readonly limits: AnswerBufferLimits) {}

  /** The hold of one answer. */
  openReservation(): BufferReservation {
    return new BufferReservation(this)
  }

  /** False where there is no room. */
  reserve(bytes: number): boolean {
    if (this.used + bytes > this.limits.maximumTotalBytes) return false
    this.used += bytes
    return true
  }

  release(bytes: number): void {
    this.used -= bytes
  }

  /** Bytes that are held now. */
  get usedBytes(): number {
    return this.used
  }
}

/** What is held of one answer. */
export class BufferReservation {
  private bytes = 0
  private isOpen = true

  constructor(private readonly space: AnswerBufferPool) {}

  /** Whether more of the answer may be held with this chunk. */
  reserve(bytes: number): boolean {
    if (!this.isOpen) return false
    const hasRoom =
      this.bytes + bytes <= this.space.limits.maximumAnswerBytes && this.space.reserve(bytes)
    if (hasRoom) this.bytes += bytes
    else this.isOpen = false
    return hasRoom
  }

  /** No more is held; what there is goes on. */
  close(): void {
    this.isOpen = false
  }

  /** Gives the memory back; again has no effect. */
  release(): void {
    this.isOpen = false
    this.space.release(this.bytes)
    this.bytes = 0
  }
}

/** Documents are of no use in part; anything else without a length may be read while it arrives. */
const DOCUMENT_TYPE = /^application\/(?!stream\+)([\w.-]+\+)?json\s*(;|$)/i
const STREAM_TYPE = /^text\/event-stream/i

/** How an answer is held, by its head. */
export type BufferingMode = 'until-whole' | 'for-a-while' | 'not'

/** Whether an answer is held: events are there to be passed on at once. */
export function bufferingModeOf(headers: Readonly<Record<string, string>>): BufferingMode {
  if (STREAM_TYPE.test(headers['content-type'] ?? '')) return 'not'
  return headers['content-length'] !== undefined || isJson(headers) ? 'until-whole' : 'for-a-while'
}

/** Whether a body is one JSON document as it stands. */
export function isJson(headers: Readonly<Record<string, string>>): boolean {
  const isEncoded = (headers['content-encoding'] ?? 'identity') !== 'identity'
  return !isEncoded && DOCUMENT_TYPE.test(headers['content-type'] ?? '')
}
