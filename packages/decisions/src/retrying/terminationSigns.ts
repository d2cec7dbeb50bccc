/**
 * Which exchanges at a start of an endpoint are ended by a sign that it is over?
 *
 * Load pattern: an engine ends behind a front that holds what was sent to it. Nothing breaks these exchanges off, so each
 * one waits for its deadline, though everybody knows that nobody will answer. On the other side an endpoint that drains may
 * close its listener or lose its row and serve on, and a slow or full one fails a short look while it works.
 *
 * | sign                                                       | goes on elsewhere | final answer | cut   | asked |
 * | ---------------------------------------------------------- | ----------------- | ------------ | ----- | ----- |
 * | `replaced`: its row tells of a new start                   | ended             | ended        | ended |       |
 * | `misdirected`: another server answers at its address       | ended             | ended        | ended |       |
 * | `silent`: holds the question for its state, or fails at it | ended             |              |       |       |
 * | `still-silent`: the same for longer; twice, without news   | ended             | ended        |       |       |
 * | `cut-off`: not listed, no connection comes up, twice       | ended             |              |       |       |
 * | `away`: an instance found its engine gone by short looks   |                   |              |       | yes   |
 * | `broke-off`: it broke an answer off that had begun         |                   |              |       | yes   |
 * | `unlisted`: its row is gone, unannounced                   |                   |              |       | yes   |
 * | `nobody-listens`: by a look, or for a new connection       |                   |              |       |       |
 * | `turned-away`: closes or resets the question               |                   |              |       |       |
 *
 * "Goes on elsewhere": may be repeated or resumed. "Final answer": may not, and its caller has nothing. "Cut": may not,
 * and its caller has a part. "Asked": the sign ends nothing itself, and the endpoint is asked for its state.
 *
 * News carries no time. So it ends nothing: the question that follows it is asked here, and ends only what was sent before
 * it. An engine that is back between a look elsewhere and the news of it tells its state. A dead process resets its own
 * connections, so nobody listening is left to that.
 *
 * Limits: a host without power whose row still stands is not asked. A stream that can't be resumed is cut by nothing but a
 * proof: a long silence may be a long prompt.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** What says, or may say, that a start of an endpoint is over. */
export type TerminationSign =
  | 'replaced'
  | 'misdirected'
  | 'silent'
  | 'still-silent'
  | 'cut-off'
  | 'away'
  | 'broke-off'
  | 'unlisted'
  | 'nobody-listens'
  | 'turned-away'

/** What a question for an endpoint's state has come to so far. */
export type StateProbeResult =
  | 'lives'
  /** It answers with an error: no engine is behind it. */
  | 'fails'
  /** It closes or resets the connection. */
  | 'turned-away'
  | 'nobody-listens'
  /** The connection is up, and nothing comes. */
  | 'held'
  | 'no-connection'

/** An exchange without a whole answer. */
export interface InFlightState {
  /** Monotonic time at which it was sent, */
  readonly sentAt: Milliseconds
  /** and at which the newest part of its answer came; when it was sent, where none did. */
  readonly lastReceivedAt: Milliseconds
  /** Whether its request may be repeated or resumed elsewhere. */
  readonly isRetryable: boolean
  /** Whether its caller has a part of the answer. */
  readonly isReplyStarted: boolean
  /** Whether nothing is read, since its caller takes nothing at present. */
  readonly isPaused: boolean
}

/** When a sign was seen. */
export interface SignEvidenceTimes {
  /** Monotonic time of the question, or of a proof. */
  readonly askedAt: Milliseconds
  /** Monotonic time at which anything last came from the endpoint. */
  readonly heardAt: Milliseconds
}

type ExchangeClass = 'goes-on' | 'refused' | 'cut'

interface SignRule {
  readonly ends: readonly ExchangeClass[]
  readonly isProof: boolean
  readonly requiresProbe: boolean
}

/** A question that is held for so long is not answered by a usual engine, */
export const PROBE_TIMEOUT_MILLISECONDS: Milliseconds = 200
/** and after this time not by a slow one either. */
export const LONG_PROBE_TIMEOUT_MILLISECONDS: Milliseconds = 500
/** Questions to an unlisted endpoint that come to no connection before that counts. */
const UNCONNECTED_PROBES = 2
/** Whoever told that an engine is away has looked twice; without that, questions count only in a row of so many. */
const PROBES_WITHOUT_GOSSIP = 2
/** From the end of an engine to its news: two looks, and the way. */
const GOSSIP_DELAY_MILLISECONDS: Milliseconds = 300

