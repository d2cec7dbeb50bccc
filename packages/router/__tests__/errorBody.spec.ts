import { describe, expect, it } from 'vitest'
import { DispatchedError, NotRunError, RackwalkError, ResultCode, asId } from '@rackwalk/shared'
import type { RequestId } from '@rackwalk/shared'
import { errorBody, errorEvent, errorHeaders } from '@rackwalk/router'

/** Headers and bodies of each result code. Callers' programs depend on them. */

const REQUEST = asId<RequestId>('request-1')

function codes(): readonly ResultCode[] {
  return Object.values(ResultCode).filter((value): value is ResultCode => typeof value === 'number')
}

describe('errors as callers get them', () => {
  it.each(codes())('%i', code => {
    const error = new RackwalkError(code, 'detail')
    const sent = { headers: errorHeaders(error), body: JSON.stringify(errorBody(error)) }
    expect(sent).toMatchSnapshot()
  })

  it('name the request, when to come back and that an earlier attempt may have run', () => {
    const refusal = new NotRunError(ResultCode.BudgetUnavailable, undefined, 0.25)
    expect(errorHeaders(refusal, REQUEST)).toMatchSnapshot('headers')
    expect(JSON.stringify(errorBody(refusal, REQUEST, 'unknown'))).toMatchSnapshot('body')
  })

  it('end a stream that cannot be brought to its end', () => {
    const error = new DispatchedError(ResultCode.EndpointBrokeOff)
    expect(errorEvent(error, REQUEST).toString()).toMatchSnapshot()
  })
})
