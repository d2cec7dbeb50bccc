/** The faults injected into a run, and the length of the run. */
export interface Scenario {
  readonly name: string
  readonly milliseconds: number
  /** Period at which an instance crashes and is replaced. */
  readonly crashPeriodMilliseconds?: number
  /** Time after the start of the demand from which the table is unreachable until the end. */
  readonly tableLostAtMilliseconds?: number
}

const MINUTE = 60_000

export const SCENARIOS: readonly Scenario[] = [
  { name: 'calm', milliseconds: 10 * MINUTE },
  {
    name: 'a death each minute',
    milliseconds: 10 * MINUTE,
    crashPeriodMilliseconds: MINUTE,
  },
  {
    name: 'store outage of 5 minutes',
    milliseconds: 20 * MINUTE,
    tableLostAtMilliseconds: 15 * MINUTE,
  },
]
