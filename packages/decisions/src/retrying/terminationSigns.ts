/**
 * Decides what follows from a sign that an endpoint start (one run of an endpoint: its id and start time) may be over:
 * - which exchanges with the start are terminated (`isTerminatedBy`),
 * - whether this instance probes the endpoint's state (`requiresStateProbe`), how often (`requiresAnotherProbe`), and
 *   which sign the results give (`signOfProbes`),
 * - which exchanges may have caused the crash (`wasInFlightAtCrash`).
 *
 * Load pattern: an engine terminates behind a front (a proxy or load balancer in front of the engine) that holds the
 * requests sent to the engine. Nothing resets these exchanges, so without this rule each of them waits until its deadline
 * although no answer can come. On the other hand, a draining endpoint may close its listener or lose its row and still
 * serve, and a slow or full one fails a short probe while it works.
 *
 * Inputs: the sign; the state of each exchange; the results of the state probes and the time since the newest probe began;
 * when the probe behind the sign began, or when a proof (defined below) was seen; when the endpoint was last heard from;
 * and, for the causes of a crash, when this instance saw the first reset or learned of the termination. All times are
 * monotonic milliseconds.
 *
 * A state probe asks the endpoint for its state without taking a slot. A probe fails if the answer is a server error
 * (status 500 or more), and is held while its connection is established and no answer has arrived.
 *
 * | sign                                                                    | retryable  | final      | started    | probe |
 * | ----------------------------------------------------------------------- | ---------- | ---------- | ---------- | ----- |
 * | `replaced`: the endpoint's row names a new start                        | terminated | terminated | terminated |       |
 * | `misdirected`: another server answers at the address                    | terminated | terminated | terminated |       |
 * | `silent`: a state probe failed or was held for 200 ms                   | terminated |            |            |       |
 * | `still-silent`: newest probe failed or was held for 500 ms (see text)   | terminated | terminated |            |       |
 * | `cut-off`: unlisted; no connection in the second probe                  | terminated |            |            |       |
 * | `away`: a crash detector's short probes got no answer from the engine   |            |            |            | yes   |
 * | `broke-off`: the endpoint interrupted an answer that had begun          |            |            |            | yes   |
 * | `unlisted`: the endpoint's row is gone without announcement             |            |            |            | yes   |
 * | `nobody-listens`: a probe or a new connection was refused               |            |            |            |       |
 * | `turned-away`: the probe's connection was closed or reset               |            |            |            |       |
 *
 * "Retryable": the request may be repeated or resumed elsewhere. "Final": it may not, and its caller has received nothing.
 * "Started": it may not, and its caller has a part of the answer. "Probe": the sign itself terminates nothing, and this
 * instance probes the endpoint's state if at least one exchange in flight is retryable or final.
 *
 * `replaced` and `misdirected` are proofs: they hold whatever arrives later. Every other sign terminates an exchange only
 * if nothing has arrived in the exchange or from the endpoint since the probe began. A paused exchange, whose caller accepts
 * no data at present, is terminated by no sign, not even by a proof: its whole answer may already have arrived unread.
 *
 * `still-silent` takes one probe after `away`, and two after `broke-off` or `unlisted`. The second probe follows if the
 * first one failed, was held or, after `unlisted`, got no connection. Only the result of the newest probe counts, so
 * after `unlisted` one probe without a connection and one that failed or was held can give `still-silent` as well as
 * `cut-off`, depending on their order.
 *
 * `away` comes from this instance's own crash detector or, as gossip (messages that instances send each other), from the
 * detector of another instance. Gossip carries no time, so `away` terminates nothing by itself. The sign makes this
 * instance probe the endpoint, and only exchanges that were sent before this probe can be terminated. If the engine has
 * come back since the detector's probes, the engine answers, and nothing is terminated. A dead process resets its own
 * connections, so `nobody-listens` needs no action. A full endpoint may close or reset a probe's connection, so
 * `turned-away` has no effect.
 *
 * Limits: a host without power whose row is still listed is not probed. Once its caller has a part of the answer, a stream
 * that cannot be resumed is terminated only by a proof, since a long silence may be the prefill of a long prompt. Before
 * that, `still-silent` terminates the stream too, and so do `silent` and `cut-off` if the request may be repeated.
 */

import type { Milliseconds } from '@rackwalk/shared'

