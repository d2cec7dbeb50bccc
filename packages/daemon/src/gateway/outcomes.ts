/** Waits for outcomes of which some are undefined or late. */

import { limitAnswer } from '@rackwalk/shared'
import type { Clock, Milliseconds } from '@rackwalk/shared'

/** Resolves with the outcome, or with undefined if it is not there within the limit. It must not reject. */
export function withinLimit<Outcome>(
  clock: Clock,
  outcome: Promise<Outcome | undefined>,
  limit: Milliseconds,
): Promise<Outcome | undefined> {
  return new Promise(resolve => {
    const timer = limitAnswer(clock, limit, () => resolve(undefined))
    void outcome.then(value => {
      timer.cancel()
      resolve(value)
    })
  })
}

/** Resolves with the first outcome that is defined; with undefined if none is. No outcome may reject. */
export async function firstDefined<Outcome>(
  outcomes: readonly Promise<Outcome | undefined>[],
): Promise<Outcome | undefined> {
  const defined = outcomes.map(async outcome => {
    return (await outcome) ?? Promise.reject(new Error('undefined'))
  })
  return Promise.any(defined).catch(() => undefined)
}
