/**
 * Creates the error for a request of the OpenAI-style kind that may be sent to no endpoint. If the
 * endpoints' own advice (such as Retry-After) is the reason, the error tells the caller when to
 * retry.
 */

import { allRefusedError } from '@rackwalk/decisions'
import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { RandomSource } from '@rackwalk/shared'
import type { Call } from '../filters/stages.js'
import type { EndpointTable } from './endpointTable.js'

/** Dependencies of the error. */
export interface NoCandidateParts {
  readonly endpoints: EndpointTable
  readonly random: RandomSource
}

/** A request that may be sent to no endpoint. */
interface UnroutableRequest {
  readonly call: Call
  readonly target: string
}

/**
 * Returns the refusal that the endpoints' advice gives, or the `NoEndpoint` error if advice refuses
 * none of the usable endpoints.
 */
export function noCandidateError(parts: NoCandidateParts, request: UnroutableRequest): NotRunError {
  return refusalByAdvice(parts, request) ?? new NotRunError(ResultCode.NoEndpoint)
}

/**
 * Returns the refusal with the shortest wait that the endpoints' advice gives; undefined if advice
 * refuses none of the usable endpoints.
 */
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
