/** The line of a request of the OpenAI-style kind that did not end well. */

import type { DecisionRecord } from '@rackwalk/router'

/** Fields of the line: what the caller was told, and how the answers ended that endpoints had begun. */
export function failedRequestFields(record: DecisionRecord): Readonly<Record<string, unknown>> {
  return {
    request: record.requestId,
    team: record.teamId,
    code: record.code,
    execution: record.execution,
    detail: record.detail,
    answers: record.routing.flatMap(({ answer }) => answer ?? []),
  }
}