const NOTHING: SignRule = { ends: [], isProof: false, requiresProbe: false }
const PROOF: SignRule = { ends: ['goes-on', 'refused', 'cut'], isProof: true, requiresProbe: false }
const PROBE_ONLY: SignRule = { ...NOTHING, requiresProbe: true }
const SIGN_RULES: Readonly<Record<TerminationSign, SignRule>> = {
  replaced: PROOF,
  misdirected: PROOF,
  silent: { ...NOTHING, ends: ['goes-on'] },
  'still-silent': { ...NOTHING, ends: ['goes-on', 'refused'] },
  'cut-off': { ...NOTHING, ends: ['goes-on'] },
  away: PROBE_ONLY,
  'broke-off': PROBE_ONLY,
  unlisted: PROBE_ONLY,
  'nobody-listens': NOTHING,
  'turned-away': NOTHING,
}

/** Whether an endpoint is asked for its state at this sign, where any of these is open there. */
export function isAsked(sign: TerminationSign, exchanges: readonly InFlightState[]): boolean {
  return (
    SIGN_RULES[sign].requiresProbe &&
    exchanges.some(exchange => exchangeClassOf(exchange) !== 'cut')
  )
}

/** Whether an exchange is ended by a sign. */
export function isTerminatedBy(
  exchange: InFlightState,
  sign: TerminationSign,
  times: SignEvidenceTimes,
): boolean {
  const { ends, isProof } = SIGN_RULES[sign]
  if (exchange.isPaused || !ends.includes(exchangeClassOf(exchange))) return false
  if (isProof) return true
  return exchange.lastReceivedAt <= times.askedAt && times.heardAt <= times.askedAt
}

function exchangeClassOf({ isRetryable, isReplyStarted }: InFlightState): ExchangeClass {
  if (isRetryable) return 'goes-on'
  return isReplyStarted ? 'cut' : 'refused'
}

/** What the newest question says of the start, by what all questions at one sign came to. */
export function signOfProbes(
  why: TerminationSign,
  questions: readonly StateProbeResult[],
  elapsed: Milliseconds,
): TerminationSign | undefined {
  const newest = questions.at(-1)
  if (newest === 'fails' || newest === 'held')
    return signOfUnansweredProbes(why, questions, elapsed)
  if (newest === 'turned-away' || newest === 'nobody-listens') return newest
  const isCutOff = questions.length >= UNCONNECTED_PROBES && newest === 'no-connection'
  return why === 'unlisted' && isCutOff ? 'cut-off' : undefined
}

function signOfUnansweredProbes(
  why: TerminationSign,
  questions: readonly StateProbeResult[],
  elapsed: Milliseconds,
): TerminationSign | undefined {
  const hasFailed = questions.at(-1) === 'fails'
  const isLong = hasFailed || elapsed >= LONG_PROBE_TIMEOUT_MILLISECONDS
  if (isLong && questions.length >= requiredProbes(why)) return 'still-silent'
  return hasFailed || elapsed >= PROBE_TIMEOUT_MILLISECONDS ? 'silent' : undefined
}

/** Whether one more question is asked after these. */
export function requiresAnotherProbe(
  why: TerminationSign,
  questions: readonly StateProbeResult[],
): boolean {
  const newest = questions.at(-1)
  if (why === 'unlisted' && newest === 'no-connection') {
    return questions.length < UNCONNECTED_PROBES
  }
  const isUnanswered = newest === 'held' || newest === 'fails'
  return isUnanswered && questions.length < requiredProbes(why)
}

/** Questions that must go unanswered before it counts for requests that may run once. */
function requiredProbes(why: TerminationSign): number {
  return why === 'away' ? 1 : PROBES_WITHOUT_GOSSIP
}

/**
 * Whether an exchange was there when its endpoint ended, and was not sent to its front afterwards: only such a one can have
 * ended it. `brokenAt` is the first break seen here, undefined where none was.
 */
export function wasInFlightAtCrash(
  { sentAt }: Pick<InFlightState, 'sentAt'>,
  known: { readonly brokenAt: Milliseconds | undefined; readonly knownAt: Milliseconds },
): boolean {
  return sentAt <= (known.brokenAt ?? known.knownAt - GOSSIP_DELAY_MILLISECONDS)
}
