/**
 * Decides which exchanges with an endpoint start are terminated by a sign that the start may be over, and which signs make
 * this instance probe the endpoint's state.
 *
 * Load pattern: an engine terminates behind a front that holds the requests sent to it. Nothing resets these exchanges,
 * so without this rule each of them waits until its deadline although no answer can come. On the other hand, a draining
 * endpoint may close its listener or lose its row and still serve, and a slow or full one fails a short probe while it
 * works.
 *
 * Inputs: the sign, the state of each exchange, when the probe (or the proof) took place, and when the endpoint was last
 * heard from. All times are monotonic milliseconds.
 *
 * | sign                                                                | retryable  | final      | started    | probe |
 * | ------------------------------------------------------------------- | ---------- | ---------- | ---------- | ----- |
 * | `replaced`: the endpoint's row names a new start                    | terminated | terminated | terminated |       |
 * | `misdirected`: another server answers at the address                | terminated | terminated | terminated |       |
 * | `silent`: the state probe is held or fails                          | terminated |            |            |       |
 * | `still-silent`: the same for longer, or twice without gossip        | terminated | terminated |            |       |
 * | `cut-off`: not listed, and no connection can be established, twice  | terminated |            |            |       |
 * | `away`: another instance's short probes found the engine gone       |            |            |            | yes   |
 * | `broke-off`: the endpoint interrupted an answer that had begun      |            |            |            | yes   |
 * | `unlisted`: the endpoint's row is gone without announcement         |            |            |            | yes   |
 * | `nobody-listens`: seen by a probe or by a new connection            |            |            |            |       |
 * | `turned-away`: the endpoint closes or resets the probe's connection |            |            |            |       |
 *
 * "Retryable": the request may be repeated or resumed elsewhere. "Final": it may not, and its caller has received nothing.
 * "Started": it may not, and its caller has a part of the answer. "Probe": the sign itself terminates nothing, and this
 * instance probes the endpoint's state.
 *
 * Gossip carries no time, so gossip terminates nothing. The probe that follows it is made by this instance and
 * terminates only exchanges that were sent before that probe. An engine that is back between another instance's probe
 * and its gossip answers the probe. A dead process resets its own connections, so `nobody-listens` needs no action.
 *
 * Limits: a host without power whose row is still listed is not probed. A stream that cannot be resumed is cut only by a
 * proof, since a long silence may be the prefill of a long prompt.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** A sign that an endpoint start is over, or may be. */
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

/** The result of a state probe so far. */
export type StateProbeResult =
  | 'lives'
  /** The endpoint answers with an error, so there is no engine behind it. */
  | 'fails'
  /** The endpoint closes or resets the connection. */
  | 'turned-away'
  | 'nobody-listens'
  /** The connection is established, and no answer arrives. */
  | 'held'
  | 'no-connection'

/** An exchange whose answer is not complete. */
export interface InFlightState {
  /** Monotonic time at which the request was sent. */
  readonly sentAt: Milliseconds
  /** Monotonic time at which the newest part of the answer arrived, or `sentAt` if none has. */
  readonly lastReceivedAt: Milliseconds
  /** Whether the request may be repeated or resumed elsewhere. */
  readonly isRetryable: boolean
  /** Whether the caller has a part of the answer. */
  readonly isReplyStarted: boolean
  /** Whether reading is paused because the caller accepts no data at present. */
  readonly isPaused: boolean
}

/** When a sign was seen and when the endpoint was last heard from. */
export interface SignEvidenceTimes {
  /** Monotonic time at which the state probe began, or of the proof. */
  readonly askedAt: Milliseconds
  /** Monotonic time at which anything last arrived from the endpoint. */
  readonly heardAt: Milliseconds
}

type ExchangeClass = 'goes-on' | 'refused' | 'cut'

interface SignRule {
  /** The classes of exchanges that the sign terminates. */
  readonly terminates: readonly ExchangeClass[]
  /** Whether the sign proves the termination, whatever was received since. */
  readonly isProof: boolean
  readonly requiresProbe: boolean
}

/** A usual engine answers a state probe within this time. */
export const PROBE_TIMEOUT_MILLISECONDS: Milliseconds = 200
/** A slow engine answers a state probe within this time as well. */
export const LONG_PROBE_TIMEOUT_MILLISECONDS: Milliseconds = 500
/** Number of probes of an unlisted endpoint that must get no connection before it counts as cut off. */
const UNCONNECTED_PROBES = 2
/** Number of unanswered probes in a row required without gossip. An instance that sends gossip has already probed twice. */
const PROBES_WITHOUT_GOSSIP = 2
/** Time from the termination of an engine to the gossip of it: two probes and the transmission. */
const GOSSIP_DELAY_MILLISECONDS: Milliseconds = 300

