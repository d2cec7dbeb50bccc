/**
 * Reads what an endpoint says of itself in the header fields of an answer. Three statements affect
 * what it is sent next: the rate that it accepts from the whole fleet, that it is leaving, and for
 * how long an instance whose request it rejected should send it nothing (a rest).
 *
 * Load pattern: an overloaded endpoint goes on answering and says only there what it can take. No
 * row contains it, and while the store is out of reach rows do not change at all.
 *
 * Inputs: the text of the header fields, the wall-clock time in Unix milliseconds, and the longest
 * rest that the operator allows, in milliseconds. Results are requests a second and milliseconds.
 *
 * Limits: text that is not a rate, a time or a plain yes changes nothing that was known and is
 * reported as a fault. A rest is bounded, and so is the interval between requests that a rate
 * implies: an endpoint must not exclude the whole fleet for longer than its operator allows.
 */

import type { EndpointStart, Milliseconds } from '@rackwalk/shared'

/** A rate, as it stands in a header field. */
interface RateHeader {
  readonly text: string
  /** Length of the window to which the number of requests applies, in seconds. */
  readonly windowSeconds: number
}

/** Header fields of an answer, mapped from the names that a platform gives them. */
export interface AdviceHeaders {
  /** All rates for requests of the whole fleet; empty where the answer names none. */
  readonly rates: readonly RateHeader[]
  readonly leaving: string | undefined
  /** Seconds or a date; only where the answer rejects the request. */
  readonly rest: string | undefined
}

/** Requests a second that an answer names, or that it names none or an unreadable one. */
type AdvertisedRate = number | 'none' | 'unreadable'

/** Fields that cannot be read. */
type UnreadableField = 'rate' | 'leaving' | 'rest'

/** What one answer says of its endpoint. */
export interface EndpointAdvice {
  readonly rate: AdvertisedRate
  readonly isLeaving: boolean
  /** How long to send nothing to the endpoint; undefined where it asks for no rest. */
  readonly restMilliseconds: Milliseconds | undefined
  readonly faults: readonly UnreadableField[]
}

/** Advice of an endpoint's start, as instances gossip it. */
export interface AdviceGossip {
  readonly start: EndpointStart
  /** Requests a second that the endpoint accepts; absent where it no longer names a rate. */
  readonly requestsPerSecond?: number
  /** Whether the endpoint said that it is leaving, which holds until it ends. */
  readonly isLeaving?: boolean
  /** Time since the answer that said so. */
  readonly ageMilliseconds: Milliseconds
}

/** What is needed to interpret an answer. */
export interface AdviceContext {
  /** Unix milliseconds, to which a date is compared. */
  readonly wallTime: Milliseconds
  /** Longest time for which an endpoint may ask to be sent nothing. */
  readonly longestRestMilliseconds: Milliseconds
}

/** An answer without advice. */
export const NO_ADVICE_HEADERS: AdviceHeaders = { rates: [], leaving: undefined, rest: undefined }

const SECOND_MILLISECONDS: Milliseconds = 1_000
/** Longest text that is parsed; a number or a date is never longer. */
const MAXIMUM_TEXT_LENGTH = 64
const DECIMAL_PATTERN = /^\d+(?:\.\d+)?$/
/** `Sun, 06 Nov 1994 08:49:37 GMT`, the one form of a date that a sender may use. */
const DATE_PATTERN = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/
const YES = new Set(['1', 'true'])
const NO = new Set(['0', 'false'])

/** Parses what an answer says of its endpoint. */
export function parseAdvice(texts: AdviceHeaders, context: AdviceContext): EndpointAdvice {
  const rate = readRates(texts.rates, context)
  const isLeaving = readYesOrNo(texts.leaving)
  const rest = readRest(texts.rest, context)
  return {
    rate,
    isLeaving: isLeaving === true,
    restMilliseconds: rest === 'unreadable' || rest === 0 ? undefined : rest,
    faults: [
      ...(rate === 'unreadable' ? (['rate'] as const) : []),
      ...(isLeaving === 'unreadable' ? (['leaving'] as const) : []),
      ...(rest === 'unreadable' ? (['rest'] as const) : []),
    ],
  }
}

/**
 * Returns the strictest of several rates; a field that contains several at once may mean any of
 * them.
 */
function readRates(rates: readonly RateHeader[], context: AdviceContext): AdvertisedRate {
  if (rates.length === 0) return 'none'
  const read = rates.flatMap(({ text, windowSeconds }) =>
    text.split(',').map(part => (readDecimal(part.trim()) ?? Number.NaN) / windowSeconds),
  )
  const strictest = Math.min(...read)
  if (!Number.isFinite(strictest)) return 'unreadable'
  // A rate below this floor would mean that no request is ever sent, so no instance would learn
  // that the endpoint accepts more again.
  return Math.max(strictest, SECOND_MILLISECONDS / context.longestRestMilliseconds)
}

function readYesOrNo(text: string | undefined): boolean | 'unreadable' {
  const value = text?.trim()
  if (value === undefined || NO.has(value)) return false
  return YES.has(value) ? true : 'unreadable'
}

function readRest(
  text: string | undefined,
  { wallTime, longestRestMilliseconds }: AdviceContext,
): Milliseconds | 'unreadable' | undefined {
  if (text === undefined) return undefined
  const seconds = readDecimal(text.trim())
  const requested =
    seconds === undefined ? readDate(text.trim()) - wallTime : seconds * SECOND_MILLISECONDS
  if (Number.isNaN(requested)) return 'unreadable'
  return Math.min(longestRestMilliseconds, Math.max(0, requested))
}

function readDecimal(text: string): number | undefined {
  return text.length <= MAXIMUM_TEXT_LENGTH && DECIMAL_PATTERN.test(text) ? Number(text) : undefined
}

/** Returns NaN where the text is not a date. */
function readDate(text: string): Milliseconds {
  return DATE_PATTERN.test(text) ? Date.parse(text) : Number.NaN
}

/** Returns the advice as text for log lines; undefined where there is none. */
export function adviceText({
  rate,
  isLeaving,
  restMilliseconds,
  faults,
}: EndpointAdvice): string | undefined {
  const words = [
    ...(typeof rate === 'number' ? [`takes ${Number(rate.toPrecision(3))} a second`] : []),
    ...(isLeaving ? ['leaving'] : []),
    ...(restMilliseconds === undefined ? [] : [`rest of ${Math.round(restMilliseconds)} ms`]),
    ...faults.map(field => `unreadable ${field}`),
  ]
  return words.length === 0 ? undefined : words.join(', ')
}
