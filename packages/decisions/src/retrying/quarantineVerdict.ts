/**
 * The verdicts on a request that may crash endpoints, and their order by strictness.
 *
 * Several rules judge the same request by different evidence: crash marks of the request itself, unconfirmed resets, and
 * its prompt parts. Without a common order a lenient verdict could override a strict one.
 */

/** What to do with a request. */
export type QuarantineVerdict =
  /** Send the request to the best endpoint. */
  | 'send'
  /** Send the request only to the one endpoint that all instances choose for it. */
  | 'isolate'
  /** Send the request to no endpoint and return an error to the caller. */
  | 'refuse'

/** The higher a verdict's number, the fewer endpoints it puts at risk. */
const STRICTNESS: Readonly<Record<QuarantineVerdict, number>> = { send: 0, isolate: 1, refuse: 2 }

/** Returns the stricter of two verdicts, the one that puts fewer endpoints at risk. */
export function strictestVerdict(
  left: QuarantineVerdict,
  right: QuarantineVerdict,
): QuarantineVerdict {
  return STRICTNESS[left] >= STRICTNESS[right] ? left : right
}
