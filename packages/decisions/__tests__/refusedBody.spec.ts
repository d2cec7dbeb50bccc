import { describe, expect, it } from 'vitest'
import { LinkBandwidthBudget, refusedBodyDisposition } from '@rackwalk/decisions'
import type { RefusedBody } from '@rackwalk/decisions'

/**
 * Bodies of refused requests on a link of 1,000,000 bytes a second, of which bodies may take
 * 350,000.
 */

const LINK = 1_000_000
const BODY = 35_000
const ARRIVED: RefusedBody = {
  mustClose: false,
  isPartlyRead: false,
  isSizeKnown: true,
  bytes: BODY,
  hasArrived: true,
  expectsContinue: false,
  waitMilliseconds: 0,
}

/**
 * Callers with kept connections retry as soon as they can for ten seconds; returns the bytes that
 * arrive in a second.
 */
function bytesPerSecondOfRetryingCallers(callers: number): number {
  const link = new LinkBandwidthBudget(LINK)
  const freeAt = Array<number>(callers).fill(0)
  let bytes = 0
  for (let now = 0; now < 10_000; now += 10) {
    for (const [caller, at] of freeAt.entries()) {
      if (at > now) continue
      const waitMilliseconds = link.refusedBodyWait(BODY, now)
      link.noteRefusedBody(BODY, now)
      bytes += BODY
      const disposition = refusedBodyDisposition({ ...ARRIVED, waitMilliseconds }, callers)
      // A caller whose connection is closed needs some time to open another one.
      freeAt[caller] = now + (disposition.kind === 'close' ? 3_000 : disposition.holdMilliseconds)
    }
  }
  return bytes / 10
}

describe('the body of a refused request', () => {
  it.each([
    ['arrived, the link free', {}, 0],
    ['still coming, the link free', { hasArrived: false }, 0],
    ['arrived, the link owed a second', { waitMilliseconds: 1_000 }, 0],
    ['arrived, the link owed four seconds', { waitMilliseconds: 4_000 }, 0],
    ['given up halfway', { hasArrived: false, isPartlyRead: true }, 0],
    ['still coming, larger than a connection is worth', { hasArrived: false, bytes: 300_000 }, 0],
    ['arrived, larger than a connection is worth', { bytes: 300_000 }, 0],
    ['still coming in chunks', { hasArrived: false, isSizeKnown: false }, 0],
    ['sent only when asked for', { hasArrived: false, expectsContinue: true }, 0],
    ['still coming, its connection ends', { hasArrived: false, mustClose: true }, 0],
    ['arrived, many others are held', {}, 512],
    ['still coming, many others are held', { hasArrived: false }, 512],
  ])('%s', (_, body, unreadBodies) => {
    expect(refusedBodyDisposition({ ...ARRIVED, ...body }, unreadBodies)).toMatchSnapshot()
  })

  it('takes no more of the link than bodies may, however many callers retry at once', () => {
    const received = [1, 4, 16].map(bytesPerSecondOfRetryingCallers)
    for (const bytes of received) expect(bytes).toBeLessThan(LINK * 0.5)
  })

  it('takes nothing from admitted bodies', () => {
    const link = new LinkBandwidthBudget(LINK)
    for (let body = 0; body < 100; body += 1) link.noteRefusedBody(BODY, 0)
    expect([link.take(140_000, 0), link.take(70_000, 200)]).toEqual([0, 0])
  })

  it('waits behind admitted bodies and earlier refused ones', () => {
    const link = new LinkBandwidthBudget(LINK)
    const waits = [link.refusedBodyWait(BODY, 0)]
    link.noteRefusedBody(BODY, 0)
    waits.push(link.refusedBodyWait(BODY, 0))
    link.take(BODY, 0)
    waits.push(link.refusedBodyWait(BODY, 100), link.refusedBodyWait(BODY, 200))
    expect(waits.map(Math.round)).toEqual([100, 200, 200, 100])
  })

  it('waits for nothing where it fits into a few packets, and counts all the same', () => {
    const link = new LinkBandwidthBudget(LINK)
    const waits = Array.from({ length: 20 }, () => {
      link.noteRefusedBody(3_500, 0)
      return link.refusedBodyWait(3_500, 0)
    })
    expect(waits).toEqual(Array(20).fill(0))
    expect(link.refusedBodyWait(BODY, 0)).toBeCloseTo(300)
  })
})
