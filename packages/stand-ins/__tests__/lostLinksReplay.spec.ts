import { describe, expect, it } from 'vitest'
import { LINK_FAULTS, LOST_BY, replayLostLinks } from '@rackwalk/stand-ins'
import type { LostBy, LostLinksOutcome, TryCount } from '@rackwalk/stand-ins'

/** Guards against first tries that fail at instances which lost their links while others of a large fleet serve. */

const SEED = 65
/** Served share at cut instances, relative to the share at the other instances. */
const MINIMUM_SHARE = 2 / 3
const MAXIMUM_FAILURES = 10
const MAXIMUM_FAILED_SHARE = 1 / 50

function servedShare({ sent, served }: TryCount): number {
  return sent === 0 ? 1 : served / sent
}

/** Whether callers of the cut instances were served far worse than the others. */
function isFarWorse({ atCut, atOthers }: LostLinksOutcome): boolean {
  const failed = atCut.sent - atCut.served
  const allowed = MAXIMUM_FAILURES + (atCut.sent + atOthers.sent) * MAXIMUM_FAILED_SHARE
  return servedShare(atCut) < MINIMUM_SHARE * servedShare(atOthers) && failed > allowed
}

/** Share that is wanted where the other instances can take all requests. */
const WANTED_SHARE = 0.9

function replayFaults(lostBy: LostBy): Promise<readonly LostLinksOutcome[]> {
  return Promise.all(
    LINK_FAULTS.map(fault => replayLostLinks({ seed: SEED, instances: 73, lostBy, fault })),
  )
}

describe('a fleet of 73 instances whose links to endpoints are lost by', () => {
  for (const lostBy of LOST_BY) {
    it(`${lostBy} serves their callers hardly worse than others`, async () => {
      const outcomes = await replayFaults(lostBy)
      expect(outcomes.filter(isFarWorse)).toEqual([])
    })
  }

  for (const lostBy of LOST_BY.filter(lost => lost !== 'all but one')) {
    it(`${lostBy} serves nine in ten of their callers`, async () => {
      const outcomes = await replayFaults(lostBy)
      expect(outcomes.filter(({ atCut }) => servedShare(atCut) < WANTED_SHARE)).toEqual([])
    })
  }

  it('all but one of a failure domain does not send that one most of their requests', async () => {
    const lostBy = 'all but one of a failure domain'
    const scenario = {
      seed: SEED,
      instances: 73,
      lostBy,
      fault: 'silent',
      stayingShare: 1,
    } as const
    const { busiestShare, atOthers } = await replayLostLinks(scenario)
    expect(busiestShare).toBeLessThan(1 / 2)
    expect(servedShare(atOthers)).toBe(1)
  })
})
