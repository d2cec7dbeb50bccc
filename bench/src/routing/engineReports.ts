/** Reports of an engine model: its load, delayed, and its cache events, of which a few are lost. */

import type { Clock, Milliseconds } from '@rackwalk/shared'
import type { CacheEvent, LoadReport } from '@rackwalk/router'
import type { CacheChange, EngineModel } from '@rackwalk/stand-ins'

/** Delay between a change at an engine and its report. */
const REPORT_LAG_MILLISECONDS: Milliseconds = 400
/** Every event whose sequence number is a multiple of this is lost. */
const LOST_EVENT_PERIOD = 50

const NO_LOAD: LoadReport = {
  running: 0,
  waiting: 0,
  cacheUse: 0,
  leaving: false,
  queuedPromptTokens: 0,
}

/** The load reports and cache events of one engine. */
export class EngineReports {
  private reported = NO_LOAD
  private readonly events: CacheEvent[] = []
  private sequence = 0

  constructor(private readonly clock: Clock) {}

  /** The load that the engine reported last. */
  get load(): LoadReport {
    return this.reported
  }

  eventsAfter(sequence: number): readonly CacheEvent[] {
    return this.events.filter(event => event.sequence > sequence)
  }

  /** Starts reporting the engine's load, repeatedly and with a delay. */
  scheduleReport(engine: EngineModel): void {
    const current = loadOf(engine)
    this.clock.after(REPORT_LAG_MILLISECONDS, () => {
      this.reported = current
      this.scheduleReport(engine)
    })
  }

  /** Publishes a change of the engine's cache as an event, after a delay. */
  recordCacheChange({ kind, ids }: CacheChange): void {
    this.sequence += 1
    if (this.sequence % LOST_EVENT_PERIOD === 0) return
    const event = { sequence: this.sequence, kind, hashes: ids }
    this.clock.after(REPORT_LAG_MILLISECONDS, () => this.events.push(event))
  }
}

function loadOf(engine: EngineModel): LoadReport {
  return {
    running: engine.runningRequests,
    waiting: engine.waitingRequests,
    cacheUse: engine.cacheUse,
    leaving: false,
    queuedPromptTokens: engine.waitingTokens,
  }
}
