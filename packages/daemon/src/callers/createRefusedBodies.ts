/**
 * Creates the handler of refused bodies for an instance of the OpenAI-style kind, with the link bandwidth in its
 * settings. Owns nothing.
 */

import type { Clock } from '@rackwalk/shared'
import { LinkBandwidthBudget } from '@rackwalk/decisions'
import { RefusedBodyHandler } from '@rackwalk/router'
import type { RefusedBodyCounters } from '@rackwalk/router'
import { linkBytesPerSecond } from '../gateway/instanceCapacity.js'
import type { Settings } from '../settings/schema.js'

/** Creates the handler that the listeners for callers and operators share. */
export function createRefusedBodies(
  limits: Settings['limits'],
  clock: Clock,
  counters: RefusedBodyCounters,
): RefusedBodyHandler {
  return new RefusedBodyHandler({
    clock,
    link: new LinkBandwidthBudget(linkBytesPerSecond(limits)),
    counters,
  })
}
