/** What goes wrong in a run, and for how long it lasts. */
export interface Scenario {
  readonly name: string
  readonly milliseconds: number
  /** An instance dies this often and is replaced. */
  readonly deathEveryMilliseconds?: number
  /** Time since the demand began from which the table is out of reach to the end. */
  readonly tableLostAtMilliseconds?: number
}

const MINUTE = 60_000

export const SCENARIOS: readonly Scenario[] = [
  { name: 'calm', milliseconds: 10 * MINUTE },
  {
    name: 'a death each minute',
    milliseconds: 10 * MINUTE,
    deathEveryMilliseconds: MINUTE,
  },
  {
    name: 'store outage of 30 minutes',
    milliseconds: 20 * MINUTE,
    tableLostAtMilliseconds: 15 * MINUTE,
  },
]
