/**
 * Identifies equal requests, whatever their ids and whichever instance received them, so that a request that
 * crashes endpoints is recognized when it is sent again.
 */

import { createHash, hash } from 'node:crypto'
import { SCOPE_PREFIX_LENGTH } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import type { RequestFingerprint } from '@rackwalk/shared'

/** The part of a request that is known without its body. */
export interface ScopedRequest {
  /** Includes the query. */
  readonly path: string
  /** Undefined if the route requires no key. */
  readonly team: string | undefined
}

/** The input of a fingerprint. */
export interface FingerprintedRequest extends ScopedRequest {
  readonly body: Buffer
}

/** 16 base64url characters are 96 bits, so nobody can find a second body with somebody else's fingerprint. */
const DIGEST_CHARACTERS = 16

/** Returns the prefix of the fingerprints of all requests of a team to one path. */
export function requestScope({ path, team }: ScopedRequest): string {
  return hash('sha256', `${path}\n${team ?? ''}`, 'base64url').slice(0, SCOPE_PREFIX_LENGTH)
}

/**
 * Returns the fingerprint of a request. It depends on the team, so that requests of one team never affect
 * those of another.
 */
export function requestFingerprint({ path, team, body }: FingerprintedRequest): RequestFingerprint {
  const digest = createHash('sha256')
  digest.update(`${path}\n${team ?? ''}\n`)
  digest.update(body)
  const tail = digest.digest('base64url').slice(0, DIGEST_CHARACTERS)
  return asId(`${requestScope({ path, team })}${tail}`)
}
