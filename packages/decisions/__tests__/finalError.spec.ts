import { describe, expect, it } from 'vitest'
import { finalError } from '@rackwalk/decisions'
import type { AttemptOutcome, NoEndpointReason } from '@rackwalk/decisions'
import { RESULT_TABLE, ResultCode } from '@rackwalk/shared'

/**
 * The error of a request without a complete answer. A wrong "not run" would let the caller send a request again that
 * must run only once.
 */

const NO_CONNECTION: AttemptOutcome = { kind: 'connect-failed', reason: 'ECONNREFUSED' }
const REFUSED: AttemptOutcome = { kind: 'refused', status: 503 }
const FAILED: AttemptOutcome = { kind: 'failed', reason: 'ECONNRESET' }
const UNSIGNED: AttemptOutcome = { kind: 'not-trusted', problem: 'unsigned answer' }
const BROKE_OFF: AttemptOutcome = { kind: 'broke-off', events: 2 }
const UNMARKED_503: AttemptOutcome = { kind: 'answered', status: 503 }

const HISTORIES: Readonly<Record<string, readonly AttemptOutcome[]>> = {
  'no attempt': [],
  'no connection': [NO_CONNECTION],
  refused: [REFUSED],
  'refused, no connection': [REFUSED, NO_CONNECTION],
  'no connection, refused': [NO_CONNECTION, REFUSED],
  failed: [FAILED],
  'failed, refused': [FAILED, REFUSED],
  unsigned: [UNSIGNED],
  'failed, broke off': [FAILED, BROKE_OFF],
  'a 503 that no refusal marks': [UNMARKED_503],
}

function errorText(
  history: readonly AttemptOutcome[],
  more: {
    isCallerGone?: boolean
    isDeadlinePassed?: boolean
    noEndpointReason?: NoEndpointReason
  } = {},
): string {
  const error = finalError({
    service: 'models',
    history,
    isCallerGone: false,
    isDeadlinePassed: false,
    noEndpointReason: undefined,
    ...more,
  })
  return `${error.code} ${RESULT_TABLE[error.code].execution}: ${error.message}`
}

describe('the error of a request without a whole answer', () => {
  it('follows from its attempts', () => {
    const table = Object.entries(HISTORIES).map(
      ([name, history]) => `${name} | ${errorText(history)}`,
    )
    expect(table).toMatchSnapshot()
  })

  it.each([
    ['there is no connection to another endpoint', [NO_CONNECTION]],
    ['another endpoint refuses', [REFUSED]],
    ['no other endpoint has room', []],
  ])('never says "not run" of one that an endpoint ran and failed, where %s', (_, rest) => {
    const history: readonly AttemptOutcome[] = [{ kind: 'answered', status: 500 }, ...rest]
    expect(errorText(history)).toBe('4007 ran: the endpoint answered with an error: status 500')
  })

  it('says where the deadline passed', () => {
    const table = Object.entries(HISTORIES).map(
      ([name, history]) => `${name} | ${errorText(history, { isDeadlinePassed: true })}`,
    )
    expect(table).toMatchSnapshot()
  })

  it('says that nobody could be asked, or that the caller left', () => {
    expect([
      errorText([], { noEndpointReason: { kind: 'none-listed' } }),
      errorText([], { noEndpointReason: { kind: 'none-with-room' } }),
      errorText([FAILED], { isCallerGone: true, isDeadlinePassed: true }),
    ]).toMatchSnapshot()
  })

  it('says when the first endpoint is warm where all that are free warm up', () => {
    const error = finalError({
      service: 'model',
      history: [],
      isCallerGone: false,
      isDeadlinePassed: false,
      noEndpointReason: {
        kind: 'none-permitted',
        refusal: { kind: 'cold', waitMilliseconds: 1_700 },
        chance: 0,
      },
    })
    expect(error).toMatchObject({ code: ResultCode.WarmingUp, retryAfterSeconds: 1.7 })
  })
})
