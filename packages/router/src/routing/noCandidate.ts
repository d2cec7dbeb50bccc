/** The error where no endpoint may get a request of the OpenAI-style kind, and when its caller should come back. */

import { refusedByAll } from '@rackwalk/decisions'
import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { RandomSource } from '@rackwalk/shared'
import type { Call } from '../filters/stages.js'
import type { EndpointTable } from './endpointTable.js'

/** What the error is made from. */
export interface NoCandidateParts {
  readonly endpoints: EndpointTable
  readonly random: RandomSource
}

/** By what the endpoints said of themselves, or else that there is none. */
export function noCandidateError(
  { endpoints, random }: NoCandidateParts,
  { call, target }: { readonly call: Call; readonly target: string },
): NotRunError {
  const refusal =
    call.kind === 'chat'
      ? endpoints.modelRefusal(call.chat.modelId)
      : endpoints.serviceRefusal(call.service)
  if (refusal === undefined) return new NotRunError(ResultCode.NoEndpoint)
  return refusedByAll(target, refusal, random.next())
}
