/**
 * Identifies the team of a request by its API key. An unknown key ends the request before its body
 * is read.
 */

import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { Catalogue } from '../resources/catalogue.js'
import type { AuthenticatedRequest, Filter, ReceivedRequest } from './stages.js'

const BEARER = /^Bearer +(\S+)$/i

/** Finds the team that owns the API key of the request. */
export class AuthenticateFilter implements Filter<ReceivedRequest, AuthenticatedRequest> {
  constructor(private readonly catalogue: Catalogue) {}

  async apply(request: ReceivedRequest): Promise<AuthenticatedRequest> {
    const key = BEARER.exec(request.incoming.headers.get('authorization') ?? '')?.[1]
    const team = key === undefined ? undefined : this.catalogue.findTeamByKey(key)
    if (team === undefined) throw new NotRunError(ResultCode.UnknownKey)
    request.record.teamId = team.teamId
    return { ...request, team }
  }
}
