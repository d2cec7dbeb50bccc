/** The error where no endpoint may get a request of the OpenAI-style kind, and when its caller should come back. */

import { allRefusedError } from '@rackwalk/decisions'
import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { RandomSource } from '@rackwalk/shared'
import type { Call } from '../filters/stages.js'
import type { EndpointTable } from './endpointTable.js'

/** What the error is made from. */
export interface NoCandidateParts {
  readonly endpoints: EndpointTable
  readonly random: RandomSource
}

/** A request that finds no endpoint. */
interface UnroutableRequest {
  readonly call: Call
  readonly target: string
}

/** By what the endpoints said of themselves, or else that there is none. */
export function noCandidateError(parts: NoCandidateParts, request: UnroutableRequest): NotRunError {
  return refusalByAdvice(parts, request) ?? new NotRunError(ResultCode.NoEndpoint)
}

/** By what the endpoints said of themselves; undefined where they said nothing that forbids the request. */
export function refusalByAdvice(
  { endpoints, random }: NoCandidateParts,
  { call, target }: UnroutableRequest,
): NotRunError | undefined {
  const refusal =
    call.kind === 'chat'
      ? endpoints.modelRefusal(call.chat.modelId)
      : endpoints.serviceRefusal(call.service)
  return refusal && allRefusedError(target, refusal, random.next())
}
