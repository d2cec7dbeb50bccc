/**
 * What does an endpoint say of itself in the head of an answer, beside the answer? Three things bear on what it is sent
 * next: a rate that it takes from the whole fleet, that it leaves, and that it wants rest from whom it turned away.
 *
 * Load pattern: an endpoint in need goes on answering, and says what it bears only there: no row tells it, and while
 * the store is away no row tells anything.
 *
 * Limits: text that is no rate, no time and no plain yes changes nothing that was known, and is told as a fault. What is
 * asked for is bounded: nobody may shut a fleet out of an endpoint for longer than its operator allows.
 */

import type { EndpointStart, Milliseconds } from '@rackwalk/shared'

/** A rate as it stands in a head. */
interface RateHeader {
  readonly text: string
  /** Seconds in which so many requests are taken. */
  readonly windowSeconds: number
}

/** What stands in the head of an answer, translated from the names that a platform gives it. */
export interface AdviceHeaders {
  /** All that bound the requests of the whole fleet; empty where none is named. */
  readonly rates: readonly RateHeader[]
  readonly leaving: string | undefined
  /** Only where the answer turns the request away: seconds, or a date. */
  readonly rest: string | undefined
}

/** A rate that an answer names: requests a second, that it names none, or that it can't be read. */
type AdvertisedRate = number | 'none' | 'unreadable'

/** Fields that can't be read. */
type UnreadableField = 'rate' | 'leaving' | 'rest'

/** What one answer says of its endpoint. */
export interface EndpointAdvice {
  readonly rate: AdvertisedRate
  readonly isLeaving: boolean
  /** Undefined where it asks for no rest. */
  readonly restMilliseconds: Milliseconds | undefined
  readonly faults: readonly UnreadableField[]
}

/** What instances tell each other of a start of an endpoint. */
export interface AdviceGossip {
  readonly start: EndpointStart
  /** Requests a second that it takes; absent where it names no rate any more. */
  readonly requestsPerSecond?: number
  /** Whether it said that it leaves, which holds until its end. */
  readonly isLeaving?: boolean
  /** Time since an answer said so. */
  readonly ageMilliseconds: Milliseconds
}

/** What an answer is read with. */
export interface AdviceContext {
  /** Unix milliseconds, against which a date counts. */
  readonly wallTime: Milliseconds
  /** No endpoint is left alone for longer than this by its own word. */
  readonly longestRestMilliseconds: Milliseconds
}

/** An answer that says nothing. */
export const NO_ADVICE_HEADERS: AdviceHeaders = { rates: [], leaving: undefined, rest: undefined }

const SECOND_MILLISECONDS: Milliseconds = 1_000
/** Longer text is no number and no date. */
const LONGEST_TEXT = 64
const DECIMAL_PATTERN = /^\d+(?:\.\d+)?$/
/** `Sun, 06 Nov 1994 08:49:37 GMT`, the one form of a date that a sender may use. */
const DATE_PATTERN = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} \d{2}:\d{2}:\d{2} GMT$/
const YES = new Set(['1', 'true'])
const NO = new Set(['0', 'false'])

/** Reads what an answer says of its endpoint. */
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

/** The strictest of several; a field that names several at once may mean any of them. */
function readRates(rates: readonly RateHeader[], context: AdviceContext): AdvertisedRate {
  if (rates.length === 0) return 'none'
  const read = rates.flatMap(({ text, windowSeconds }) =>
    text.split(',').map(part => (readDecimal(part.trim()) ?? Number.NaN) / windowSeconds),
  )
  const strictest = Math.min(...read)
  if (!Number.isFinite(strictest)) return 'unreadable'
  // Somebody has to ask again, or it never becomes known that the endpoint takes more.
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
  const wished =
    seconds === undefined ? readDate(text.trim()) - wallTime : seconds * SECOND_MILLISECONDS
  if (Number.isNaN(wished)) return 'unreadable'
  return Math.min(longestRestMilliseconds, Math.max(0, wished))
}

function readDecimal(text: string): number | undefined {
  return text.length <= LONGEST_TEXT && DECIMAL_PATTERN.test(text) ? Number(text) : undefined
}

/** Not a number where the text is no date. */
function readDate(text: string): Milliseconds {
  return DATE_PATTERN.test(text) ? Date.parse(text) : Number.NaN
}

/** The advice in words, for lines of the log; undefined where there is none. */
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
