/** What may be done with a request that may end endpoints, whatever the verdict rests on. */

/** What to do with a request. */
export type CrashVerdict = 'send' | 'isolate' | 'refuse'

const STRICTNESS: Readonly<Record<CrashVerdict, number>> = { send: 0, isolate: 1, refuse: 2 }

/** Of two verdicts the one that puts fewer endpoints at risk. */
export function strictest(left: CrashVerdict, right: CrashVerdict): CrashVerdict {
  return STRICTNESS[left] >= STRICTNESS[right] ? left : right
}
