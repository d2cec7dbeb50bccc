import { describe, expect, it } from 'vitest'
import { LocalRefusals } from '@rackwalk/decisions'
import { ResultCode, resultName } from '@rackwalk/shared'

const URGENT = 0
const LESS_URGENT = 2

/** The share after `count` requests, 10 ms apart, half of which ended with `code`. */
function shareOf(code: ResultCode, count = 40): number {
  const refusals = new LocalRefusals()
  for (let index = 0; index < count; index += 1) {
    refusals.noteEnd(index % 2 === 0 ? code : ResultCode.Ok, URGENT, index * 10)
  }
  return refusals.share(count * 10)
}

describe('the share of requests that an instance refuses for reasons of its own', () => {
  it('counts only requests that another instance would have served', () => {
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

  it('is 0 where there are few requests, and falls with time', () => {
    expect(shareOf(ResultCode.ProcessorFull, 6)).toBe(0)
    const refusals = new LocalRefusals()
    for (let now = 0; now < 500; now += 10) refusals.noteEnd(ResultCode.LinkFull, URGENT, now)
    expect([refusals.share(500), refusals.share(1_600)]).toEqual([1, 0])
  })

  // Otherwise refused long prompts closed the listener for the urgent chats of the same callers, which have no other
  // instance to go to.
  it('leaves less urgent requests out while urgent ones are served', () => {
    const refusals = new LocalRefusals()
    for (let now = 0; now < 1_000; now += 10) {
      refusals.noteEnd(ResultCode.Ok, URGENT, now)
      refusals.noteEnd(ResultCode.LinkFull, LESS_URGENT, now)
    }
    expect(refusals.share(1_000)).toBe(0)
    for (let now = 1_000; now < 2_000; now += 10) {
      refusals.noteEnd(ResultCode.ProcessorFull, URGENT, now)
    }
    expect(refusals.share(2_000)).toBe(1)
  })

  it('counts the most urgent requests that are there', () => {
    const refusals = new LocalRefusals()
    for (let now = 0; now < 500; now += 10) {
      refusals.noteEnd(ResultCode.LinkFull, LESS_URGENT, now)
    }
    refusals.noteEnd(ResultCode.Ok, URGENT, 499)
    expect(refusals.share(500)).toBe(1)
  })
})
