/**
 * Holds a new stream that may be resumed until some available endpoint's software version is recorded, or refuses it. An
 * instance that resumes a stream knows from the record at which versions it may have begun, so a stream that began at
 * another one could continue with the output of a different version. Owns nothing; the rule is in
 * decisions/retrying/streamResumption.
 */

import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { StreamOrigins } from '../streams/streamOrigins.js'
import type { EndpointDirectory } from './endpointDirectory.js'
import type { EndpointState } from './endpointState.js'
import type { GatewayRoute } from './gatewayConfiguration.js'

/** Dependencies of the wait. */
export interface StreamStartParts {
  readonly streams: StreamOrigins
  readonly directory: EndpointDirectory
}

/** A request that may begin a stream. */
export interface StartingRequest {
  readonly route: Pick<GatewayRoute, 'isResumable'>
  readonly service: { readonly name: string }
}

/** Number of changes of records that are awaited: some are those of other services. */
const MAXIMUM_CHANGES = 3

/**
 * Resolves when the request may be sent to some available endpoint, as far as recorded versions matter. Throws
 * `NotRunError` with `VersionUnrecorded` if no version of the available endpoints is recorded soon.
 */
export async function untilStreamCanBegin(
  { streams, directory }: StreamStartParts,
  { route, service }: StartingRequest,
): Promise<void> {
  if (!route.isResumable) return
  const canBegin = () => {
    const available = directory.available(service.name)
    return available.length === 0 || startableEndpoints(streams, available).length > 0
  }
  for (let changes = 0; !canBegin() && changes < MAXIMUM_CHANGES; changes += 1) {
    if (!(await streams.untilVersionsChange(service.name))) break
  }
  if (!canBegin()) throw new NotRunError(ResultCode.VersionUnrecorded, service.name)
}

/** Returns the endpoints at which a stream that may be resumed can begin. */
export function startableEndpoints(
  streams: StreamOrigins,
  endpoints: readonly EndpointState[],
): readonly EndpointState[] {
  return endpoints.filter(({ record }) => streams.canBegin(record))
}
