/** Identifies a prompt part across instances, whichever request contains it. */

import { hash } from 'node:crypto'
import { asId } from '@rackwalk/shared'
import type { PromptPartKey } from '@rackwalk/shared'

/** 16 base64url characters are 96 bits, so nobody can find a part that collides with somebody else's key. */
const KEY_CHARACTERS = 16

/**
 * Returns the keys of the parts of a prompt that other requests may contain. The last part belongs to the
 * request itself and is left out.
 */
export function promptPartKeys(
  service: string,
  parts: readonly { readonly id: string }[],
): readonly PromptPartKey[] {
  return parts.slice(0, -1).map(({ id }) => {
    return asId(hash('sha256', `${service}\n${id}`, 'base64url').slice(0, KEY_CHARACTERS))
  })
}
