/**
 * May a request be sent to an endpoint that may turn it away, where the endpoint bears only few that it turns away?
 *
 * Load pattern: an endpoint in need falls over where it has to turn away more than so many requests in a second, and says
 * so in its answers. Callers press, each instance sees a free place that the others see as well, and what is turned away is
 * tried at the next endpoint, which is full too.
 *
 * | places in use, by all that is known | sent                                                              |
 * | ----------------------------------- | ----------------------------------------------------------------- |
 * | fewer than three quarters           | as to any other                                                   |
 * | more                                | within this instance's part of half of what may be turned away    |
 *
 * The part is a licence as for a named rate: the sum of all licences holds while instances can't hear each other.
 *
 * Limits: what others have sent in the last milliseconds is not known, so the quarter that is left and the other half of
 * the bound cover what is sent at the same moment. An endpoint that gives away more places than it says is not protected.
 */

import { quotaAtRank, quotaRank, divideRate } from './rateQuota.js'
import type { RateQuota, RecordedInstance } from './rateQuota.js'

/** An endpoint as full as this may turn the next request away. */
const SAFE_SHARE = 0.75
/** Part of the bound that is given out. */
const DISTRIBUTED_SHARE = 0.5
const COUNT_PATTERN = /^\d{1,9}$/

/** Requests that an endpoint bears to turn away in a second, as an answer names them; undefined where it names none. */
export function parseRejectionLimit(text: string | undefined): number | undefined {
  const value = text?.trim() ?? ''
  return COUNT_PATTERN.test(value) ? Number(value) : undefined
}

/** Whether an endpoint with so many places in use may turn a request away. */
export function isNearlyFull(running: number, slots: number): boolean {
  return running >= Math.max(1, Math.floor(slots * SAFE_SHARE))
}

/** What one instance may send in spite of that; undefined where it may send nothing. */
export function rejectionQuota(
  turnAwaysPerSecond: number,
  instance: string,
  recorded: readonly RecordedInstance[],
  start: string,
): RateQuota | undefined {
  const rank = quotaRank(instance, recorded, start)
  const risked = turnAwaysPerSecond * DISTRIBUTED_SHARE
  if (rank === undefined || risked === 0) return undefined
  return quotaAtRank(rank, divideRate(risked, recorded.length), 0)
}
