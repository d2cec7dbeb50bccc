/**
 * Decides which instances are silent (no heartbeat lately), so that no caller is sent to them.
 *
 * Load pattern: all instances lose power and start within a second of each other. In a large fleet
 * a heartbeat takes seconds to reach all instances, so each has heard one or two of the others when
 * callers ask it for addresses. An instance that treated all others as silent would name only
 * itself to callers, and each instance would become a holder of every budget.
 *
 * So an instance counts as silent in two cases only: this instance heard it before, but not lately;
 * or this instance has waited for its first heartbeat for the time after which silence is assumed
 * (`patience`).
 *
 * Inputs: the instances, whether each was heard lately, and monotonic times in milliseconds.
 */

import type { Milliseconds } from '@rackwalk/shared'

/**
 * Remembers since when this instance waits for each other one's first heartbeat, and which of them
 * it has heard.
 */
export class SilenceDetector {
  /**
   * By instance: monotonic time at which the wait for its first heartbeat began; negative infinity
   * once the instance was heard.
   */
  private awaitedSince: ReadonlyMap<string, Milliseconds> = new Map()

  /**
   * Returns the instances that are not silent. `isHeardOf` returns whether an instance was heard
   * within the last `patience` milliseconds, and `now` is monotonic. An instance that is missing
   * from `instances` is forgotten: if listed again, it is waited for as a new one.
   */
  selectNonSilent<Instance extends { readonly instance: string }>(
    instances: readonly Instance[],
    isHeardOf: (instance: Instance) => boolean,
    now: Milliseconds,
    patience: Milliseconds,
  ): readonly Instance[] {
    const awaitedSince = new Map<string, Milliseconds>()
    const nonSilent = instances.filter(candidate => {
      const since = this.awaitedSince.get(candidate.instance) ?? now
      const isHeard = isHeardOf(candidate)
      // An instance that was heard before is silent as soon as `isHeardOf` returns false for it.
      awaitedSince.set(candidate.instance, isHeard ? Number.NEGATIVE_INFINITY : since)
      return isHeard || now - since < patience
    })
    this.awaitedSince = awaitedSince
    return nonSilent
  }
}
