/** The retry time of a refusal, as headers. */

const MILLISECONDS_IN_SECOND = 1_000

/** Formats the retry time as headers. */
export interface RetryAfterFormat {
  retryHeaders(afterSeconds: number): Readonly<Record<string, string>>
}

/**
 * Formats the retry time in whole seconds, as RFC 9110 defines `Retry-After`, rounded up so that no
 * caller retries too early. `retry-after-ms` carries the time in milliseconds for clients that read
 * that header.
 */
export class StandardRetryAfter implements RetryAfterFormat {
  retryHeaders(afterSeconds: number): Readonly<Record<string, string>> {
    return {
      'retry-after': String(Math.ceil(afterSeconds)),
      'retry-after-ms': String(Math.round(afterSeconds * MILLISECONDS_IN_SECOND)),
    }
  }
}