const NO_EFFECT: SignRule = { terminates: [], isProof: false, requiresProbe: false }
const PROOF: SignRule = {
  terminates: ['goes-on', 'refused', 'cut'],
  isProof: true,
  requiresProbe: false,
}
const PROBE_ONLY: SignRule = { ...NO_EFFECT, requiresProbe: true }
const SIGN_RULES: Readonly<Record<TerminationSign, SignRule>> = {
  replaced: PROOF,
  misdirected: PROOF,
  silent: { ...NO_EFFECT, terminates: ['goes-on'] },
  'still-silent': { ...NO_EFFECT, terminates: ['goes-on', 'refused'] },
  'cut-off': { ...NO_EFFECT, terminates: ['goes-on'] },
  away: PROBE_ONLY,
  'broke-off': PROBE_ONLY,
  unlisted: PROBE_ONLY,
  'nobody-listens': NO_EFFECT,
  'turned-away': NO_EFFECT,
}

/** Whether this sign makes the instance probe the endpoint's state, given the exchanges in flight there. */
export function isAsked(sign: TerminationSign, exchanges: readonly InFlightState[]): boolean {
  return (
    SIGN_RULES[sign].requiresProbe &&
    exchanges.some(exchange => exchangeClassOf(exchange) !== 'cut')
  )
}

/** Whether a sign terminates an exchange. */
export function isTerminatedBy(
  exchange: InFlightState,
  sign: TerminationSign,
  times: SignEvidenceTimes,
): boolean {
  const { terminates, isProof } = SIGN_RULES[sign]
  if (exchange.isPaused || !terminates.includes(exchangeClassOf(exchange))) return false
  if (isProof) return true
  return exchange.lastReceivedAt <= times.askedAt && times.heardAt <= times.askedAt
}

function exchangeClassOf({ isRetryable, isReplyStarted }: InFlightState): ExchangeClass {
  if (isRetryable) return 'goes-on'
  return isReplyStarted ? 'cut' : 'refused'
}

/**
 * Returns the sign that follows from the newest of all probes that one sign has triggered. `elapsed` is the time since
 * the newest probe was sent.
 */
export function signOfProbes(
  trigger: TerminationSign,
  probes: readonly StateProbeResult[],
  elapsed: Milliseconds,
): TerminationSign | undefined {
  const newest = probes.at(-1)
  if (newest === 'fails' || newest === 'held')
    return signOfUnansweredProbes(trigger, probes, elapsed)
  if (newest === 'turned-away' || newest === 'nobody-listens') return newest
  const isCutOff = probes.length >= UNCONNECTED_PROBES && newest === 'no-connection'
  return trigger === 'unlisted' && isCutOff ? 'cut-off' : undefined
}

function signOfUnansweredProbes(
  trigger: TerminationSign,
  probes: readonly StateProbeResult[],
  elapsed: Milliseconds,
): TerminationSign | undefined {
  const hasFailed = probes.at(-1) === 'fails'
  const isLong = hasFailed || elapsed >= LONG_PROBE_TIMEOUT_MILLISECONDS
  if (isLong && probes.length >= requiredProbes(trigger)) return 'still-silent'
  return hasFailed || elapsed >= PROBE_TIMEOUT_MILLISECONDS ? 'silent' : undefined
}

/** Whether one more probe follows these. */
export function requiresAnotherProbe(
  trigger: TerminationSign,
  probes: readonly StateProbeResult[],
): boolean {
  const newest = probes.at(-1)
  if (trigger === 'unlisted' && newest === 'no-connection') {
    return probes.length < UNCONNECTED_PROBES
  }
  const isUnanswered = newest === 'held' || newest === 'fails'
  return isUnanswered && probes.length < requiredProbes(trigger)
}

/** Returns how many probes must go unanswered before requests that may run only once are terminated. */
function requiredProbes(trigger: TerminationSign): number {
  return trigger === 'away' ? 1 : PROBES_WITHOUT_GOSSIP
}

/**
 * Whether an exchange was at its endpoint when that crashed, and was not sent to its front afterwards. Only such an
 * exchange can have caused the crash. `brokenAt` is when the first reset was seen here, or undefined if none was.
 */
export function wasInFlightAtCrash(
  { sentAt }: Pick<InFlightState, 'sentAt'>,
  known: { readonly brokenAt: Milliseconds | undefined; readonly knownAt: Milliseconds },
): boolean {
  return sentAt <= (known.brokenAt ?? known.knownAt - GOSSIP_DELAY_MILLISECONDS)
}
