import { describe, expect, it } from 'vitest'
import { UNKNOWN_SOFTWARE_VERSION } from '@rackwalk/shared'
import {
  ContinuationRewriter,
  FingerprintMismatchError,
  ANSWER_BUFFER_LIMITS,
  AnswerBufferPool,
  DeliveredChat,
} from '@rackwalk/router'

/**
 * The record of a chat's delivered answer, and the rewriting of events so that a continuation
 * becomes part of that answer.
 */

function event(document: object): Buffer {
  return Buffer.from(`data: ${JSON.stringify(document)}\n\n`)
}

function piece(content: string, tokens?: number): Buffer {
  const usage = tokens === undefined ? undefined : { prompt_tokens: 9, completion_tokens: tokens }
  return event({ id: 'one', created: 1, choices: [{ index: 0, delta: { content } }], usage })
}

function createRecord(limits = ANSWER_BUFFER_LIMITS) {
  const pool = new AnswerBufferPool(limits)
  return { pool, delivered: new DeliveredChat(pool, UNKNOWN_SOFTWARE_VERSION) }
}

describe('what a caller has of an answer', () => {
  it('is the text of all pieces, also where they are read some at a time', () => {
    const { pool, delivered } = createRecord()
    const texts = Array.from({ length: 2_000 }, (_, number) => `w${number} ü`)
    texts.forEach((text, index) => delivered.append(piece(text, index + 1)))
    const text = texts.join('')
    expect(delivered.isReconstructible).toBe(true)
    expect(delivered.text).toBe(text)
    expect(delivered.usage).toEqual({ promptTokens: 9, generatedTokens: 2_000 })
    expect(pool.usedBytes).toBe(Buffer.byteLength(text))
    for (let time = 0; time < 2; time += 1) delivered.release()
    expect(pool.usedBytes).toBe(0)
  })

  it('is not recorded where there is no room, and holds no memory then', () => {
    const { pool, delivered } = createRecord({ ...ANSWER_BUFFER_LIMITS, maximumTotalBytes: 500 })
    for (let count = 0; count < 20; count += 1) delivered.append(piece('word ', count))
    expect({ isKnown: delivered.isReconstructible, used: pool.usedBytes }).toEqual({
      isKnown: false,
      used: 0,
    })
  })

  it('does not say how many tokens it has where the newest piece does not', () => {
    const { delivered } = createRecord()
    delivered.append(piece('a', 1))
    delivered.append(piece('b'))
    expect(delivered.isReconstructible).toBe(true)
    expect(delivered.usage).toBeUndefined()
  })

  it.each([
    ['a call of a tool', { choices: [{ index: 0, delta: { tool_calls: [] } }] }],
    ['reasoning', { choices: [{ index: 0, delta: { reasoning_content: 'so' } }] }],
    ['log probabilities', { choices: [{ index: 0, delta: {}, logprobs: { content: [] } }] }],
    ['another choice', { choices: [{ index: 1, delta: { content: 'a' } }] }],
    ['an error', { error: { message: 'no' } }],
  ])('is no plain text with %s', (_, document) => {
    const { delivered } = createRecord()
    delivered.append(piece('a', 1))
    delivered.append(event(document))
    expect(delivered.isReconstructible).toBe(false)
  })

  it('is plain text beside comments and fields without a value', () => {
    const { delivered } = createRecord()
    delivered.append(Buffer.from(': ping\n\n'))
    delivered.append(event({ choices: [{ index: 0, delta: { content: 'a', tool_calls: null } }] }))
    expect({ isKnown: delivered.isReconstructible, text: delivered.text }).toEqual({
      isKnown: true,
      text: 'a',
    })
  })
})

describe('the events of a continuation', () => {
  const HEAD = { id: 'one', created: 1 }

  function continued(head: object = HEAD) {
    const usage = { promptTokens: 9, generatedTokens: 4 }
    return new ContinuationRewriter({ head: { ...head }, usage, outputTokenLimit: 6 })
  }

  function rewrite(events: ContinuationRewriter, document: object): unknown {
    const rewritten = events.rewrite(event({ id: 'two', created: 2, ...document }))
    const text = rewritten?.toString('utf8')
    return text === undefined ? undefined : JSON.parse(text.slice('data: '.length))
  }

  it('have the ids of the first run, and its fields alone', () => {
    const document = { system_fingerprint: 'b', choices: [{ index: 0, delta: { content: 'a' } }] }
    const rewritten = rewrite(continued(), document)
    expect(rewritten).toEqual({
      ...HEAD,
      choices: document.choices,
      rackwalk: { continued: true },
    })
  })

  it('are rejected to the end from the first chunk of other software on', () => {
    const events = continued({ ...HEAD, system_fingerprint: 'build-1' })
    const choices = [{ index: 0, delta: { content: 'a' } }]
    const outcomes = ['build-1', undefined, null, '', 'build-2', 'build-1'].map(stated => {
      return () => rewrite(events, { system_fingerprint: stated, choices })
    })
    for (const accepted of outcomes.slice(0, 4)) expect(accepted).not.toThrow()
    for (const rejected of outcomes.slice(4)) expect(rejected).toThrow(FingerprintMismatchError)
    const end = Buffer.from('data: [DONE]\n\n')
    expect(() => events.rewrite(end)).toThrow(FingerprintMismatchError)
  })

  it('begin with the first piece, which is the one that is marked', () => {
    const events = continued()
    const opening = { choices: [{ index: 0, delta: { role: 'assistant', content: '' } }] }
    expect(rewrite(events, opening)).toBeUndefined()
    expect(events.hasBegun).toBe(false)
    const first = { choices: [{ index: 0, delta: { role: 'assistant', content: 'a' } }] }
    expect(rewrite(events, first)).toMatchObject({
      choices: [{ delta: { content: 'a' } }],
      rackwalk: { continued: true },
    })
    expect(events.hasBegun).toBe(true)
    expect(rewrite(events, { choices: [{ index: 0, delta: {} }] })).not.toHaveProperty('rackwalk')
  })

  it('report what both runs cost, and never more than the limit', () => {
    const events = continued()
    const counts = [0, 1, 2, 3].map(completion_tokens => {
      const usage = { prompt_tokens: 13, completion_tokens, total_tokens: 13 + completion_tokens }
      const choices = [{ index: 0, delta: { content: 'a' } }]
      return (rewrite(events, { choices, usage }) as { usage: unknown }).usage
    })
    expect(counts).toEqual(
      [4, 5, 6, 6].map(generated => ({
        prompt_tokens: 9,
        completion_tokens: generated,
        total_tokens: 9 + generated,
      })),
    )
  })

  it('are passed on as they are where they are none of a chat', () => {
    const events = continued()
    for (const other of [': ping\n\n', 'data: [DONE]\n\n', 'data: {"error":{}}\n\n']) {
      expect(events.rewrite(Buffer.from(other))?.toString()).toBe(other)
    }
  })
})
