/** Which instances of a replayed fleet lose their links to endpoints, how, and what is counted. */

/** Which instances lose their links. */
export const LOST_BY = [
  'a quarter',
  'a failure domain',
  'all but one of a failure domain',
  'the active instances',
  'all but a failure domain',
  'nine in ten',
  'all but one',
] as const

/** One of `LOST_BY`. */
export type LostBy = (typeof LOST_BY)[number]

/** What becomes of connections to endpoints. */
export const LINK_FAULTS = [
  /** Open connections and new ones hang. */
  'silent',
  /** Open connections are reset, and new ones are refused. */
  'reset',
  /** Open connections live on, and new ones are refused. */
  'refused to new connections',
  /** Connections stay and come up, and nothing that is sent on them is answered. */
  'unanswered',
] as const

/** One of `LINK_FAULTS`. */
type LinkFault = (typeof LINK_FAULTS)[number]

/** One replay. */
export interface LostLinksScenario {
  readonly seed: number
  readonly instances: number
  readonly lostBy: LostBy
  readonly fault: LinkFault
  /** Share of the callers that stay with one instance, whatever the directory says; in [0, 1]. */
  readonly stayingShare?: number
}

/** First tries that were sent and served. */
export interface TryCount {
  sent: number
  served: number
}

/** The outcome of a replay, from the time on by which all instances have to know of the loss. */
export interface LostLinksOutcome {
  readonly atCut: TryCount
  readonly atOthers: TryCount
  /** Relayed requests that the busiest instance took, as a share of all, in [0, 1]. */
  readonly busiestShare: number
}
