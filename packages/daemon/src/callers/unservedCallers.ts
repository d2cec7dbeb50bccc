/** Counts and logs callers of the OpenAI-style kind that are refused before a request exists whose record tells of it. */

import { ResultCode } from '@rackwalk/shared'
import type { UnparsedRefusal } from '../observe/httpAnswer.js'
import type { Logger } from '../observe/logger.js'
import type { Metrics } from '../observe/metrics.js'

/** Observes callers that are refused outside the request pipeline. */
export interface UnservedObserver {
  /** A connection was refused on which no request was parsed. */
  readonly noteUnparsed: (refusal: UnparsedRefusal) => void
  /** A request was refused because too many connections are open. */
  readonly noteTooManyConnections: () => void
}

/** Creates the observer of the listener for callers. */
export function unservedObserver(metrics: Metrics, logger: Logger): UnservedObserver {
  return {
    noteUnparsed: ({ code, cause, caller }) => {
      if (code !== ResultCode.RequestTimeout) return
      metrics.noteNotRun('not-parsed')
      logger.warn('unparsed_request', { code, cause, caller })
    },
    noteTooManyConnections: () => metrics.noteNotRun('too-many-connections'),
  }
}
