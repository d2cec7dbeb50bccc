import fc from 'fast-check'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { isProvenComplete } from '@rackwalk/decisions'
import type { AnswerEnd, AnswerFraming, EndedAnswer } from '@rackwalk/decisions'
import { ScriptedEndpoint, wireOf } from './standIns/scriptedAnswer.js'
import type { AnswerScript, ReadAnswer } from './standIns/scriptedAnswer.js'

/**
 * Answers over a real socket, split into writes at any position and ended at any time. An answer
 * must be judged complete if and only if it is. The failures guarded against are truncated answers
 * that are passed on as complete, and complete answers that are rejected.
 */

type Judge = (answer: EndedAnswer) => boolean

const RUNS = 300
const SEED = 20_261
/** Test timeout. An answer that has not ended by then never ends. */
const ENDLESS_MILLISECONDS = 10_000
const endpoint = new ScriptedEndpoint()

beforeAll(() => endpoint.start())
afterAll(() => endpoint.stop())

const scripts: fc.Arbitrary<AnswerScript> = fc.record({
  framing: fc.constantFrom<AnswerFraming>('length', 'chunks', 'connection', 'bodiless'),
  pieces: fc.array(fc.string({ minLength: 1, maxLength: 40, unit: 'grapheme-ascii' }), {
    minLength: 1,
    maxLength: 4,
  }),
  missing: fc.oneof(fc.constant(0), fc.nat({ max: 60 })),
  splits: fc.array(fc.nat({ max: 200 }), { maxLength: 3 }),
  ending: fc.constantFrom('stays', 'closes', 'resets'),
  isReaderSlow: fc.boolean(),
  abort: fc.constantFrom(undefined, 'deadline', 'caller-left', 'aborted', 'endpoint-ended'),
})

/**
 * Returns the complete body; for framing by connection, that is whatever the endpoint sends before
 * it closes.
 */
function bodyOf(script: AnswerScript): string {
  if (script.framing === 'bodiless') return ''
  const body = script.pieces.join('')
  if (script.framing !== 'connection') return body
  return body.slice(0, Math.max(0, body.length - script.missing))
}

/** Whether the reader must have the complete answer before anything else happens to it. */
function mustBeComplete(script: AnswerScript): boolean {
  const { framing, missing, ending, splits, isReaderSlow, abort } = script
  if (framing === 'bodiless') return true
  if (framing === 'connection') return ending === 'closes' && abort === undefined
  if (missing > 0) return false
  if (abort === undefined) return true
  // Bytes that arrive in one turn of the event loop are read at once, so a deadline after them
  // comes too late.
  return abort === 'deadline' && isReaderSlow && splits.length === 0
}

function faultOf(script: AnswerScript, answer: ReadAnswer, judge: Judge): string | undefined {
  const isComplete = judge({ framing: answer.framing, end: answer.end, isBodyTruncated: false })
  const hasAll = answer.body === bodyOf(script)
  const isReset = script.framing === 'connection' && script.ending !== 'closes'
  if (isComplete && (!hasAll || isReset)) return 'taken for whole'
  if (!isComplete && mustBeComplete(script)) return 'taken for broken'
  return undefined
}

async function check(judge: Judge): Promise<fc.RunDetails<[AnswerScript]>> {
  return fc.check(
    fc.asyncProperty(scripts, async script => {
      const answer = await endpoint.read(script)
      const fault = faultOf(script, answer, judge)
      if (fault !== undefined) throw new Error(`${fault}: ${JSON.stringify({ script, answer })}`)
    }),
    { numRuns: RUNS, seed: SEED, endOnFailure: true },
  )
}

/** Returns the rule with one row inverted. */
function wrongIn(framing: AnswerFraming, end: AnswerEnd): Judge {
  return answer => {
    const isRow = answer.framing === framing && answer.end === end
    return isRow ? !isProvenComplete(answer) : isProvenComplete(answer)
  }
}

describe('an answer that is read from a socket', () => {
  it('is taken for whole if and only if it is', async () => {
    const result = await check(isProvenComplete)
    expect(result.errorInstance ?? undefined).toBeUndefined()
    expect(result.numRuns).toBe(RUNS)
  })

  it.each<[AnswerFraming, AnswerEnd]>([
    ['length', 'complete'],
    ['length', 'closed'],
    ['length', 'reset'],
    ['length', 'aborted'],
    ['length', 'deadline'],
    ['length', 'caller-left'],
    ['length', 'endpoint-ended'],
    ['chunks', 'complete'],
    ['chunks', 'closed'],
    ['chunks', 'reset'],
    ['chunks', 'aborted'],
    ['chunks', 'deadline'],
    ['chunks', 'caller-left'],
    ['chunks', 'endpoint-ended'],
    ['connection', 'closed'],
    ['connection', 'reset'],
    ['connection', 'aborted'],
    ['connection', 'deadline'],
    ['connection', 'caller-left'],
    ['connection', 'endpoint-ended'],
    ['bodiless', 'complete'],
  ])('would be misjudged by a rule that is wrong for %s and %s', async (framing, end) => {
    const result = await check(wrongIn(framing, end))
    expect(result.failed).toBe(true)
  })

  it.each<AnswerFraming>(['length', 'chunks'])(
    'keeps what came before a deadline that passes while its caller reads slowly (%s)',
    async framing => {
      const script: AnswerScript = {
        framing,
        pieces: ['first', 'second', 'third'],
        missing: 0,
        splits: [],
        ending: 'stays',
        isReaderSlow: true,
        abort: 'deadline',
      }
      const answer = await endpoint.read(script)
      expect(answer).toEqual({ framing, end: 'complete', body: 'firstsecondthird' })
      expect(wireOf(script)).toContain('third')
    },
  )

  it.each<AnswerFraming>(['length', 'chunks'])(
    'ends at a deadline though its caller never reads on (%s)',
    async framing => {
      const script: AnswerScript = {
        framing,
        pieces: ['first', 'second', 'third'],
        missing: 0,
        splits: [],
        ending: 'stays',
        isReaderSlow: true,
        isReaderStuck: true,
        abort: 'deadline',
      }
      const answer = await endpoint.read(script)
      expect(answer).toEqual({ framing, end: 'complete', body: 'firstsecondthird' })
    },
    ENDLESS_MILLISECONDS,
  )
})
