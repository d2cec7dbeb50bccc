/** What names a stream for all instances: the try of its caller that brought the first event. */

import { hash } from 'node:crypto'
import { asId } from '@rackwalk/shared'
import type { StreamKey } from '@rackwalk/shared'

/** 96 bits: nobody finds a try for somebody else's key. */
const KEY_CHARACTERS = 16

/** The key of a stream; a team's tries say nothing of another team's. */
export function streamKey(team: string | undefined, firstRequestId: string): StreamKey {
  const text = `${team ?? ''}\n${firstRequestId}`
  return asId(hash('sha256', text, 'base64url').slice(0, KEY_CHARACTERS))
}
