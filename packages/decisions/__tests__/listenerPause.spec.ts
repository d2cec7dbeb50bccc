import { describe, expect, it } from 'vitest'
import { ListenerPause } from '@rackwalk/decisions'
import type { PeerOverload } from '@rackwalk/decisions'

const ROOM: PeerOverload = { count: 7, overloaded: 0 }
const LOOK_MILLISECONDS = 250

/** A rule that has been overloaded for long enough to pause for as long as it ever does. */
function overloadedRule(): ListenerPause {
  const rule = new ListenerPause()
  for (let now = -3_000; now < 0; now += LOOK_MILLISECONDS) {
    rule.noteRefusedShare(1, now)
    rule.pauseMilliseconds(ROOM, now, 0.5)
  }
  return rule
}

/** Pauses at looks that each show such a share of refused requests. */
function pauses(
  shares: readonly number[],
  others: PeerOverload = ROOM,
  rule = overloadedRule(),
): readonly number[] {
  return shares.map((share, index) => {
    const now = index * LOOK_MILLISECONDS
    rule.noteRefusedShare(share, now)
    return Math.round(rule.pauseMilliseconds(others, now, 0.5))
  })
}

describe('the pauses of a listener', () => {
  it('grow with the share that is refused, and stay far under a contact time', () => {
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

  it('go on through a moment of relief, and end with it', () => {
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

  it('do not begin where a part is refused that a burst may cause', () => {
    const shares = new Array<number>(12).fill(0.19)
    expect(new Set(pauses(shares, ROOM, new ListenerPause()))).toEqual(new Set([0]))
  })

  it('begin when others had time to say that they are overloaded too, and grow', () => {
    expect(pauses([0, 1, 1, 1, 1, 1, 1, 1], ROOM, new ListenerPause())).toMatchInlineSnapshot(`
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
    ['nobody is heard', { count: 0, overloaded: 0 }],
    ['most of the others are overloaded as well', { count: 7, overloaded: 4 }],
    ['the only other one is', { count: 1, overloaded: 1 }],
  ])('do not come where %s', (_case, others) => {
    expect(pauses([0.5, 0.9, 1], others)).toEqual([0, 0, 0])
  })

  it('vary, so that instances do not close together', () => {
    const rule = overloadedRule()
    rule.noteRefusedShare(0.5, 0)
    const [least, most] = [0, 0.999].map(chance => rule.pauseMilliseconds(ROOM, 0, chance))
    expect([Math.round(least ?? 0), Math.round(most ?? 0)]).toMatchInlineSnapshot(`
      [
        188,
        312,
      ]
    `)
  })
})