/** An observation which shows, or may show, that an endpoint start is over. The module head lists what each one causes. */
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
  /** The address answers with a server error (status 500 or more), so the front has no working engine behind it. */
  | 'fails'
  /** The connection was established, then closed or reset without an answer. */
  | 'turned-away'
  | 'nobody-listens'
  /** The connection is established, and no answer has arrived yet. */
  | 'held'
  /** No connection has been established, and the address did not refuse one. */
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

/** When the evidence behind a sign was requested or seen, and when the endpoint was last heard from. */
export interface SignEvidenceTimes {
  /** Monotonic time at which the state probe behind the sign began. For a proof, the time at which the proof was seen. */
  readonly askedAt: Milliseconds
  /** Monotonic time at which anything last arrived from the endpoint. */
  readonly heardAt: Milliseconds
}

/** What becomes of an exchange's request and caller if the exchange is terminated. */
type ExchangeClass =
  /** "Retryable": the request is repeated or resumed at another endpoint. */
  | 'goes-on'
  /** "Final": the caller gets an error in place of an answer. */
  | 'refused'
  /** "Started": the answer that the caller has begun to receive stays incomplete. */
  | 'cut'

interface SignRule {
  /** The classes of exchanges that the sign terminates. */
  readonly terminates: readonly ExchangeClass[]
  /** Whether the sign proves the termination, so that data received since `askedAt` does not cancel the sign. */
  readonly isProof: boolean
  /** Whether the sign makes this instance probe the endpoint's state. */
  readonly requiresProbe: boolean
}

/** Time within which an engine usually answers a state probe. A probe that is held for longer gives the sign `silent`. */
export const PROBE_TIMEOUT_MILLISECONDS: Milliseconds = 200
/** Time within which even a slow engine answers a state probe. A probe held for longer can give the sign `still-silent`. */
export const LONG_PROBE_TIMEOUT_MILLISECONDS: Milliseconds = 500
/** Number of probes of an unlisted endpoint after which a newest probe without a connection gives the sign `cut-off`. */
const UNCONNECTED_PROBES = 2
/**
 * Number of probes that must have been made for the sign `still-silent` if `away` did not trigger them. After `away` one
 * probe is enough, since the crash detector, here or at another instance, has already probed twice.
 */
const PROBES_WITHOUT_GOSSIP = 2
/**
 * Time from the termination of an engine to the arrival of gossip about the termination. The sender's crash detector makes
 * two liveness probes first, about 25 ms apart. Each is held for up to 100 ms, less than the state probes of this module.
 * The rest is for the transmission.
 */
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

/**
 * Whether a sign makes this instance probe the endpoint's state. No probe is made if every exchange in flight there is
 * "started", since no probe result could terminate those.
 */
export function requiresStateProbe(
  sign: TerminationSign,
  exchanges: readonly InFlightState[],
): boolean {
  return (
    SIGN_RULES[sign].requiresProbe &&
    exchanges.some(exchange => exchangeClassOf(exchange) !== 'cut')
  )
}

/**
 * Whether a sign terminates an exchange. A sign that is no proof terminates nothing if anything arrived after
 * `times.askedAt`, either in the exchange or from its endpoint.
 */
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
 * Returns the sign that follows from the probes which one sign (`trigger`) has caused, or undefined if none follows yet.
 * `probes` holds their results, the newest last. `elapsed` is the time since the newest probe was sent, in milliseconds.
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

/** Whether one more probe follows those that `trigger` has caused so far. `probes` holds their results, the newest last. */
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

/** Returns how many probes must have been made before exchanges whose requests may run only once are terminated. */
function requiredProbes(trigger: TerminationSign): number {
  return trigger === 'away' ? 1 : PROBES_WITHOUT_GOSSIP
}

/**
 * Whether an exchange may have been at its endpoint when the endpoint crashed. An exchange that was sent later reached
 * only the front, and cannot have caused the crash. `brokenAt` is when this instance saw the endpoint's first reset, or
 * undefined if this instance saw none. `knownAt` is when the termination became known, and is used only in the latter case.
 */
export function wasInFlightAtCrash(
  { sentAt }: Pick<InFlightState, 'sentAt'>,
  known: { readonly brokenAt: Milliseconds | undefined; readonly knownAt: Milliseconds },
): boolean {
  return sentAt <= (known.brokenAt ?? known.knownAt - GOSSIP_DELAY_MILLISECONDS)
}
