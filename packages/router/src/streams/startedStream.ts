/** Describes a stream for the origin cache when its first event is delivered. */

import { RESUMPTION_WINDOW_MILLISECONDS } from '@rackwalk/decisions'
import type { Milliseconds, SoftwareVersion } from '@rackwalk/shared'
import type { RequestMetadata } from '../gateway/dialect.js'
import { streamKey } from './streamKey.js'
import type { StartedStream } from './streamOriginCache.js'

/**
 * Added to the time for which a caller may resume a stream. The caller counts its deadline from its first
 * try, which it may have sent a little later than the gateway assumes.
 */
const SLACK_MILLISECONDS: Milliseconds = 1_000

/** The part of a request that the origin cache needs. */
interface StreamRequest {
  readonly metadata: Pick<RequestMetadata, 'requestId' | 'resumption' | 'deadlineMilliseconds'>
  readonly route: { readonly isResumable: boolean }
  readonly service: { readonly name: string }
  readonly team: string | undefined
}

/**
 * Returns the entry for the origin cache; undefined if the route allows no resumption, or if the request
 * resumes a stream without naming the try that began it.
 */
export function startedStreamOf(
  { metadata, route, service, team }: StreamRequest,
  softwareVersion: SoftwareVersion,
): StartedStream | undefined {
  const { requestId, resumption, deadlineMilliseconds = RESUMPTION_WINDOW_MILLISECONDS } = metadata
  const first = resumption === undefined ? requestId : resumption.firstRequestId
  if (!route.isResumable || first === undefined) return undefined
  return {
    key: streamKey(team, first),
    origin: { service: service.name, softwareVersion },
    lifetimeMilliseconds: deadlineMilliseconds + SLACK_MILLISECONDS,
  }
}
