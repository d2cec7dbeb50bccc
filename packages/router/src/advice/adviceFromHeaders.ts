/**
 * Reads advice (rate limits, a backoff, whether the endpoint leaves) from the head of an answer of an
 * engine with a published protocol: the `RateLimit` fields of the IETF draft
 * (draft-ietf-httpapi-ratelimit-headers) and their predecessors, `x-ratelimit-*-requests` as in OpenAI's
 * API, `Retry-After` (RFC 9110), and the state header of this project's engines. Translates names and
 * windows only; the values are parsed in one place for all dialects (decisions/choosing/endpointAdvice).
 */

import { parseList } from 'structured-headers'
import type { Parameters } from 'structured-headers'
import type { AdviceHeaders } from '@rackwalk/decisions'

type Headers = Readonly<Record<string, string>>
type RateTexts = AdviceHeaders['rates']

const RETRY_AFTER = 'retry-after'
/** Requests per minute, the number remaining, and the time until the reset, given as `1m30s`. */
const MINUTE_LIMIT = 'x-ratelimit-limit-requests'
const MINUTE_REMAINING = 'x-ratelimit-remaining-requests'
const MINUTE_RESET = 'x-ratelimit-reset-requests'
/** `"burst";q=100;w=60`: 100 requests in 60 seconds. */
const POLICY = 'ratelimit-policy'
/** `"burst";r=0;t=30`: 0 requests remain for 30 seconds. */
const STATE = 'ratelimit'
/** Fields of earlier versions of the draft, in which the limit carried the window of its policy. */
const EARLIER_REMAINING = 'ratelimit-remaining'
const EARLIER_RESET = 'ratelimit-reset'
const LEAVING = 'x-endpoint-state'

const MINUTE_SECONDS = 60
const TOO_MANY_STATUS = 429
const UNAVAILABLE_STATUS = 503
/** Statuses with which an endpoint may reject a request. */
const REJECTION_STATUSES = new Set([TOO_MANY_STATUS, UNAVAILABLE_STATUS])
/** Hours, minutes, seconds and milliseconds, each at most once. */
const DURATION_PATTERN = /^(?:(\d+)h)?(?:(\d+)m(?!s))?(?:(\d+(?:\.\d+)?)s)?(?:(\d+)ms)?$/
const NOTHING_LEFT = '0'
/** Text that parses neither as a number nor as a date, so that the parser reports a fault. */
const UNREADABLE = 'unreadable'

/**
 * Returns the unparsed advice of an OpenAI-style answer about its endpoint. Header names are in lower case.
 */
export function adviceFromHeaders(status: number, headers: Headers): AdviceHeaders {
  const retryAfter = REJECTION_STATUSES.has(status) ? headers[RETRY_AFTER] : undefined
  return {
    rates: [...minuteRates(headers), ...policyRates(headers)],
    leaving: headers[LEAVING] === 'leaving' ? '1' : undefined,
    rest: retryAfter ?? secondsUntilReset(headers),
  }
}

/**
 * Whether the endpoint rejected the request without running it. A 429 always means that. A 503 means it only
 * with a requested backoff or a leaving state, since other 503s come from a proxy in front of a failed
 * endpoint.
 */
export function isRejectedUnrun(status: number, headers: Headers): boolean {
  if (status === TOO_MANY_STATUS) return true
  if (status !== UNAVAILABLE_STATUS) return false
  const { rest, leaving } = adviceFromHeaders(status, headers)
  return rest !== undefined || leaving !== undefined
}

function minuteRates(headers: Headers): RateTexts {
  const text = headers[MINUTE_LIMIT]
  return text === undefined ? [] : [{ text, windowSeconds: MINUTE_SECONDS }]
}

function policyRates(headers: Headers): RateTexts {
  const text = headers[POLICY]
  if (text === undefined) return []
  const policies = parametersOf(text)
  if (policies === undefined) return [{ text: UNREADABLE, windowSeconds: 1 }]
  return policies.flatMap(policy => {
    const windowSeconds = Number(policy.get('w'))
    // Windows longer than a minute and units other than requests bound no rate: a daily quota may be used up
    // in an hour.
    const isRate = windowSeconds > 0 && windowSeconds <= MINUTE_SECONDS && !policy.has('qu')
    return isRate ? [{ text: String(policy.get('q')), windowSeconds }] : []
  })
}

/**
 * Returns the seconds until requests are available again; undefined if no header says that none are
 * available.
 */
function secondsUntilReset(headers: Headers): string | undefined {
  if (headers[MINUTE_REMAINING] === NOTHING_LEFT) return secondsOf(headers[MINUTE_RESET])
  if (headers[EARLIER_REMAINING] === NOTHING_LEFT) return headers[EARLIER_RESET]
  const states = parametersOf(headers[STATE] ?? '') ?? []
  const exhausted = states
    .filter(state => state.get('r') === 0)
    .map(state => Number(state.get('t')))
  return exhausted.length === 0 ? undefined : String(Math.max(...exhausted))
}

/** Returns the parameters of each list item; undefined if the text is no list. */
function parametersOf(text: string): readonly Parameters[] | undefined {
  try {
    return parseList(text).map(([, parameters]) => parameters)
  } catch {
    return undefined
  }
}

/**
 * Returns a duration such as `1m30s` in seconds; undefined if there is no text, `unreadable` for any other
 * text.
 */
function secondsOf(duration: string | undefined): string | undefined {
  if (duration === undefined) return undefined
  const parts = DURATION_PATTERN.exec(duration)
  if (parts === null || duration === '') return UNREADABLE
  const [hours = 0, minutes = 0, seconds = 0, milliseconds = 0] = parts
    .slice(1)
    .map(part => Number(part ?? 0))
  return String((hours * 60 + minutes) * MINUTE_SECONDS + seconds + milliseconds / 1_000)
}
