/**
 * Finds the service and software version that began a stream which a caller resumes, or refuses the request
 * before tokens are reserved for it. Without it, a stream could mix the output of two versions. Owns nothing;
 * the rule is in decisions/retrying/streamResumption.
 */

import { toRetryAfterSeconds } from '@rackwalk/decisions'
import type { StreamOrigin } from '@rackwalk/decisions'
import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { Milliseconds } from '@rackwalk/shared'
import { streamKey } from '../streams/streamKey.js'
import type { StreamOrigins } from '../streams/streamOrigins.js'
import type { RequestMetadata } from './dialect.js'
import type { EndpointDirectory } from './endpointDirectory.js'
import type { GatewayRoute, GatewayTeam } from './gatewayConfiguration.js'
import type { GatewayRecord } from './gatewayRecord.js'

/** Dependencies of the search. */
export interface ResumedStreamParts {
  readonly streams: StreamOrigins
  readonly directory: EndpointDirectory
}

/** A request that may resume a stream. */
export interface ResumingRequest {
  readonly metadata: RequestMetadata
  readonly route: GatewayRoute
  readonly service: { readonly name: string }
  readonly team: GatewayTeam | undefined
  readonly record: GatewayRecord
}

/**
 * Returns the service and version at which the stream continues; undefined if the request resumes none or its
 * route allows no resumption. Throws if the origin is unknown, is no target of the route or has no available
 * endpoint.
 */
export async function findStreamOrigin(
  { streams, directory }: ResumedStreamParts,
  { metadata, route, service, team, record }: ResumingRequest,
): Promise<StreamOrigin | undefined> {
  const { resumption } = metadata
  if (resumption === undefined || !route.isResumable) return undefined
  const { firstRequestId } = resumption
  const key = firstRequestId === undefined ? undefined : streamKey(team?.name, firstRequestId)
  const found = await streams.find({ key, service: service.name })
  const { origin, source, evidence, delayMilliseconds } = found
  record.originSource = source
  record.originEvidence = evidence
  if (origin === undefined) throw unknownOrigin(source, delayMilliseconds)
  const isRouted = route.targets.some(target => target.service === origin.service)
  if (isRouted && hasEndpoint(directory, origin)) return origin
  const { softwareVersion } = origin
  throw new NotRunError(ResultCode.NoEndpointOfVersion, `${origin.service} ${softwareVersion}`)
}

/** The caller is told to come back when the stream may be resumed, if that is known. */
function unknownOrigin(source: string, delay: Milliseconds | undefined): NotRunError {
  if (delay === undefined) return new NotRunError(ResultCode.OriginUnknown, source)
  return new NotRunError(ResultCode.OriginUnknown, source, toRetryAfterSeconds(delay))
}

function hasEndpoint(
  directory: EndpointDirectory,
  { service, softwareVersion }: StreamOrigin,
): boolean {
  return directory
    .available(service)
    .some(({ record }) => record.softwareVersion === softwareVersion)
}
