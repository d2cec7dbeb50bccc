/**
 * Decides among how many instances a bound of the whole fleet is divided.
 *
 * Load pattern: of hundreds of instances a dozen are active. Each of the others gets health checks
 * and an occasional request, and all callers of a team may stay with one of them. If a bound was
 * divided among all instances that get any request, then connections, records of holdings and load
 * reports would each have only a small part of what they need.
 *
 * So a bound is divided among the instances that use it: the active ones, and those whose reports
 * show work at endpoints. An instance that does not use the bound yet takes the part that it would
 * have if all instances that serve callers used the bound, which limits the sum while many of them
 * begin to use it at once.
 *
 * Inputs: numbers of instances, as this one knows them; the result is a number of instances.
 */

/** How many instances use a bound, as far as one instance knows. */
export interface FleetUsage {
  /** Whether this instance is active or has work at endpoints. */
  readonly isSelfUsing: boolean
  /** Number of other instances that are active or have work at endpoints. */
  readonly usingOthers: number
  /** Number of other instances that serve callers, whether or not they use the bound. */
  readonly others: number
}

/** Returns the number of instances that share a bound, this one included. */
export function fleetShareCount({ isSelfUsing, usingOthers, others }: FleetUsage): number {
  return 1 + (isSelfUsing ? usingOthers : others)
}

/**
 * Returns the number of instances that share a bound which must hold while parts of the fleet
 * cannot communicate. Each part then chooses active instances of its own, and this instance does
 * not know those of the other parts, so the number is at least half of all instances that serve
 * callers.
 */
export function partitionSafeShareCount(usage: FleetUsage): number {
  return Math.max(fleetShareCount(usage), Math.ceil((1 + usage.others) / 2))
}
