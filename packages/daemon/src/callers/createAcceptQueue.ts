/** Connects the accept queue to the counters and the log of the OpenAI-style kind. */

import type { Logger } from '../observe/logger.js'
import type { Metrics } from '../observe/metrics.js'
import { AcceptQueue } from './acceptQueue.js'

/** Creates the accept queue of the listener for callers, with its metrics and log lines. */
export function createAcceptQueue(metrics: Metrics, logger: Logger): AcceptQueue {
  return new AcceptQueue({
    noteAccepted: count => metrics.noteAcceptedConnections(count),
    noteUnaccepted: cause => metrics.noteUnacceptedConnections(cause),
    noteDrainingChange: (isTaken, detail) =>
      logger.info('waiting_connections', { isTaken, detail }),
  })
}
