/**
 * The error for a request of the OpenAI-style kind that no endpoint may get, with its retry time.
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

/** A request for which there is no endpoint. */
interface UnroutableRequest {
  readonly call: Call
  readonly target: string
}

/**
 * Returns the refusal that the endpoints' advice gives; without one, the error that no endpoint
 * exists.
 */
export function noCandidateError(parts: NoCandidateParts, request: UnroutableRequest): NotRunError {
  return refusalByAdvice(parts, request) ?? new NotRunError(ResultCode.NoEndpoint)
}

/**
 * Returns the refusal that the endpoints' advice gives; undefined if no advice forbids the request.
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
