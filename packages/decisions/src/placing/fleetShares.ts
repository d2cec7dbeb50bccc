/**
 * Among how many instances is a bound of the whole fleet divided?
 *
 * Load pattern: hundreds of instances of which a dozen take callers. Health checks and a plain request
 * now and then come to each of the others, and all callers of a team may stay with one of them. Divided
 * among all to which anything came, connections, records of holdings and reports of load would each have
 * a small part of their measure.
 *
 * So a bound is divided among those that use it: the active instances, and the others that were heard
 * telling of work at endpoints. An instance that uses nothing yet takes the part that it would have if
 * all did, which bounds the sum for the moment in which many begin at once.
 */

/** What one instance knows of who uses a bound. */
export interface FleetUsage {
  /** Whether this instance is active or has work at endpoints. */
  readonly isSelfUsing: boolean
  /** Other instances that are active or have work at endpoints. */
  readonly usingOthers: number
  /** Other instances that serve, whether or not they use the bound. */
  readonly others: number
}

/** The number of instances that share a bound, this one included. */
export function fleetShareCount({ isSelfUsing, usingOthers, others }: FleetUsage): number {
  return 1 + (isSelfUsing ? usingOthers : others)
}

/**
 * The same for a bound that must hold while parts of the fleet cannot hear each other: each part then
 * chooses active instances of its own, so half of all may be active at least.
 */
export function partitionSafeShareCount(use: FleetUsage): number {
  return Math.max(fleetShareCount(use), Math.ceil((1 + use.others) / 2))
}
