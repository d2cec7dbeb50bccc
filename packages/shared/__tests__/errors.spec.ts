import { describe, expect, it } from 'vitest'
import {
  NotRunError,
  RESULT_TABLE,
  RackwalkError,
  ResultCode,
  toRackwalkError,
} from '@rackwalk/shared'

const { message } = RESULT_TABLE[ResultCode.Internal]

describe('a numbered error', () => {
  it('contains the message of its code, the detail and the cause', () => {
    const cause = new Error('100 %s of it broke')
    const error = new RackwalkError(ResultCode.Internal, '50 %d', cause)
    expect(error.message).toBe(`${message}: 50 %d: 100 %s of it broke`)
    expect(error.cause).toBe(cause)
    expect(String(error)).toBe(`RackwalkError: ${error.message}`)
    expect(error.stack).toMatch(/^RackwalkError: .*\n +at /)
  })

  it('has no stack trace without a cause, and leaves those of other errors', () => {
    const error = new NotRunError(ResultCode.MalformedRequest)
    expect(error.stack).toBe(`RackwalkError: ${error.message}`)
    expect(error).not.toHaveProperty('cause')
    expect(new Error('other').stack).toMatch(/\n +at /)
  })

  it('is created from any thrown value', () => {
    expect(toRackwalkError('text').message).toBe(`${message}: text`)
    const error = new RackwalkError(ResultCode.Internal)
    expect(toRackwalkError(error)).toBe(error)
  })
})
