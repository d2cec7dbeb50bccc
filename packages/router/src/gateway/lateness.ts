/** Decides whether and why an answer was late for its caller, by the goals of its route. */

import type { Milliseconds } from '@rackwalk/shared'
import type { GatewayRoute } from './gatewayConfiguration.js'
import type { StreamPause } from './streamPace.js'

/** Why an answer was late: its first byte, or a pause between two of its events. */
export type Lateness = 'first-byte' | 'pause'

/** Timing of an answer. */
export interface AnswerTimes {
  /** Time from the arrival of the request; undefined if no answer began. */
  readonly firstByteMilliseconds: Milliseconds | undefined
  /** Undefined if there was no second event. */
  readonly longestPause: StreamPause | undefined
}

/** Returns undefined if the answer was in time, or none began. */
export function latenessCause(
  route: Pick<GatewayRoute, 'goalMilliseconds' | 'pauseGoalMilliseconds'>,
  { firstByteMilliseconds, longestPause }: AnswerTimes,
): Lateness | undefined {
  if (firstByteMilliseconds === undefined) return undefined
  if (firstByteMilliseconds > route.goalMilliseconds) return 'first-byte'
  const accepted = route.pauseGoalMilliseconds ?? Number.POSITIVE_INFINITY
  return (longestPause?.milliseconds ?? 0) > accepted ? 'pause' : undefined
}
