import { describe, expect, it } from 'vitest'
import { AnswerBufferPool, bufferingModeOf } from '@rackwalk/router'

/**
 * Buffering of answers until they are complete: its memory limits, and which answers are buffered.
 */

const LIMITS = {
  maximumAnswerBytes: 100,
  maximumTotalBytes: 250,
  maximumUnsizedMilliseconds: 1_000,
}

describe('the memory of held answers', () => {
  it('has a bound for each answer, and what goes past it is not held any more', () => {
    const reservation = new AnswerBufferPool(LIMITS).openReservation()
    expect([60, 41, 10].map(bytes => reservation.reserve(bytes))).toEqual([true, false, false])
  })

  it('has a bound for all answers together, and is given back once', () => {
    const pool = new AnswerBufferPool(LIMITS)
    const reservations = [1, 2, 3].map(() => pool.openReservation())
    expect(reservations.map(reservation => reservation.reserve(100))).toEqual([true, true, false])
    reservations[0]?.release()
    reservations[0]?.release()
    expect(pool.usedBytes).toBe(100)
    expect(pool.openReservation().reserve(100)).toBe(true)
  })
})

describe('an answer is held', () => {
  it.each([
    ['a document', { 'content-type': 'application/json' }],
    ['a document with parameters', { 'content-type': 'application/problem+json; charset=utf-8' }],
    ['events', { 'content-type': 'text/event-stream; charset=utf-8', 'content-length': '10' }],
    ['a stream of documents', { 'content-type': 'application/stream+json' }],
    ['lines of documents', { 'content-type': 'application/x-ndjson' }],
    ['text', { 'content-type': 'text/plain' }],
    ['text with a length', { 'content-type': 'text/plain', 'content-length': '10' }],
    ['a coded document', { 'content-type': 'application/json', 'content-encoding': 'gzip' }],
    ['nothing said', {}],
  ])('%s', (_, headers) => {
    expect(bufferingModeOf(headers)).toMatchSnapshot()
  })
})
