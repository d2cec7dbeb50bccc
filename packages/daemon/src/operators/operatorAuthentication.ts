/** Authenticates operators. Settings hold hashes of tokens, never the tokens. */

import type { IncomingMessage } from 'node:http'
import { RackwalkError, ResultCode } from '@rackwalk/shared'
import { hashApiKey } from '@rackwalk/router'
import type { Settings } from '../settings/schema.js'

const BEARER = /^Bearer +(\S+)$/i

/** Returns the name of the operator whose token a request carries; throws if no operator has that token. */
export function authenticateOperator(
  request: IncomingMessage,
  operators: Settings['operators'],
): string {
  const token = BEARER.exec(request.headers.authorization ?? '')?.[1]
  const hash = token === undefined ? undefined : hashApiKey(token)
  const operator = operators.find(({ tokenHash }) => tokenHash === hash)
  if (operator === undefined) throw new RackwalkError(ResultCode.OperatorUnauthorized)
  return operator.name
}
