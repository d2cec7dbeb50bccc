/** Was a served answer late for its caller, and why? */

import type { Milliseconds } from '@rackwalk/shared'
import type { GatewayRoute } from './gatewayConfiguration.js'
import type { StreamPause } from './streamPace.js'

/** What made an answer late: its beginning, or a pause between two of its events. */
export type Lateness = 'first-byte' | 'pause'

/** When the parts of an answer came. */
export interface AnswerTimes {
  /** Time from the arrival of the request; undefined where no answer began. */
  readonly firstByteMilliseconds: Milliseconds | undefined
  /** Undefined where no second event came. */
  readonly longestPause: StreamPause | undefined
}

/** Undefined where the answer came in time, or none began. */
export function latenessCause(
  route: Pick<GatewayRoute, 'goalMilliseconds' | 'pauseGoalMilliseconds'>,
  { firstByteMilliseconds, longestPause }: AnswerTimes,
): Lateness | undefined {
  if (firstByteMilliseconds === undefined) return undefined
  if (firstByteMilliseconds > route.goalMilliseconds) return 'first-byte'
  const accepted = route.pauseGoalMilliseconds ?? Number.POSITIVE_INFINITY
  return (longestPause?.milliseconds ?? 0) > accepted ? 'pause' : undefined
}
