/**
 * Reports to operators which teams are served almost nothing here, and the state of the instance at that time. Owns
 * the check interval; the rule is in decisions/admitting/starvedTeams.
 */

import { ResultCode, repeat, resultName } from '@rackwalk/shared'
import type { Clock, Milliseconds, TeamId, Timer } from '@rackwalk/shared'
import { StarvedTeams } from '@rackwalk/decisions'
import type { StarvationChange } from '@rackwalk/decisions'
import type { GatewayRecord } from '@rackwalk/router'

/** What the monitor needs. */
export interface StarvationMonitorParts {
  readonly clock: Clock
  /** This instance's own state, for the log line. */
  readonly ownState: () => Readonly<Record<string, unknown>>
  /** A team became starved, or is no longer. */
  readonly onChange: (event: StarvationEvent, fields: Readonly<Record<string, unknown>>) => void
  /** A request of a team that counts as starved was not served. */
  readonly onUnserved: (team: TeamId, code: ResultCode) => void
}

type StarvationEvent = 'team_starved' | 'team_served'

/** Time between two checks for teams that became starved or are served again. */
const CHECK_INTERVAL_MILLISECONDS: Milliseconds = 1_000
/**
 * Number of teams reported per check, those with the most requests first, so that an outage that affects all teams does
 * not flood the log; the gauge counts all of them.
 */
const MAXIMUM_LOGGED_TEAMS = 8

/** Refusals that the team itself causes: no instance would serve such a request. */
const CLIENT_CAUSED_CODES: ReadonlySet<ResultCode> = new Set([
  ResultCode.MalformedRequest,
  ResultCode.BodyTooLarge,
  ResultCode.RequestTimeout,
  ResultCode.BudgetExhausted,
  ResultCode.NoBudget,
  ResultCode.LargerThanBudget,
  ResultCode.EndsEndpoints,
])

/** Monitors what share of its requests each team is served here. */
export class StarvationMonitor {
  private readonly teams = new StarvedTeams()
  private timer: Timer | undefined

  constructor(private readonly parts: StarvationMonitorParts) {}

  /** Number of starved teams. */
  get size(): number {
    return this.teams.size
  }

  start(): void {
    this.timer = repeat(
      this.parts.clock,
      () => CHECK_INTERVAL_MILLISECONDS,
      () => this.check(),
    )
  }

  stop(): void {
    this.timer?.cancel()
  }

  /** A request has ended. Requests without a known team, and refusals that the team causes, do not count. */
  noteRecord(record: GatewayRecord): void {
    const code: ResultCode = record.code ?? ResultCode.Internal
    if (record.team === undefined || CLIENT_CAUSED_CODES.has(code)) return
    const team = record.team as TeamId
    const isServed = code === ResultCode.Ok
    this.teams.note({ team, code, isServed }, this.parts.clock.monotonic())
    if (!isServed && this.teams.isStarved(team)) this.parts.onUnserved(team, code)
  }

  private check(): void {
    const changes = this.teams.takeChanges(this.parts.clock.monotonic())
    const busiest = [...changes].sort((left, right) => right.requests - left.requests)
    for (const change of busiest.slice(0, MAXIMUM_LOGGED_TEAMS)) this.report(change, changes.length)
  }

  private report(change: StarvationChange, changedTeams: number): void {
    const { team, isStarved, requests, served, commonestCode } = change
    this.parts.onChange(isStarved ? 'team_starved' : 'team_served', {
      tenant: team,
      requests,
      served,
      commonestCode,
      commonestResult: commonestCode === undefined ? undefined : resultName(commonestCode),
      changedTeams,
      ...this.parts.ownState(),
    })
  }
}
