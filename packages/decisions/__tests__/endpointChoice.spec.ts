import { describe, expect, it } from 'vitest'
import { rankEndpoints } from '@rackwalk/decisions'
import type { EndpointSnapshot } from '@rackwalk/decisions'

/** Which endpoint gets a request: scores are in prompt tokens, and the smallest wins. */

const IDLE: EndpointSnapshot = {
  id: 'idle',
  failureDomain: 'far',
  running: 0,
  slots: 64,
  pendingTokens: 0,
  uncachedTokens: 1_000,
  recentTokens: 0,
  slowness: 1,
  reportedSlowness: 1,
  reported: undefined,
  failureShare: 0,
  isInSubset: true,
}

function endpoint(id: string, more: Partial<EndpointSnapshot>): EndpointSnapshot {
  return { ...IDLE, id, ...more }
}

function rank(open: readonly EndpointSnapshot[], sharedPartId?: string, chance = 0): string {
  const serviceIds = open.map(({ id }) => id)
  const ranked = rankEndpoints({
    open,
    serviceIds,
    sharedPartId,
    answerTokens: 300,
    pauseStretch: undefined,
    failureDomain: 'near',
    chance,
  })
  return ranked.map(({ id, score }) => `${id} ${score}`).join(', ')
}

describe('the choice of an endpoint', () => {
  it.each([
    ['idle', {}],
    ['three requests in progress', { running: 3 }],
    ['2,000 prompt tokens before it', { pendingTokens: 2_000 }],
    ['800 of 1,000 tokens cached', { uncachedTokens: 200 }],
    ['in the own failure domain', { failureDomain: 'near' }],
    ['told of 5 running, 2 waiting', { reported: { running: 5, waiting: 2, ageMilliseconds: 0 } }],
    ['told so 400 ms ago', { reported: { running: 5, waiting: 2, ageMilliseconds: 400 } }],
    ['without a free slot', { running: 13, slots: 12 }],
    ['slow', { slowness: 1.3 }],
    ['where long prompts were read lately', { recentTokens: 4_000 }],
    ['where a long prompt would harm ten streams', { running: 10, uncachedTokens: 9_000 }],
    ['half of late requests failed', { failureShare: 0.5 }],
  ] as const)('scores one that is %s', (_, more) => {
    expect(rank([endpoint('it', more)])).toMatchSnapshot()
  })

  it('passes over one that fails often, unless all do', () => {
    const failing = endpoint('failing', { failureShare: 0.7 })
    const busy = endpoint('busy', { running: 50 })
    expect(rank([failing, busy])).toMatchInlineSnapshot(`"busy 14000"`)
    expect(rank([failing, endpoint('worse', { failureShare: 0.9 })])).toMatchInlineSnapshot(
      `"failing 7879.999999999999, worse 11720"`,
    )
  })

  it('sends a shared prompt to the same endpoint, whatever the chance', () => {
    const open = ['a', 'b', 'c'].map(id => endpoint(id, {}))
    const chosen = [0, 0.4, 0.8].map(chance => rank(open, 'manual-1', chance).split(' ')[0])
    expect(new Set(chosen).size).toBe(1)
  })

  it('spreads requests over endpoints that are alike', () => {
    const open = ['a', 'b', 'c'].map(id => endpoint(id, {}))
    const first = [0, 0.4, 0.8].map(chance => rank(open, undefined, chance).split(' ')[0])
    expect(first).toEqual(['a', 'b', 'c'])
  })

  it('is none where no endpoint is open', () => {
    expect(rank([])).toBe('')
  })
})
