import { describe, expect, it } from 'vitest'
import { retryStep, outcomeLabel, outcomeText } from '@rackwalk/decisions'
import type { AttemptOutcome } from '@rackwalk/decisions'

/**
 * The step after each outcome of an attempt, by what the route allows. A wrong step runs a request twice that must run only
 * once, or gives up a request that another endpoint could answer.
 */

const OUTCOMES: readonly AttemptOutcome[] = [
  { kind: 'connect-failed', reason: 'ECONNREFUSED' },
  { kind: 'refused', status: 503 },
  { kind: 'failed', reason: 'ECONNRESET' },
  { kind: 'not-trusted', problem: 'answer to another request' },
  { kind: 'not-trusted', problem: 'unsigned answer' },
  { kind: 'answered', status: 200 },
  { kind: 'answered', status: 404 },
  { kind: 'answered', status: 500 },
  { kind: 'answered', status: 503 },
  { kind: 'broke-off', events: 2 },
]

const ONCE = { isIdempotent: false, isStreaming: false, isResumable: false, maximumAttempts: 2 }
const ROUTES = {
  'runs once': ONCE,
  'may run twice': { ...ONCE, isIdempotent: true },
  'one attempt': { ...ONCE, isIdempotent: true, maximumAttempts: 1 },
  'resumable stream': { ...ONCE, isStreaming: true, isResumable: true },
}

const SITUATION = {
  route: ROUTES['may run twice'],
  isReplyStarted: false,
  isAbandoned: false,
  hasUntriedEndpoint: true,
  takeRetry: () => true,
}

function table(isReplyStarted: boolean): readonly string[] {
  return OUTCOMES.map(outcome => {
    const steps = Object.entries(ROUTES).map(([name, route]) => {
      const step = retryStep({ ...SITUATION, route, history: [outcome], isReplyStarted })
      return `${name}: ${step}`
    })
    return `${outcomeText(outcome)} | ${steps.join(', ')}`
  })
}

describe('the step after an attempt', () => {
  it('before the caller has anything', () => {
    expect(table(false)).toMatchSnapshot()
  })

  it('when the caller has the head of an answer', () => {
    expect(table(true)).toMatchSnapshot()
  })

  it.each([
    ['the caller has left', { isAbandoned: true }],
    ['all endpoints were asked', { hasUntriedEndpoint: false }],
    ['the fleet has no retry left', { takeRetry: () => false }],
  ])('is to give up a failed attempt where %s', (_, more) => {
    const history: readonly AttemptOutcome[] = [{ kind: 'failed', reason: 'closed' }]
    expect(retryStep({ ...SITUATION, history, ...more })).toBe('give-up')
  })

  it('costs no retry while no connection comes up, for three endpoints at most', () => {
    const failed: AttemptOutcome = { kind: 'connect-failed', reason: 'ECONNREFUSED' }
    const takeRetry = () => {
      throw new Error('asked for a retry')
    }
    const steps = [1, 2, 3].map(count =>
      retryStep({ ...SITUATION, takeRetry, history: Array(count).fill(failed) }),
    )
    expect(steps).toEqual(['try-another', 'try-another', 'give-up'])
  })

  it('asks for a retry only where everything else allows one', () => {
    const takeRetry = () => {
      throw new Error('asked for a retry')
    }
    const history: readonly AttemptOutcome[] = [{ kind: 'failed', reason: 'closed' }]
    const route = ROUTES['runs once']
    expect(retryStep({ ...SITUATION, history, route, takeRetry })).toBe('give-up')
  })
})

describe('an outcome', () => {
  it('has a text in the log and a label in the metrics', () => {
    const told = [undefined, ...OUTCOMES].map(
      outcome => `${outcomeText(outcome)} | ${outcomeLabel(outcome)}`,
    )
    expect(told).toMatchSnapshot()
  })
})
