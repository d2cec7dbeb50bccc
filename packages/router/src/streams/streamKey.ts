/** Identifies a stream across instances by the caller's try that brought the first event. */

import { hash } from 'node:crypto'
import { asId } from '@rackwalk/shared'
import type { StreamKey } from '@rackwalk/shared'

/** 16 base64url characters are 96 bits, so nobody can find a try that collides with somebody else's key. */
const KEY_CHARACTERS = 16

/**
 * Returns the key of a stream. It includes the team, so that the tries of one team reveal nothing about those
 * of another.
 */
export function streamKey(team: string | undefined, firstRequestId: string): StreamKey {
  const text = `${team ?? ''}\n${firstRequestId}`
  return asId(hash('sha256', text, 'base64url').slice(0, KEY_CHARACTERS))
}
