import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { JsonCompletenessCheck } from '@rackwalk/router'

/**
 * A JSON document shows by itself whether it is complete. Guards against truncated documents that
 * pass as complete on a connection that ended early.
 */

const documents = fc
  .oneof(fc.dictionary(fc.string(), fc.jsonValue()), fc.array(fc.jsonValue()), fc.string())
  .map(value => Buffer.from(JSON.stringify(value)))

/** A document with positions at which to split it, and the number of bytes that arrive. */
const cuts = documents.chain(document =>
  fc.record({
    document: fc.constant(document),
    splits: fc.array(fc.nat({ max: document.length })),
    length: fc.nat({ max: document.length }),
  }),
)

function pieces(document: Buffer, splits: readonly number[]): readonly Buffer[] {
  const ends = [...splits, document.length].sort((left, right) => left - right)
  return ends.map((end, index) => document.subarray(ends[index - 1] ?? 0, end))
}

/** Negative control: counts brackets without regard to strings. */
function countsBrackets(document: Buffer): boolean {
  const count = (characters: RegExp) => document.toString('latin1').match(characters)?.length ?? 0
  return document.length > 0 && count(/[[{]/g) === count(/[\]}]/g)
}

describe('a JSON document', () => {
  it('is whole exactly when all of it has come, however it is split', () => {
    fc.assert(
      fc.property(cuts, ({ document, splits, length }) => {
        const arrived = document.subarray(0, length)
        const check = new JsonCompletenessCheck()
        for (const piece of pieces(
          arrived,
          splits.map(split => Math.min(split, length)),
        )) {
          check.read(piece)
        }
        expect(check.state).toBe(length === document.length ? 'closed' : 'open')
      }),
      { seed: 43, numRuns: 2_000 },
    )
  })

  it('would be taken for whole too early where brackets alone were counted', () => {
    const found = fc.check(
      fc.property(cuts, ({ document, length }) => {
        const isComplete = length === document.length
        return countsBrackets(document.subarray(0, length)) === isComplete
      }),
      { seed: 43, numRuns: 2_000 },
    )
    expect(found.failed).toBe(true)
  })

  it.each([
    ['nothing', ''],
    ['blanks', ' \r\n'],
    ['a number, which may go on', '12'],
    ['a word, which may go on', 'true'],
    ['a document and blanks', '{"a":[1]}\r\n'],
    ['a document that a strict parser refuses', '{"a":NaN,}'],
    ['two documents', '{"a":1}\n{"b":2}\n'],
    ['two documents, the second cut', '{"a":1}\n{"b":'],
    ['a byte order mark', '\uFEFF{"a":1}'],
    ['too many ends', '{"a":1}}'],
  ])('%s', (_, text) => {
    const check = new JsonCompletenessCheck()
    check.read(Buffer.from(text))
    expect(check.state).toMatchSnapshot()
  })
})
