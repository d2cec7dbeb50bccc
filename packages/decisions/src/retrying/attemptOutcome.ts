/**
 * The outcome of one attempt to send a gateway request to an endpoint, and its text in logs and metrics.
 *
 * The retry rule (retryStep), the relay rule (relayStep) and the final error all depend on whether an attempt may have run
 * the request. Without that distinction, a request that must run only once could run twice.
 */

/** The outcome of an attempt. The kind determines whether the endpoint may have run the request (see `mayHaveRun`). */
export type AttemptOutcome =
  /** No connection could be established, so the request was not sent. */
  | { readonly kind: 'connect-failed'; readonly reason: string }
  /** The endpoint answered with the guarantee that it has not run the request and never will. */
  | { readonly kind: 'refused'; readonly status: number }
  /** A connection was established, so the request may have been sent, and no answer arrived. The request may have run. */
  | { readonly kind: 'failed'; readonly reason: string }
  /**
   * The answer belongs to another request, lacks its endpoint's signature or has a status that no final answer has, so the
   * request may have run.
   */
  | {
      readonly kind: 'not-trusted'
      readonly problem: 'answer to another request' | 'unsigned answer' | 'invalid status'
    }
  /** The endpoint answered. With a status of 500 or more, the request is taken to have run and failed. */
  | { readonly kind: 'answered'; readonly status: number }
  /** The answer was interrupted. `events` counts the complete events that the caller has from all attempts together. */
  | { readonly kind: 'broke-off'; readonly events: number }

/** The text and label of an attempt that is still in progress. */
const IN_PROGRESS = 'sent'

/** Whether the endpoint may have run the request. */
export function mayHaveRun({ kind }: AttemptOutcome): boolean {
  return kind !== 'connect-failed' && kind !== 'refused'
}

/** Returns the outcome as written to the request's log line. The outcome is undefined while the attempt is in progress. */
export function outcomeText(outcome: AttemptOutcome | undefined): string {
  switch (outcome?.kind) {
    case undefined:
      return IN_PROGRESS
    case 'connect-failed':
      return `not-sent ${outcome.reason}`
    case 'refused':
      return `not executed ${outcome.status}`
    case 'failed':
      return `failed ${outcome.reason}`
    case 'not-trusted':
      return outcome.problem
    case 'answered':
      return `status ${outcome.status}`
    case 'broke-off':
      return `broke off after ${outcome.events} events`
  }
}

/** Returns the outcome as a label of the attempt counter. The set of values is small and stable. */
export function outcomeLabel(outcome: AttemptOutcome | undefined): string {
  switch (outcome?.kind) {
    case undefined:
      return IN_PROGRESS
    case 'connect-failed':
      return `not-sent ${firstWord(outcome.reason)}`
    case 'refused':
      return 'not executed'
    case 'failed':
      return `failed ${firstWord(outcome.reason)}`
    case 'not-trusted':
      return outcome.problem === 'answer to another request' ? 'answer to' : outcome.problem
    case 'answered':
      return `status ${outcome.status}`
    case 'broke-off':
      return 'broke off'
  }
}

/** Returns the first word of a reason. Reasons are error codes or sentences; their first words are few enough for labels. */
function firstWord(reason: string): string {
  return reason.split(' ')[0] ?? reason
}
