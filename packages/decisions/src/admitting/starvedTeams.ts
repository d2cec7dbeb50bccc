/**
 * Decides which teams are starved, that is, get next to none of their requests served by an
 * instance.
 *
 * Load pattern: all callers of one team stay with an instance that is too slow for them, or that
 * refuses their requests for reasons of its own. The fleet as a whole serves well, so no sum over
 * all teams shows that this team is not served.
 *
 * Inputs: the team, the result code and whether the request was served, for each request that
 * ended, with a monotonic time in milliseconds.
 *
 * A team's served requests are compared with all of its own requests, not with what other teams are
 * served: a team that uses an instance alone has no other team to compare with, and an instance
 * that refuses all teams would starve none of them by such a comparison. Since no team is served
 * more than all of its requests, a team that gets less than a quarter of what others get is found
 * as well.
 *
 * Limits: only teams with requests in the window, and those that are starved, are kept in memory. A
 * team with few requests does not become starved. A starved team has to be served twice the share
 * below which it became starved, or to send no requests for a whole window, before it counts as
 * recovered.
 */

import type { Milliseconds, ResultCode, TeamId } from '@rackwalk/shared'

/** How one request of a team ended. */
interface TeamOutcome {
  readonly team: TeamId
  readonly code: ResultCode
  readonly isServed: boolean
}

/** A team that has become starved, or has recovered. */
export interface StarvationChange {
  readonly team: TeamId
  readonly isStarved: boolean
  /** Requests that ended within the window. */
  readonly requests: number
  /** Requests of these that were served. */
  readonly served: number
  /** The most common code of the requests that were not served; undefined where all were. */
  readonly commonestCode: ResultCode | undefined
}

/** Time over which requests are counted. */
const WINDOW_MILLISECONDS = 5_000
/**
 * Parts of the window, the present one included. With more parts, each expires with fewer counts.
 */
const PARTS = 5
const PART_MILLISECONDS = WINDOW_MILLISECONDS / PARTS
/** With fewer requests within the window, a team does not become starved: chance would decide. */
const MINIMUM_REQUESTS = 10
/** A team is starved where less than this share of its requests is served. */
const STARVED_SHARE = 0.25
/** A starved team recovers once this share of its requests or more is served. */
const RECOVERED_SHARE = 0.5

/** Counts of one team's requests within a part of the window. */
interface TeamCount {
  requests: number
  served: number
  /** Requests that were not served, by code. */
  readonly unserved: Map<ResultCode, number>
}

/**
 * Counts requests by team over a sliding window and reports teams whose state changes. Times are
 * monotonic.
 */
export class StarvedTeams {
  /** Counts by index of the part of the window, then by team. */
  private readonly parts = new Map<number, Map<TeamId, TeamCount>>()
  private readonly starved = new Set<TeamId>()

  /** Number of starved teams. */
  get size(): number {
    return this.starved.size
  }

  /** Number of teams with requests in the window. */
  get trackedTeams(): number {
    return new Set([...this.parts.values()].flatMap(teams => [...teams.keys()])).size
  }

  /** Whether a team was starved at the last call of `takeChanges`. */
  isStarved(team: TeamId): boolean {
    return this.starved.has(team)
  }

  /** Counts a request that has ended; `now` is monotonic. */
  note({ team, code, isServed }: TeamOutcome, now: Milliseconds): void {
    const count = this.countAt(team, now)
    count.requests += 1
    if (isServed) count.served += 1
    else count.unserved.set(code, (count.unserved.get(code) ?? 0) + 1)
  }

  /**
   * Returns the teams whose state changed since the last call; to be called at least once for each
   * part of the window.
   */
  takeChanges(now: Milliseconds): readonly StarvationChange[] {
    this.expire(now)
    const counts = this.sums()
    const ended = [...this.starved].filter(team => !counts.has(team))
    const changes = [...counts].flatMap(([team, count]) => this.judge(team, count) ?? [])
    return [...changes, ...ended.flatMap(team => this.judge(team, emptyCount()) ?? [])]
  }

  private judge(team: TeamId, count: TeamCount): StarvationChange | undefined {
    const { requests, served, unserved } = count
    const wasStarved = this.starved.has(team)
    const isStarved = wasStarved
      ? requests > 0 && served < RECOVERED_SHARE * requests
      : requests >= MINIMUM_REQUESTS && served < STARVED_SHARE * requests
    if (isStarved === wasStarved) return undefined
    if (isStarved) this.starved.add(team)
    else this.starved.delete(team)
    return { team, isStarved, requests, served, commonestCode: commonest(unserved) }
  }

  private countAt(team: TeamId, now: Milliseconds): TeamCount {
    this.expire(now)
    const part = partAt(now)
    const teams = this.parts.get(part) ?? new Map<TeamId, TeamCount>()
    this.parts.set(part, teams)
    const known = teams.get(team) ?? emptyCount()
    teams.set(team, known)
    return known
  }

  private expire(now: Milliseconds): void {
    const oldest = partAt(now) - PARTS
    for (const part of this.parts.keys()) if (part <= oldest) this.parts.delete(part)
  }

  private sums(): ReadonlyMap<TeamId, TeamCount> {
    const sums = new Map<TeamId, TeamCount>()
    for (const [team, count] of [...this.parts.values()].flatMap(teams => [...teams])) {
      const sum = sums.get(team) ?? emptyCount()
      sum.requests += count.requests
      sum.served += count.served
      for (const [code, number] of count.unserved) {
        sum.unserved.set(code, (sum.unserved.get(code) ?? 0) + number)
      }
      sums.set(team, sum)
    }
    return sums
  }
}

function emptyCount(): TeamCount {
  return { requests: 0, served: 0, unserved: new Map() }
}

function partAt(now: Milliseconds): number {
  return Math.floor(now / PART_MILLISECONDS)
}

function commonest(counts: ReadonlyMap<ResultCode, number>): ResultCode | undefined {
  const [first] = [...counts].sort(([, left], [, right]) => right - left)
  return first?.[0]
}
