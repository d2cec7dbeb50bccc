/** Retry time in the headers of a refusal. Has no dependencies. */

const MILLISECONDS_IN_SECOND = 1_000

/** Formats the retry time as headers. */
export interface RetryAfterFormat {
  retryHeaders(afterSeconds: number): Readonly<Record<string, string>>
}

/**
 * Formats whole seconds, as RFC 9110 defines `Retry-After`, rounded up so that no caller retries
 * too early. `retry-after-ms` carries the exact time for clients that read it.
 */
export class StandardRetryAfter implements RetryAfterFormat {
  retryHeaders(afterSeconds: number): Readonly<Record<string, string>> {
    return {
      'retry-after': String(Math.ceil(afterSeconds)),
      'retry-after-ms': String(Math.round(afterSeconds * MILLISECONDS_IN_SECOND)),
    }
  }
}
