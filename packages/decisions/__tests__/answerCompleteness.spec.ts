import { describe, expect, it } from 'vitest'
import {
  answerDisposition,
  answerFraming,
  declaresForbiddenBody,
  isBodyMissing,
  isEndpointFailure,
  isProvenComplete,
  retryStep,
} from '@rackwalk/decisions'
import type { AnswerEnd, AnswerDisposition, AnswerFraming } from '@rackwalk/decisions'

/**
 * A truncated answer that is framed as complete looks whole to its caller. These tests check what becomes of an answer,
 * by its framing, by how it ended and by what its route allows.
 */

const FRAMINGS: readonly AnswerFraming[] = ['length', 'chunks', 'connection', 'bodiless']
const ENDS: readonly AnswerEnd[] = [
  'complete',
  'closed',
  'reset',
  'silence',
  'endpoint-ended',
  'aborted',
  'deadline',
  'caller-left',
  'instance-stopped',
  'settings-replaced',
]
const ONCE = { isIdempotent: false, isStreaming: false, isResumable: false }
const ROUTES = {
  'stream that may be resumed': { ...ONCE, isStreaming: true, isResumable: true },
  'stream that may not': { ...ONCE, isStreaming: true },
  'other that may run twice': { ...ONCE, isIdempotent: true },
  'other that may not': ONCE,
}

type RouteName = keyof typeof ROUTES

const ROWS = FRAMINGS.flatMap(framing => ENDS.map(end => ({ framing, end })))
const ROUTE_NAMES = Object.keys(ROUTES) as RouteName[]

function dispositionOf(
  row: { framing: AnswerFraming; end: AnswerEnd },
  name: RouteName,
  isReplyStarted: boolean,
  isBodyTruncated = false,
): AnswerDisposition {
  return answerDisposition({ ...row, isBodyTruncated }, { route: ROUTES[name], isReplyStarted })
}

describe('what becomes of an answer', () => {
  it.each([
    ['before the caller has anything', false],
    ['when the caller has its head', true],
  ])('%s', (_, isReplyStarted) => {
    const table = ROWS.map(row => {
      const dispositions = ROUTE_NAMES.map(name => dispositionOf(row, name, isReplyStarted))
      return `${row.framing}, ${row.end} | ${dispositions.join(' | ')}`
    })
    expect([`framing, end | ${ROUTE_NAMES.join(' | ')}`, ...table]).toMatchSnapshot()
  })

  it('is never framed as complete while its body is truncated', () => {
    for (const row of ROWS) {
      expect(isProvenComplete({ ...row, isBodyTruncated: true })).toBe(false)
      for (const name of ROUTE_NAMES) expect(dispositionOf(row, name, true, true)).not.toBe('whole')
    }
  })

  it('lacks its body only if a success that has content ends with its connection right after its head', () => {
    const statuses = [200, 201, 202, 203, 204, 205, 206, 301, 304, 400, 404, 500, 503]
    const lacking = FRAMINGS.flatMap(framing =>
      statuses
        .filter(status => isBodyMissing(framing, { status, hasBody: false }))
        .map(status => `${framing} ${status}`),
    )
    expect(lacking).toEqual(['connection 200', 'connection 203', 'connection 206'])
    for (const framing of FRAMINGS) {
      expect(statuses.some(status => isBodyMissing(framing, { status, hasBody: true }))).toBe(false)
    }
  })

  it('counts as a failure of its endpoint only if the endpoint or the connection to it ended it', () => {
    const failures = ENDS.filter(end =>
      isEndpointFailure({ framing: 'chunks', end, isBodyTruncated: true }),
    )
    expect(failures).toEqual(['complete', 'closed', 'reset', 'silence', 'endpoint-ended'])
  })

  it('is repeated or resumed elsewhere only if the retry rule tries another endpoint', () => {
    for (const row of ROWS) {
      for (const name of ROUTE_NAMES) {
        for (const isReplyStarted of [false, true]) {
          const step = retryStep({
            route: { ...ROUTES[name], maximumAttempts: 2 },
            history: [{ kind: 'broke-off', events: 1 }],
            isReplyStarted,
            isAbandoned: false,
            hasUntriedEndpoint: true,
            takeRetry: () => true,
          })
          const asked = ['continued', 'repeated'].includes(dispositionOf(row, name, isReplyStarted))
          if (asked) expect(step).toBe('try-another')
        }
      }
    }
  })
})

describe('the framing of an answer', () => {
  const HEAD = {
    method: 'GET',
    status: 200,
    transferEncoding: undefined,
    contentLength: undefined,
  }

  it.each([
    ['a length', { contentLength: '12' }],
    ['chunks', { transferEncoding: 'chunked' }],
    ['a coding, then chunks', { transferEncoding: 'gzip, Chunked' }],
    ['chunks and a length', { transferEncoding: 'chunked', contentLength: '12' }],
    ['a coding that is not chunked', { transferEncoding: 'identity' }],
    ['chunks below another coding', { transferEncoding: 'chunked, gzip' }],
    ['neither', {}],
    ['no content', { status: 204 }],
    ['nothing modified, with a length', { status: 304, contentLength: '12' }],
    ['the head alone', { method: 'HEAD', contentLength: '12' }],
  ])('with %s', (_, more) => {
    expect(answerFraming({ ...HEAD, ...more })).toMatchSnapshot()
  })

  it.each([
    ['a 204 without a length', { status: 204 }, false],
    ['a 204 with the length 0', { status: 204, contentLength: '0' }, false],
    ['a 204 with a length', { status: 204, contentLength: '12' }, true],
    ['a 204 in chunks', { status: 204, transferEncoding: 'chunked' }, true],
    ['a 304 with a length', { status: 304, contentLength: '12' }, false],
    ['a 200 with a length', { contentLength: '12' }, false],
  ])('of %s may declare a body that cannot be there', (_, more, isDeclared) => {
    expect(declaresForbiddenBody({ ...HEAD, ...more })).toBe(isDeclared)
  })
})
