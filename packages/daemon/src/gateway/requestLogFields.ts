/** The log line of a request, with field names that log collectors rely on. */

import { outcomeText, relayOutcomeText } from '@rackwalk/decisions'
import type { AnswerRecord, AttemptRecord, GatewayRecord, RelayRecord } from '@rackwalk/router'

/** Returns the fields of the line; undefined fields are omitted from its JSON. */
export function requestLogFields(record: GatewayRecord): Readonly<Record<string, unknown>> {
  return {
    request: record.requestId,
    resumes: resumedRequest(record),
    resumesAfter: record.resumption?.lastEventId,
    origin: record.originSource,
    ...originFields(record),
    fingerprint: record.fingerprint,
    attempts: record.attempts.map(attemptFields),
    relays: record.relays.length === 0 ? undefined : record.relays.map(relayFields),
    relayedBy: record.relayedBy,
    configurationVersion: record.configurationVersion,
    configurationAge: rounded(record.configurationAge),
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

/**
 * Returns the id of the first request of the stream that this request resumes: empty if the caller does not name it,
 * undefined if the request resumes no stream.
 */
function resumedRequest({ resumption }: GatewayRecord): string | undefined {
  return resumption === undefined ? undefined : (resumption.firstRequestId ?? '')
}

/** What the origin of a resumed stream, or that it is unknown, rests on. */
function originFields({ originEvidence }: GatewayRecord): Readonly<Record<string, unknown>> {
  return {
    originKnownMilliseconds: rounded(originEvidence?.knownForMilliseconds),
    originListFresh: originEvidence?.isListFresh,
    originListMilliseconds: finite(originEvidence?.listAgeMilliseconds),
    originRecordReader: originEvidence?.recordReader,
    originAnswers: originEvidence?.answers,
  }
}

function attemptFields(attempt: AttemptRecord): Readonly<Record<string, unknown>> {
  return {
    server: attempt.endpoint,
    softwareVersion: attempt.softwareVersion || undefined,
    score: attempt.score,
    compared: attempt.compared,
    waitedMilliseconds: attempt.waitedMilliseconds,
    pendingTokens: attempt.pendingTokens,
    uncachedTokens: attempt.uncachedTokens,
    outcome: outcomeText(attempt.outcome),
    refusal: attempt.refusal,
    said: attempt.said,
    ...(attempt.answer === undefined ? {} : answerFields(attempt.answer)),
    longestPauseMilliseconds: rounded(attempt.longestPause?.milliseconds),
    pausePendingTokens: attempt.longestPause?.pendingTokens,
  }
}

/** How the body of an answer arrived, and which part of its stream it gave. */
function answerFields(answer: AnswerRecord): Readonly<Record<string, unknown>> {
  const { hasStrayEvent, ...others } = answer
  return { ...others, strayEvent: hasStrayEvent || undefined }
}

function relayFields({ instance, outcome }: RelayRecord): Readonly<Record<string, unknown>> {
  return { instance, outcome: relayOutcomeText(outcome) }
}

/** An age without a first contact is infinite, which JSON cannot express. */
function finite(value: number | undefined): number | undefined {
  return Number.isFinite(value) ? rounded(value) : undefined
}

function rounded(value: number | undefined): number | undefined {
  return value === undefined ? undefined : Math.round(value)
}
