/** Periods of the background work of an instance of the OpenAI-style kind, with their defaults. */

import type { Milliseconds } from '@rackwalk/shared'

/** Periods of the background work, and the limits that determine them. */
export interface NodeTimings {
  /** Journal writes per second allowed to the whole fleet. */
  readonly fleetJournalWritesPerSecond: number
  /** Minimum time between two flushes of the journal. */
  readonly minimumFlushMilliseconds: Milliseconds
  /** An entry that has waited longer than this for the table is copied to peers. */
  readonly holdAfterMilliseconds: Milliseconds
  /** Time between two rounds of heartbeats. */
  readonly heartbeatMilliseconds: Milliseconds
  /** Time between two rounds of budget maintenance. */
  readonly maintenanceMilliseconds: Milliseconds
  /** Time between two reads of configuration changes. */
  readonly configurationMilliseconds: Milliseconds
  /** Time between two searches for terminated incarnations. */
  readonly reapMilliseconds: Milliseconds
  /** Maximum lag of the platform's list of instances. */
  readonly listLagMilliseconds: Milliseconds
  /** How long a claim may wait for the table before its request is refused. */
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
