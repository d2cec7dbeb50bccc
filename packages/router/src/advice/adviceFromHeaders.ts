/**
 * What engines behind published protocols say of themselves in the head of an answer: the `RateLimit` fields of the IETF
 * draft (draft-ietf-httpapi-ratelimit-headers) and those that came before them, `x-ratelimit-*-requests` as OpenAI's
 * API has them, `Retry-After` (RFC 9110), and the state that this project's engines tell. Translates names and windows;
 * what the texts mean is read in one place for all kinds (decisions/choosing/endpointAdvice).
 */

import { parseList } from 'structured-headers'
import type { Parameters } from 'structured-headers'
import type { AdviceHeaders } from '@rackwalk/decisions'

type Headers = Readonly<Record<string, string>>
type RateTexts = AdviceHeaders['rates']

const RETRY_AFTER = 'retry-after'
/** Requests a minute, and what is left of them until a time that is given as `1m30s`. */
const MINUTE_LIMIT = 'x-ratelimit-limit-requests'
const MINUTE_REMAINING = 'x-ratelimit-remaining-requests'
const MINUTE_RESET = 'x-ratelimit-reset-requests'
/** `"burst";q=100;w=60`: so many requests in so many seconds. */
const POLICY = 'ratelimit-policy'
/** `"burst";r=0;t=30`: so many are left for so many seconds. */
const STATE = 'ratelimit'
/** Before the draft had one field for each: the limit with the window of its policy. */
const EARLIER_REMAINING = 'ratelimit-remaining'
const EARLIER_RESET = 'ratelimit-reset'
const LEAVING = 'x-endpoint-state'

const MINUTE_SECONDS = 60
const TOO_MANY_STATUS = 429
const UNAVAILABLE_STATUS = 503
/** With one of these an endpoint turns a request away. */
const REJECTION_STATUSES = new Set([TOO_MANY_STATUS, UNAVAILABLE_STATUS])
/** Hours, minutes, seconds and milliseconds, each at most once. */
const DURATION_PATTERN = /^(?:(\d+)h)?(?:(\d+)m(?!s))?(?:(\d+(?:\.\d+)?)s)?(?:(\d+)ms)?$/
const NOTHING_LEFT = '0'
/** Text that no reader takes for a number or a date. */
const UNREADABLE = 'unreadable'

/** What an answer of the OpenAI-style kind says of its endpoint; header names in small letters. */
export function adviceFromHeaders(status: number, headers: Headers): AdviceHeaders {
  const asked = REJECTION_STATUSES.has(status) ? headers[RETRY_AFTER] : undefined
  return {
    rates: [...minuteRates(headers), ...policyRates(headers)],
    leaving: headers[LEAVING] === 'leaving' ? '1' : undefined,
    rest: asked ?? usedUpUntil(headers),
  }
}

/**
 * Whether an endpoint turned the request away, so that it was not run. A 429 says so by itself; a 503 only where the
 * endpoint says that it wants rest or leaves, since others come from what stands before an endpoint that has failed.
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
    // A quota of a day may be used in an hour, and one in another unit than requests bounds no rate.
    const isRate = windowSeconds > 0 && windowSeconds <= MINUTE_SECONDS && !policy.has('qu')
    return isRate ? [{ text: String(policy.get('q')), windowSeconds }] : []
  })
}

/** Seconds until requests are left again; undefined where some are. */
function usedUpUntil(headers: Headers): string | undefined {
  if (headers[MINUTE_REMAINING] === NOTHING_LEFT) return secondsOf(headers[MINUTE_RESET])
  if (headers[EARLIER_REMAINING] === NOTHING_LEFT) return headers[EARLIER_RESET]
  const states = parametersOf(headers[STATE] ?? '') ?? []
  const usedUp = states.filter(state => state.get('r') === 0).map(state => Number(state.get('t')))
  return usedUp.length === 0 ? undefined : String(Math.max(...usedUp))
}

/** Parameters of each item of a list; undefined where the text is no list. */
function parametersOf(text: string): readonly Parameters[] | undefined {
  try {
    return parseList(text).map(([, parameters]) => parameters)
  } catch {
    return undefined
  }
}

/** Undefined where there is no such text. */
function secondsOf(duration: string | undefined): string | undefined {
  if (duration === undefined) return undefined
  const parts = DURATION_PATTERN.exec(duration)
  if (parts === null || duration === '') return UNREADABLE
  const [hours = 0, minutes = 0, seconds = 0, milliseconds = 0] = parts
    .slice(1)
    .map(part => Number(part ?? 0))
  return String((hours * 60 + minutes) * MINUTE_SECONDS + seconds + milliseconds / 1_000)
}
