import { describe, expect, it } from 'vitest'
import { LocalRefusals } from '@rackwalk/decisions'
import { ResultCode, resultName } from '@rackwalk/shared'

/** The share after so many requests, 10 ms apart, half of which ended so. */
function shareOf(code: ResultCode, count = 40): number {
  const refusals = new LocalRefusals()
  for (let index = 0; index < count; index += 1) {
    refusals.noteEnd(index % 2 === 0 ? code : ResultCode.Ok, index * 10)
  }
  return refusals.share(count * 10)
}

describe('what an instance turns away for reasons of its own', () => {
  it('is what another instance would have carried', () => {
    const codes = Object.values(ResultCode).filter(code => typeof code === 'number')
    const own = codes.filter(code => shareOf(code) > 0).map(code => resultName(code))
    expect(own).toMatchInlineSnapshot(`
      [
        "LinkFull",
        "ProcessorFull",
        "KnowledgeTooOld",
        "CallerLeftUnsent",
      ]
    `)
  })

  it('tells nothing where few requests come, and passes with time', () => {
    expect(shareOf(ResultCode.ProcessorFull, 6)).toBe(0)
    const refusals = new LocalRefusals()
    for (let now = 0; now < 500; now += 10) refusals.noteEnd(ResultCode.LinkFull, now)
    expect([refusals.share(500), refusals.share(1_600)]).toEqual([1, 0])
  })
})
