/** How callers are told, in the headers of a refusal, when to come back. Relies on nothing else. */

const MILLISECONDS_IN_SECOND = 1_000

/** Spells in headers after how long a caller should come back. */
export interface RetryAfterFormat {
  retryHeaders(afterSeconds: number): Readonly<Record<string, string>>
}

/**
 * Whole seconds, as RFC 9110 defines `Retry-After`, rounded up so that nobody comes too early. `retry-after-ms` has the
 * exact time for clients that read it.
 */
export class StandardRetryAfter implements RetryAfterFormat {
  retryHeaders(afterSeconds: number): Readonly<Record<string, string>> {
    return {
      'retry-after': String(Math.ceil(afterSeconds)),
      'retry-after-ms': String(Math.round(afterSeconds * MILLISECONDS_IN_SECOND)),
    }
  }
}
