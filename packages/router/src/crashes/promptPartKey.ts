/** What names a part of a prompt for all instances, whichever request holds it. */

import { hash } from 'node:crypto'
import { asId } from '@rackwalk/shared'
import type { PromptPartKey } from '@rackwalk/shared'

/** 96 bits: nobody finds a part for somebody else's key. */
const KEY_CHARACTERS = 16

/** Keys of the parts of a prompt that other requests may share: the last one belongs to the request itself. */
export function promptPartKeys(
  service: string,
  parts: readonly { readonly id: string }[],
): readonly PromptPartKey[] {
  return parts.slice(0, -1).map(({ id }) => {
    return asId(hash('sha256', `${service}\n${id}`, 'base64url').slice(0, KEY_CHARACTERS))
  })
}
