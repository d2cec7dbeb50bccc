import { NotRunError, RESULT_TABLE, ResultCode, asId } from '@rackwalk/shared'
import type { EndpointId } from '@rackwalk/shared'
import { describe, expect, it } from 'vitest'
import { errorHeaders } from '@rackwalk/router'
import type { AttemptResult } from '../src/engine/attemptResult.js'
import { dispatchFailure } from '../src/filters/dispatchFailure.js'
import type { UnansweredRequest } from '../src/filters/dispatchFailure.js'

/** The error of a request that no endpoint answered. */

const RESTING = new NotRunError(ResultCode.EndpointsResting, undefined, 4.5)
const REST = { 'retry-after': '6' }
const UNSENT: AttemptResult = { kind: 'unsent', reason: 'ECONNREFUSED' }
const RESET: AttemptResult = { kind: 'failed', reason: 'ECONNRESET', stalled: false }
const STALLED: AttemptResult = { kind: 'failed', reason: 'silence', stalled: true }

function answering(status: number, headers: Readonly<Record<string, string>> = {}): AttemptResult {
  const nothing = () => undefined
  const answer = {
    endpointId: asId<EndpointId>('engine-0'),
    status,
    headers,
    framing: 'length',
    end: 'complete',
    isComplete: true,
    isDelimited: true,
    startReading: nothing,
    resume: nothing,
    cancel: nothing,
    releaseBuffer: nothing,
  } as const
  return { kind: 'answering', answer }
}

const RESULTS: Readonly<Record<string, readonly AttemptResult[]>> = {
  'no connection': [UNSENT],
  '429': [answering(429)],
  '503 that asks for rest': [answering(503, REST)],
  '503 that says it leaves': [answering(503, { 'x-endpoint-state': 'leaving' })],
  '503 alone': [answering(503)],
  '429, no connection, 503 that asks for rest': [answering(429), UNSENT, answering(503, REST)],
  'reset, 503 that asks for rest': [RESET, answering(503, REST)],
  '503 that asks for rest, silence': [answering(503, REST), STALLED],
}

function summaryOf(
  results: readonly AttemptResult[],
  more: Partial<UnansweredRequest> = {},
): string {
  const error = dispatchFailure({
    results,
    isCallerGone: false,
    isLate: false,
    isRepeatable: true,
    refusal: undefined,
    ...more,
  })
  const { httpStatus, execution } = RESULT_TABLE[error.code]
  const retryAfter = errorHeaders(error)['retry-after'] ?? 'no time'
  return `${httpStatus} ${error.code} ${execution}, ${retryAfter}`
}

function table(more: Partial<UnansweredRequest> = {}): readonly string[] {
  return Object.entries(RESULTS).map(([name, results]) => `${name} | ${summaryOf(results, more)}`)
}

describe('what a caller is told whose request no endpoint answered', () => {
  it('follows from its attempts where an endpoint may be asked', () => {
    expect(table()).toMatchInlineSnapshot(`
      [
        "429 | 503 3007 not-run, 1",
        "no connection | 503 3007 not-run, 1",
        "503 that asks for rest | 503 3007 not-run, 1",
        "503 that says it leaves | 503 3007 not-run, 1",
        "503 alone | 502 4001 unknown, no time",
        "429, no connection, 503 that asks for rest | 503 3007 not-run, 1",
        "reset, 503 that asks for rest | 502 4001 unknown, no time",
        "503 that asks for rest, silence | 504 4002 ran, no time",
      ]
    `)
  })

  it('has the time to come back at where all endpoints rest', () => {
    expect(table({ refusal: RESTING })).toMatchInlineSnapshot(`
      [
        "429 | 503 3016 not-run, 5",
        "no connection | 503 3016 not-run, 5",
        "503 that asks for rest | 503 3016 not-run, 5",
        "503 that says it leaves | 503 3016 not-run, 5",
        "503 alone | 502 4001 unknown, 5",
        "429, no connection, 503 that asks for rest | 503 3016 not-run, 5",
        "reset, 503 that asks for rest | 502 4001 unknown, 5",
        "503 that asks for rest, silence | 504 4002 ran, 5",
      ]
    `)
  })

  it('is no time to come back at where the caller left, its deadline passed, or it may not ask again', () => {
    const refusal = RESTING
    expect([
      summaryOf([RESET], { refusal, isCallerGone: true }),
      summaryOf([RESET], { refusal, isLate: true }),
      summaryOf([RESET], { refusal, isRepeatable: false }),
    ]).toMatchInlineSnapshot(`
      [
        "499 4005 ran, no time",
        "504 4006 ran, no time",
        "409 4003 unknown, no time",
      ]
    `)
  })
})
