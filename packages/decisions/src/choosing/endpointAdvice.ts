/**
 * Parses what an endpoint says of itself in the header fields of an answer (its advice). Three
 * statements affect what the endpoint is sent next: the rate that it accepts from the whole fleet,
 * that it is leaving, and the backoff (Retry-After, called rest in this code) for which an instance
 * whose request it rejected should send it nothing.
 *
 * Load pattern: an overloaded endpoint goes on answering and states only in its answers what it can
 * take. No row contains these statements, and while the store is out of reach rows do not change at
 * all. Without the advice, instances would go on sending an endpoint more than it can take.
 *
 * Inputs: the text of the header fields, the wall-clock time in Unix milliseconds, and the longest
 * backoff that the operator allows, in milliseconds. Results are requests a second and
 * milliseconds.
 *
 * Limits: text that is not a rate, a time, a yes or a no is reported as a fault and changes nothing
 * that was known: a rate that was stated before stays in force. The backoff is bounded, and so is
 * the interval between requests that a rate implies: an endpoint must not exclude itself from the
 * whole fleet's requests for longer than its operator allows.
 */

import type { EndpointStart, Milliseconds } from '@rackwalk/shared'

/** A rate as the text of a header field. */
interface RateHeader {
  /** A number of requests, or several with commas between them. */
  readonly text: string
  /** Length of the window to which the number of requests applies, in seconds. */
  readonly windowSeconds: number
}

/** Header fields of an answer, mapped from the names that a platform gives them. */
export interface AdviceHeaders {
  /** All rates for requests of the whole fleet; empty where the answer states none. */
  readonly rates: readonly RateHeader[]
  /** Whether the endpoint is leaving, as the text of a yes or no. */
  readonly leaving: string | undefined
  /** The backoff (Retry-After) in seconds, or a date; only where the answer rejects the request. */
  readonly rest: string | undefined
}

/** The rate that an answer states in requests a second; `none` where it states no rate. */
type AdvertisedRate = number | 'none' | 'unreadable'

/** Header fields whose text cannot be parsed. */
type UnreadableField = 'rate' | 'leaving' | 'rest'

/** What one answer says of its endpoint. */
export interface EndpointAdvice {
  readonly rate: AdvertisedRate
  readonly isLeaving: boolean
  /** The backoff: how long to send nothing to the endpoint; undefined where it asks for none. */
  readonly restMilliseconds: Milliseconds | undefined
  readonly faults: readonly UnreadableField[]
}

/**
 * Advice of one run (start) of an endpoint, as an instance that got the answer sends it to the
 * others.
 */
export interface AdviceGossip {
  readonly start: EndpointStart
  /** Requests a second that the endpoint accepts; absent where it no longer states a rate. */
  readonly requestsPerSecond?: number
  /** Whether the endpoint said that it is leaving, which holds until this run ends. */
  readonly isLeaving?: boolean
  /** Time since the answer that contained the advice. */
  readonly ageMilliseconds: Milliseconds
}

/** Values that are needed to interpret the header fields. */
export interface AdviceContext {
  /** Present time in Unix milliseconds, with which a date is compared. */
  readonly wallTime: Milliseconds
  /** Longest time for which an endpoint may ask to be sent nothing. */
  readonly longestRestMilliseconds: Milliseconds
}

/** An answer without advice. */
export const NO_ADVICE_HEADERS: AdviceHeaders = { rates: [], leaving: undefined, rest: undefined }

const SECOND_MILLISECONDS: Milliseconds = 1_000
/** Longest text that is parsed as a number; no sensible number is longer. */
const MAXIMUM_TEXT_LENGTH = 64
const DECIMAL_PATTERN = /^\d+(?:\.\d+)?$/
/** `Sun, 06 Nov 1994 08:49:37 GMT`: the only form of an HTTP date that a sender may use. */
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
 * Returns the lowest of several rates: a field that contains several numbers may mean any of them.
 * One unreadable number makes the whole rate unreadable.
 */
function readRates(rates: readonly RateHeader[], context: AdviceContext): AdvertisedRate {
  if (rates.length === 0) return 'none'
  const read = rates.flatMap(({ text, windowSeconds }) =>
    text.split(',').map(part => (readDecimal(part.trim()) ?? Number.NaN) / windowSeconds),
  )
  const strictest = Math.min(...read)
  if (!Number.isFinite(strictest)) return 'unreadable'
  // At a lower rate, such as 0, no request would be sent for longer than the longest backoff, so no
  // instance would learn that the endpoint accepts more again.
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

/** Returns a time in Unix milliseconds; NaN where the text is not a date. */
function readDate(text: string): Milliseconds {
  return DATE_PATTERN.test(text) ? Date.parse(text) : Number.NaN
}

/** Returns the advice as text for log lines; undefined where the answer contained none. */
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
