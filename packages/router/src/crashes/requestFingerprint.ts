/** What makes two requests the same one, whatever their ids and whichever instance they came to. */

import { createHash } from 'node:crypto'
import { asId } from '@rackwalk/shared'
import type { RequestFingerprint } from '@rackwalk/shared'

/** What a fingerprint is taken of. */
export interface FingerprintedRequest {
  /** With its query. */
  readonly path: string
  /** Undefined where the route asks for no key. */
  readonly team: string | undefined
  readonly body: Buffer
}

/** 96 bits: nobody finds a second body for somebody else's fingerprint, and a hundred fit into a datagram. */
const FINGERPRINT_CHARACTERS = 16

/** The team is part of it: what one team sends never says anything of another one's request. */
export function requestFingerprint({ path, team, body }: FingerprintedRequest): RequestFingerprint {
  const hash = createHash('sha256')
  hash.update(`${path}\n${team ?? ''}\n`)
  hash.update(body)
  return asId(hash.digest('base64url').slice(0, FINGERPRINT_CHARACTERS))
}
