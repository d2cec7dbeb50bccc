/** What makes two requests the same one, whatever their ids and whichever instance they came to. */

import { createHash, hash } from 'node:crypto'
import { SCOPE_PREFIX_LENGTH } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { RequestFingerprint } from '@rackwalk/shared'

/** What is known of a request without its body. */
export interface ScopedRequest {
  /** With its query. */
  readonly path: string
  /** Undefined where the route asks for no key. */
  readonly team: string | undefined
}

/** What a fingerprint is taken of. */
export interface FingerprintedRequest extends ScopedRequest {
  readonly body: Buffer
}

/** 96 bits: nobody finds a second body for somebody else's fingerprint. */
const DIGEST_CHARACTERS = 16

/** What all requests of a team to one path share: their fingerprints begin with it. */
export function requestScope({ path, team }: ScopedRequest): string {
  return hash('sha256', `${path}\n${team ?? ''}`, 'base64url').slice(0, SCOPE_PREFIX_LENGTH)
}

/** The team is part of it: what one team sends never says anything of another one's request. */
export function requestFingerprint({ path, team, body }: FingerprintedRequest): RequestFingerprint {
  const digest = createHash('sha256')
  digest.update(`${path}\n${team ?? ''}\n`)
  digest.update(body)
  const tail = digest.digest('base64url').slice(0, DIGEST_CHARACTERS)
  return asId(`${requestScope({ path, team })}${tail}`)
}
