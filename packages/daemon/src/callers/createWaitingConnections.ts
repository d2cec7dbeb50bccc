/** Ties the taking of waiting connections to the counters and the log of the OpenAI-style kind. */

import type { Logger } from '../observe/logger.js'
import type { Metrics } from '../observe/metrics.js'
import { WaitingConnections } from './waitingConnections.js'

/** Takes what waits before the listener for callers, counted and told. */
export function createWaitingConnections(metrics: Metrics, logger: Logger): WaitingConnections {
  return new WaitingConnections({
    noteTaken: count => metrics.noteTakenConnections(count),
    noteUntaken: cause => metrics.noteUntakenConnections(cause),
    noteTakingChange: (isTaken, detail) => logger.info('waiting_connections', { isTaken, detail }),
  })
}
