/** Size and load of a fleet for which the capacity page is computed. */
export interface FleetSize {
  readonly name: string
  readonly nodes: number
  readonly regions: number
  readonly failureDomains: number
  readonly endpoints: number
  readonly models: number
  readonly teams: number
  readonly budgets: number
  readonly requestsPerSecond: number
  readonly tokensPerSecond: number
  readonly changesPerDay: number
  /** Rates that the platform's store accepts from the whole fleet, from the site's data sheet. */
  readonly storeWritesPerSecond: number
  readonly storeReadsPerSecond: number
}

/** The fleet size of the first requirements. */
export const REQUIREMENT_SIZE: FleetSize = {
  name: 'first letter',
  nodes: 360,
  regions: 7,
  failureDomains: 24,
  endpoints: 3_500,
  models: 16,
  teams: 320,
  budgets: 350_000,
  requestsPerSecond: 14_000,
  tokensPerSecond: 6_300_000,
  changesPerDay: 13_000,
  // No data sheet has this size; these are the highest rates that one states, for 89 nodes.
  storeWritesPerSecond: 1_500,
  storeReadsPerSecond: 6_000,
}

export const BOOKING_SIZE: FleetSize = {
  name: 'booking office',
  nodes: 7,
  regions: 1,
  failureDomains: 4,
  endpoints: 10,
  models: 1,
  teams: 10,
  budgets: 10,
  requestsPerSecond: 54,
  tokensPerSecond: 2_500,
  changesPerDay: 100,
  storeWritesPerSecond: 600,
  storeReadsPerSecond: 2_000,
}

/** The booking office's larger data sheet; most of its nodes are standbys. */
export const BOOKING_LARGE_SIZE: FleetSize = {
  ...BOOKING_SIZE,
  name: 'booking office, larger',
  nodes: 73,
  endpoints: 46,
  teams: 24,
  budgets: 24,
  requestsPerSecond: 348,
  tokensPerSecond: 14_000,
  storeWritesPerSecond: 1_500,
  storeReadsPerSecond: 6_000,
}

export const DOCWORKS_SIZE: FleetSize = {
  ...BOOKING_SIZE,
  name: 'Docworks',
  nodes: 8,
  failureDomains: 3,
  endpoints: 11,
  requestsPerSecond: 67,
  tokensPerSecond: 5_000,
  storeWritesPerSecond: 800,
}
