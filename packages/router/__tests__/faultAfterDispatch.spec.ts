import { expect, it } from 'vitest'
import { DispatchedError, NotRunError, ResultCode, VirtualClock, asId } from '@rackwalk/shared'
import type { IncarnationId, RequestId } from '@rackwalk/shared'
import { RequestPipeline } from '@rackwalk/router'
import type { DecisionRecord } from '@rackwalk/router'

/**
 * Guards against a key that may run a second time: a fault of the program after an endpoint ran the request released its
 * claim, as if the request had not run.
 */

type Stage = 'dispatch' | 'delivery'

/** Serves one request whose filter of a stage throws. Returns what became of its claim. */
async function serveWith(stage: Stage, thrown: unknown) {
  const ends: { isClaimReleased: boolean; journalled: ResultCode[]; code?: ResultCode } = {
    isClaimReleased: false,
    journalled: [],
  }
  const pass = { apply: async (request: object) => request }
  const throws = {
    apply: async () => {
      throw thrown
    },
  }
  const claim = {
    apply: async (request: { scope: { onRefused(undo: () => void): void } }) => {
      request.scope.onRefused(() => (ends.isClaimReleased = true))
      return request
    },
  }
  const settle = {
    ...pass,
    noteFailure: (_request: object, code: ResultCode) => ends.journalled.push(code),
  }
  const filters = {
    authenticate: pass,
    parse: pass,
    screen: pass,
    deduplicate: pass,
    admit: pass,
    reserve: pass,
    claim,
    route: pass,
    dispatch: pass,
    delivery: pass,
    settle,
    complete: pass,
    [stage]: throws,
  }
  const pipeline = new RequestPipeline(filters as never, {
    incarnation: asId<IncarnationId>('instance-1/1'),
    clock: new VirtualClock(),
    createRequestId: () => asId<RequestId>('request-1'),
    onRecord: (record: DecisionRecord) => (ends.code = record.code),
    onFault: () => {},
    configurationRevision: () => 0,
    chatRelay: { canRelay: () => false } as never,
    isCutOff: () => false,
  })
  const caller = {
    disconnectSignal: new AbortController().signal,
    hasSentHead: true,
    destroy: () => {},
  }
  await pipeline.serve({ caller } as never)
  return ends
}

it.each<Stage>(['dispatch', 'delivery'])('a fault in %s keeps the claim', async stage => {
  const { isClaimReleased, journalled, code } = await serveWith(stage, new TypeError('a fault'))
  expect(isClaimReleased).toBe(false)
  expect(journalled).toEqual([ResultCode.OutcomeUnknown])
  expect(code).toBe(ResultCode.Internal)
})

it('a request that may have run keeps its claim', async () => {
  const thrown = new DispatchedError(ResultCode.EndpointFailed)
  const { isClaimReleased, journalled } = await serveWith('dispatch', thrown)
  expect(isClaimReleased).toBe(false)
  expect(journalled).toEqual([ResultCode.EndpointFailed])
})

it('a request that was not run releases its claim', async () => {
  const thrown = new NotRunError(ResultCode.EndpointRefused)
  const { isClaimReleased, journalled } = await serveWith('dispatch', thrown)
  expect(isClaimReleased).toBe(true)
  expect(journalled).toEqual([])
})
