import { describe, expect, it } from 'vitest'
import { ListenerPause } from '@rackwalk/decisions'
import type { PeerOverload } from '@rackwalk/decisions'

const OTHERS_WITH_ROOM: PeerOverload = { count: 7, overloaded: 0 }
const SAMPLE_MILLISECONDS = 250

/** A rule that has been overloaded for long enough to use its longest pause. */
function overloadedRule(): ListenerPause {
  const rule = new ListenerPause()
  for (let now = -3_000; now < 0; now += SAMPLE_MILLISECONDS) {
    rule.noteRefusedShare(1, now)
    rule.pauseMilliseconds(OTHERS_WITH_ROOM, now, 0.5)
  }
  return rule
}

/** Returns the pause after each sample of the refused share. */
function pauses(
  shares: readonly number[],
  others: PeerOverload = OTHERS_WITH_ROOM,
  rule = overloadedRule(),
): readonly number[] {
  return shares.map((share, index) => {
    const now = index * SAMPLE_MILLISECONDS
    rule.noteRefusedShare(share, now)
    return Math.round(rule.pauseMilliseconds(others, now, 0.5))
  })
}

describe('the pauses of a listener', () => {
  it('grow with the refused share, and stay at a second or less', () => {
    expect(pauses([0, 0.1, 0.2, 0.5, 0.75, 0.9, 1])).toMatchInlineSnapshot(`
      [
        0,
        100,
        100,
        250,
        750,
        1000,
        1000,
      ]
    `)
  })

  it('continue while the refused share stays above the lower threshold, and end below it', () => {
    expect(pauses([0.1, 0.3, 0.1, 0.06, 0.04, 0.1, 0])).toMatchInlineSnapshot(`
      [
        100,
        107,
        100,
        100,
        0,
        100,
        0,
      ]
    `)
    const relieved = new Array<number>(9).fill(0)
    expect(pauses([0.3, ...relieved, 0.1])).toMatchInlineSnapshot(`
      [
        107,
        0,
        0,
        0,
        0,
        0,
        0,
        0,
        0,
        0,
        0,
      ]
    `)
  })

  it('do not begin at a refused share that a burst may cause', () => {
    const shares = new Array<number>(12).fill(0.19)
    expect(new Set(pauses(shares, OTHERS_WITH_ROOM, new ListenerPause()))).toEqual(new Set([0]))
  })

  it('begin once other overloaded instances had time to report, and grow', () => {
    expect(pauses([0, 1, 1, 1, 1, 1, 1, 1], OTHERS_WITH_ROOM, new ListenerPause()))
      .toMatchInlineSnapshot(`
      [
        0,
        0,
        0,
        100,
        200,
        400,
        800,
        1000,
      ]
    `)
  })

  it.each([
    ['no other instance is heard of', { count: 0, overloaded: 0 }],
    ['most of the others are overloaded as well', { count: 7, overloaded: 4 }],
    ['the only other instance is overloaded', { count: 1, overloaded: 1 }],
  ])('do not come where %s', (_case, others) => {
    expect(pauses([0.5, 0.9, 1], others)).toEqual([0, 0, 0])
  })

  it('vary, so that instances do not close at the same time', () => {
    const rule = overloadedRule()
    rule.noteRefusedShare(0.5, 0)
    const [least, most] = [0, 0.999].map(chance =>
      rule.pauseMilliseconds(OTHERS_WITH_ROOM, 0, chance),
    )
    expect([Math.round(least ?? 0), Math.round(most ?? 0)]).toMatchInlineSnapshot(`
      [
        188,
        312,
      ]
    `)
  })
})
