/** Periods of the background work of an instance of the OpenAI-style kind, with their defaults. */

import type { Milliseconds } from '@rackwalk/shared'

/** Periods of the background work. */
export interface NodeTimings {
  /** Journal writes per second allowed to the whole fleet. */
  readonly fleetJournalWritesPerSecond: number
  readonly minimumFlushMilliseconds: Milliseconds
  /** An entry that has waited this long for the table is copied to peers. */
  readonly holdAfterMilliseconds: Milliseconds
  readonly heartbeatMilliseconds: Milliseconds
  readonly maintenanceMilliseconds: Milliseconds
  readonly configurationMilliseconds: Milliseconds
  readonly reapMilliseconds: Milliseconds
  /** Maximum lag of the platform's list of instances. */
  readonly listLagMilliseconds: Milliseconds
  readonly claimTimeoutMilliseconds: Milliseconds
}

export const DEFAULT_NODE_TIMINGS: NodeTimings = {
  fleetJournalWritesPerSecond: 60,
  minimumFlushMilliseconds: 25,
  holdAfterMilliseconds: 400,
  heartbeatMilliseconds: 1_000,
  maintenanceMilliseconds: 1_000,
  configurationMilliseconds: 2_000,
  reapMilliseconds: 5_000,
  listLagMilliseconds: 30_000,
  claimTimeoutMilliseconds: 2_000,
}
