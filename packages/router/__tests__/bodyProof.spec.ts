import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { JsonCompletenessCheck } from '@rackwalk/router'

/** A JSON document tells by itself whether it is whole. */

const documents = fc
  .oneof(fc.dictionary(fc.string(), fc.jsonValue()), fc.array(fc.jsonValue()), fc.string())
  .map(value => Buffer.from(JSON.stringify(value)))

/** A document cut into pieces, and how many bytes of it come. */
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

/** Brackets counted without regard to strings: the broken control. */
function countsBrackets(document: Buffer): boolean {
  const count = (characters: RegExp) => document.toString('latin1').match(characters)?.length ?? 0
  return document.length > 0 && count(/[[{]/g) === count(/[\]}]/g)
}

describe('a JSON document', () => {
  it('is whole exactly when all of it has come, however it is split', () => {
    fc.assert(
      fc.property(cuts, ({ document, splits, length }) => {
        const arrived = document.subarray(0, length)
        const proof = new JsonCompletenessCheck()
        for (const piece of pieces(
          arrived,
          splits.map(split => Math.min(split, length)),
        )) {
          proof.read(piece)
        }
        expect(proof.state).toBe(length === document.length ? 'closed' : 'open')
      }),
      { seed: 43, numRuns: 2_000 },
    )
  })

  it('would be taken for whole too early where brackets alone were counted', () => {
    const found = fc.check(
      fc.property(cuts, ({ document, length }) => {
        const isWhole = length === document.length
        return countsBrackets(document.subarray(0, length)) === isWhole
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
    const proof = new JsonCompletenessCheck()
    proof.read(Buffer.from(text))
    expect(proof.state).toMatchSnapshot()
  })
})
