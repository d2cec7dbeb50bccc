/** Creates the planner's task together with the lease whose holder is the planner. */

import { Lease } from '@rackwalk/coordination'
import type { IncarnationId, Milliseconds, RandomSource } from '@rackwalk/shared'
import type { TableService } from '@rackwalk/stores'
import { PlacementTask } from './placementTask.js'
import type { PlacementTaskParts } from './placementTask.js'

const PLANNER_LEASE = 'planner'

/** What the task and its lease need. */
export interface PlacementTaskSources extends Omit<PlacementTaskParts, 'lease'> {
  readonly table: TableService
  readonly random: RandomSource
  readonly incarnation: IncarnationId
  readonly leaseMilliseconds: Milliseconds
}

/** Creates the task; it plans only while its instance holds the lease. */
export function createPlacementTask(sources: PlacementTaskSources): PlacementTask {
  const { incarnation, table, clock, random, leaseMilliseconds, ...parts } = sources
  const lease = new Lease({
    name: PLANNER_LEASE,
    incarnation,
    table,
    clock,
    random,
    durationMilliseconds: leaseMilliseconds,
  })
  return new PlacementTask({ ...parts, clock, lease })
}
