/** What may be done with a request that may end endpoints, whatever the verdict rests on. */

/** What to do with a request. */
export type QuarantineVerdict = 'send' | 'isolate' | 'refuse'

const STRICTNESS: Readonly<Record<QuarantineVerdict, number>> = { send: 0, isolate: 1, refuse: 2 }

/** Of two verdicts the one that puts fewer endpoints at risk. */
export function strictestVerdict(
  left: QuarantineVerdict,
  right: QuarantineVerdict,
): QuarantineVerdict {
  return STRICTNESS[left] >= STRICTNESS[right] ? left : right
}
