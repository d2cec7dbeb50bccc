/**
 * Which instances have fallen silent, so that no caller is sent to them?
 *
 * Load pattern: all instances lose power and start within a second of each other. In a large fleet a
 * sign of life takes seconds to come round, so each has heard one or two of the others when callers ask
 * it for addresses. Taking all the others for silent, each would name itself alone, and each of them become a
 * holder of every budget.
 *
 * So an instance counts as silent only after this one has listened for it for as long as silence takes to
 * notice: either it was heard and then no more, or nothing came in all that time.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** Remembers since when each instance is listened for, and which were heard. */
export class SilenceDetector {
  /** By instance: monotonic time at which listening began, long ago where it was heard since. */
  private awaitedSince: ReadonlyMap<string, Milliseconds> = new Map()

  /**
   * Of the instances those that have not fallen silent; `hears` tells whether one was heard within
   * `patience`, and `now` is monotonic. An instance that is no longer named is forgotten.
   */
  selectNonSilent<Instance extends { readonly instance: string }>(
    instances: readonly Instance[],
    hears: (instance: Instance) => boolean,
    now: Milliseconds,
    patience: Milliseconds,
  ): readonly Instance[] {
    const awaitedSince = new Map<string, Milliseconds>()
    const audible = instances.filter(each => {
      const since = this.awaitedSince.get(each.instance) ?? now
      const isHeard = hears(each)
      // Who was heard once is silent as soon as it is heard no more.
      awaitedSince.set(each.instance, isHeard ? Number.NEGATIVE_INFINITY : since)
      return isHeard || now - since < patience
    })
    this.awaitedSince = awaitedSince
    return audible
  }
}
