import { describe, expect, it } from 'vitest'
import { AnswerBufferPool, bufferingModeOf } from '@rackwalk/router'

/** How much of an answer is held until it is whole. */

const LIMITS = {
  maximumAnswerBytes: 100,
  maximumTotalBytes: 250,
  maximumUnsizedMilliseconds: 1_000,
}

describe('the memory of held answers', () => {
  it('has a bound for each answer, and what goes past it is not held any more', () => {
    const hold = new AnswerBufferPool(LIMITS).openReservation()
    expect([60, 41, 10].map(bytes => hold.reserve(bytes))).toEqual([true, false, false])
  })

  it('has a bound for all answers together, and is given back once', () => {
    const space = new AnswerBufferPool(LIMITS)
    const holds = [1, 2, 3].map(() => space.openReservation())
    expect(holds.map(hold => hold.reserve(100))).toEqual([true, true, false])
    holds[0]?.release()
    holds[0]?.release()
    expect(space.usedBytes).toBe(100)
    expect(space.openReservation().reserve(100)).toBe(true)
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
