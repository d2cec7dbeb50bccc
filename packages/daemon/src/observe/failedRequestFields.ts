/** The log line of a failed request of the OpenAI-style kind. */

import type { DecisionRecord } from '@rackwalk/router'

/**
 * Returns the fields of the line: the error sent to the caller, and how the answers ended that endpoints had begun.
 */
export function failedRequestFields(record: DecisionRecord): Readonly<Record<string, unknown>> {
  return {
    request: record.requestId,
    configurationRevision: record.configurationRevision,
    team: record.teamId,
    code: record.code,
    execution: record.execution,
    detail: record.detail,
    answers: record.routing.flatMap(({ answer }) => answer ?? []),
  }
}
