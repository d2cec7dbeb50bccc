/** The line of the log that tells of one request, field by field as collectors know it. */

import { outcomeText } from '@rackwalk/decisions'
import type { AttemptRecord, GatewayRecord } from '@rackwalk/router'

/** Fields of the line; those of which nothing is known are left out of its JSON. */
export function requestLine(record: GatewayRecord): Readonly<Record<string, unknown>> {
  return {
    request: record.requestId,
    fingerprint: record.fingerprint,
    attempts: record.attempts.map(attemptFields),
    configurationVersion: record.configurationVersion,
    route: record.route,
    tenant: record.team,
    service: record.service,
    tokens: record.tokens,
    reservation: record.reservation,
    loans: record.loans,
    lenders: record.lenders?.map(answer => ({
      ...answer,
      milliseconds: Math.round(answer.milliseconds),
    })),
    budget: record.budget,
    spent: record.spent,
    status: record.status,
    code: record.code,
    execution: record.execution,
    detail: record.detail,
    refusedBody: record.refusedBody,
    firstByteMilliseconds: rounded(record.firstByteMilliseconds),
    lateness: record.lateness,
    totalMilliseconds: rounded(record.totalMilliseconds),
  }
}

function attemptFields(attempt: AttemptRecord): Readonly<Record<string, unknown>> {
  return {
    server: attempt.endpoint,
    score: attempt.score,
    compared: attempt.compared,
    waitedMilliseconds: attempt.waitedMilliseconds,
    pendingTokens: attempt.pendingTokens,
    uncachedTokens: attempt.uncachedTokens,
    outcome: outcomeText(attempt.outcome),
    said: attempt.said,
    framing: attempt.answer?.framing,
    end: attempt.answer?.end,
    events: attempt.answer?.events,
    withheldBytes: attempt.answer?.withheldBytes,
    longestPauseMilliseconds: rounded(attempt.longestPause?.milliseconds),
    pausePendingTokens: attempt.longestPause?.pendingTokens,
  }
}

function rounded(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value)
}
