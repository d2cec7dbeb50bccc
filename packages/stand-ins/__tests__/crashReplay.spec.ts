import { describe, expect, it } from 'vitest'
import {
  CrashCountLimit,
  IsolationQuarantine,
  UnlimitedRetries,
  replayCrashes,
} from '@rackwalk/stand-ins'
import type { CrashLoad, CrashOutcome, CrashPolicy } from '@rackwalk/stand-ins'

/**
 * Compares policies for crash-inducing requests. In one load, a request that crashes endpoints arrives every quarter of a
 * second for 20 s together with 50 other requests per second. In the other load, a rack loses power every two seconds and
 * no request causes a crash.
 */

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8]
const MINIMUM_SERVED = 0.95

const POLICIES: Readonly<Record<string, () => CrashPolicy>> = {
  'each try is new': () => new UnlimitedRetries(),
  'refused after one end': () => new CrashCountLimit(1, 'send'),
  'refused after two ends, sent as any other between': () => new CrashCountLimit(2, 'send'),
  'refused after two ends, sent by hash between': () => new CrashCountLimit(2, 'isolate'),
  'refused after an end that was sent by hash': () => new IsolationQuarantine(),
}

async function play(create: () => CrashPolicy, load: Omit<CrashLoad, 'seed'>) {
  const outcomes: CrashOutcome[] = []
  for (const seed of SEEDS) outcomes.push(await replayCrashes(create(), { ...load, seed }))
  const sum = (field: keyof CrashOutcome) =>
    outcomes.reduce((total, outcome) => total + outcome[field], 0)
  return { outcomes, sum }
}

async function table(load: Omit<CrashLoad, 'seed'>): Promise<readonly string[]> {
  const rows: string[] = []
  for (const [name, create] of Object.entries(POLICIES)) {
    const { sum } = await play(create, load)
    const ends = (sum('endsUnderMarked') / SEEDS.length).toFixed(1)
    const others = ['served', 'brokenOff', 'refused'] as const
    const shares = others.map(field => `${field} ${(sum(field) / sum('others')).toFixed(3)}`)
    rows.push(`${name}: ${ends} ends; ${shares.join(', ')}`)
  }
  return rows
}

describe('a request that crashes endpoints, every quarter of a second', () => {
  it('crashes as many endpoints as each policy permits', async () => {
    expect(await table({ markedMilliseconds: 250, powerFailures: 0 })).toMatchInlineSnapshot(`
      [
        "each try is new: 49.0 ends; served 0.008, brokenOff 0.609, refused 0.375",
        "refused after one end: 1.0 ends; served 0.926, brokenOff 0.002, refused 0.000",
        "refused after two ends, sent as any other between: 2.0 ends; served 0.923, brokenOff 0.006, refused 0.000",
        "refused after two ends, sent by hash between: 2.0 ends; served 0.922, brokenOff 0.006, refused 0.000",
        "refused after an end that was sent by hash: 2.0 ends; served 0.922, brokenOff 0.006, refused 0.000",
      ]
    `)
  })

  it('crashes three endpoints at most, and other requests to the same model are served', async () => {
    const { outcomes, sum } = await play(() => new IsolationQuarantine(), {
      markedMilliseconds: 250,
      powerFailures: 0,
    })
    expect(Math.max(...outcomes.map(({ endsUnderMarked }) => endsUnderMarked))).toBeLessThan(4)
    // Requests that are still running at the end of the replay aren't counted.
    const ended = sum('served') + sum('brokenOff') + sum('refused')
    expect(sum('served') / ended).toBeGreaterThanOrEqual(MINIMUM_SERVED)
  })
})

describe('a rack that loses power', () => {
  it('leads to refusals of popular requests if a policy counts crashes alone', async () => {
    expect(await table({ powerFailures: 3 })).toMatchInlineSnapshot(`
      [
        "each try is new: 0.0 ends; served 0.651, brokenOff 0.308, refused 0.000",
        "refused after one end: 0.0 ends; served 0.569, brokenOff 0.278, refused 0.120",
        "refused after two ends, sent as any other between: 0.0 ends; served 0.587, brokenOff 0.279, refused 0.098",
        "refused after two ends, sent by hash between: 0.0 ends; served 0.599, brokenOff 0.288, refused 0.075",
        "refused after an end that was sent by hash: 0.0 ends; served 0.649, brokenOff 0.308, refused 0.000",
      ]
    `)
  })

  it('leads to no refusals under the policy of the product', async () => {
    const { sum } = await play(() => new IsolationQuarantine(), { powerFailures: 3 })
    expect(sum('refused')).toBe(0)
  })
})
