/**
 * The verdicts on a request that may crash endpoints, whatever evidence they rest on, and their order by strictness.
 * Several rules judge the same request; without a common order a lenient verdict could override a strict one.
 */

/** Whether to send a request normally, to isolate it on one endpoint, or to refuse it. */
export type QuarantineVerdict = 'send' | 'isolate' | 'refuse'

const STRICTNESS: Readonly<Record<QuarantineVerdict, number>> = { send: 0, isolate: 1, refuse: 2 }

/** Returns the verdict that puts fewer endpoints at risk. */
export function strictestVerdict(
  left: QuarantineVerdict,
  right: QuarantineVerdict,
): QuarantineVerdict {
  return STRICTNESS[left] >= STRICTNESS[right] ? left : right
}
