import * as fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ResultCode } from '@rackwalk/shared'
import type { TeamId } from '@rackwalk/shared'
import { StarvedTeams } from '@rackwalk/decisions'

const STARVED = 'starved' as TeamId
const OTHER = 'other' as TeamId
const WINDOW_MILLISECONDS = 5_000

interface Load {
  readonly team: TeamId
  readonly perSecond: number
  /** One of so many requests is served; none where it is 0. */
  readonly servedEvery: number
  readonly code?: ResultCode
}

/** Replays seconds of load and returns the changes in each as text. */
function play(teams: StarvedTeams, from: number, seconds: number, loads: readonly Load[]) {
  const reported: string[] = []
  for (let second = from; second < from + seconds; second += 1) {
    for (const { team, perSecond, servedEvery, code = ResultCode.ProcessorFull } of loads) {
      for (let request = 0; request < perSecond; request += 1) {
        const isServed = servedEvery > 0 && request % servedEvery === 0
        const outcome = { team, isServed, code: isServed ? ResultCode.Ok : code }
        teams.note(outcome, second * 1_000 + request)
      }
    }
    for (const change of teams.takeChanges(second * 1_000 + 999)) {
      const { team, isStarved, requests, served, commonestCode } = change
      const state = isStarved ? 'starved' : 'served'
      reported.push(
        `${second} s: ${team} ${state}, ${served} of ${requests}, ${commonestCode ?? '-'}`,
      )
    }
  }
  return reported
}

describe('a team that gets next to none of its requests served', () => {
  it('is reported once, with the most common reason, and once more when it recovers', () => {
    const teams = new StarvedTeams()
    const others = { team: OTHER, perSecond: 40, servedEvery: 1 }
    const refused = { team: STARVED, perSecond: 30, servedEvery: 0 }
    const late = { ...refused, perSecond: 50, code: ResultCode.KnowledgeTooOld }
    const well = { team: STARVED, perSecond: 30, servedEvery: 1 }
    const reported = [
      ...play(teams, 0, 6, [well, others]),
      ...play(teams, 6, 8, [refused, late, others]),
      ...play(teams, 14, 10, [well, others]),
    ]
    expect(reported).toMatchInlineSnapshot(`
      [
        "8 s: starved starved, 60 of 300, 3011",
        "17 s: starved served, 120 of 200, 3011",
      ]
    `)
  })

  it('is found where it is the only one at an instance, and where all teams are refused', () => {
    const alone = play(new StarvedTeams(), 0, 3, [{ team: STARVED, perSecond: 80, servedEvery: 0 }])
    expect(alone).toMatchInlineSnapshot(`
      [
        "0 s: starved starved, 0 of 80, 3010",
      ]
    `)
    const all = [STARVED, OTHER].map(team => ({ team, perSecond: 20, servedEvery: 0 }))
    expect(play(new StarvedTeams(), 0, 3, all)).toMatchInlineSnapshot(`
      [
        "0 s: starved starved, 0 of 20, 3010",
        "0 s: other starved, 0 of 20, 3010",
      ]
    `)
  })

  it('is not reported by few requests, nor where a third of its requests is served', () => {
    const few = { team: STARVED, perSecond: 1, servedEvery: 0 }
    const third = { team: OTHER, perSecond: 30, servedEvery: 3 }
    expect(play(new StarvedTeams(), 0, 12, [few, third])).toEqual([])
  })

  it('recovers when it sends no more requests', () => {
    const teams = new StarvedTeams()
    play(teams, 0, 4, [{ team: STARVED, perSecond: 30, servedEvery: 0 }])
    expect(teams.size).toBe(1)
    expect(play(teams, 4, 6, [])).toEqual(['8 s: starved served, 0 of 0, -'])
    expect(teams.size).toBe(0)
  })
})

describe('the memory of starved teams', () => {
  it('holds only teams with requests in the window, out of 350,000', () => {
    const teams = new StarvedTeams()
    const count = 350_000
    for (let index = 0; index < count; index += 1) {
      const outcome = {
        team: `team-${index}` as TeamId,
        isServed: false,
        code: ResultCode.Overloaded,
      }
      teams.note(outcome, (index * 10 * WINDOW_MILLISECONDS) / count)
    }
    expect(teams.trackedTeams).toBeLessThanOrEqual(count / 10)
    teams.takeChanges(20 * WINDOW_MILLISECONDS)
    expect(teams.trackedTeams).toBe(0)
    expect(teams.size).toBe(0)
  })

  it('agrees with a count of all requests of the window, for any requests', () => {
    const request = fc.record({
      team: fc.constantFrom(STARVED, OTHER),
      isServed: fc.boolean(),
      gap: fc.integer({ min: 0, max: 400 }),
    })
    fc.assert(
      fc.property(fc.array(request, { minLength: 50, maxLength: 200 }), requests => {
        const teams = new StarvedTeams()
        const seen: { team: TeamId; isServed: boolean; at: number }[] = []
        let now = 0
        for (const { team, isServed, gap } of requests) {
          now += gap
          const code = isServed ? ResultCode.Ok : ResultCode.Overloaded
          teams.note({ team, isServed, code }, now)
          seen.push({ team, isServed, at: now })
          const first = Math.floor(now / 1_000) * 1_000 - WINDOW_MILLISECONDS + 1_000
          for (const change of teams.takeChanges(now)) {
            const own = seen.filter(one => one.team === change.team && one.at >= first)
            expect(change.requests).toBe(own.length)
            expect(change.served).toBe(own.filter(one => one.isServed).length)
          }
        }
      }),
    )
  })
})
