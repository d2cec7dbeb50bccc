/** What is believed of a request of the OpenAI-style kind, by itself and by the messages that it shares. Owns nothing. */

import { strictest } from '@rackwalk/decisions'
import type { CrashVerdict } from '@rackwalk/decisions'
import type { PromptPartKey, RequestFingerprint } from '@rackwalk/shared'
import type { Call } from '../filters/stages.js'
import type { CrashGuard } from './crashGuard.js'
import type { PartedPrompt } from './partGuard.js'
import { promptPartKeys } from './promptPartKey.js'

/** A request, as far as it may end endpoints. */
export interface SuspectableRequest {
  readonly call: Call
  readonly target: string
  readonly crashFingerprint: RequestFingerprint | undefined
}

/** Its verdict, the stricter of both. */
export function requestVerdict(crashes: CrashGuard, request: SuspectableRequest): CrashVerdict {
  const { crashFingerprint } = request
  const ofRequest = crashFingerprint === undefined ? 'send' : crashes.verdict(crashFingerprint)
  return strictest(ofRequest, crashes.promptParts.verdict(messageKeys(crashes, request)))
}

/** Keys of the messages that other chats may share, where anything is held against any. */
export function messageKeys(
  { promptParts }: CrashGuard,
  request: SuspectableRequest,
): readonly PromptPartKey[] {
  return promptParts.keysOf(promptOf(request))
}

/** The same, whatever is held against them. */
export function allMessageKeys(request: SuspectableRequest): readonly PromptPartKey[] {
  const { service, promptParts } = promptOf(request)
  return promptPartKeys(service, promptParts)
}

/** The messages are spelled out only where somebody asks for them: chats are long. */
function promptOf({ call, target }: SuspectableRequest): PartedPrompt {
  return {
    service: target,
    get promptParts() {
      return call.kind === 'chat' ? messagesOf(call.chat.body) : []
    },
  }
}

function messagesOf({ messages }: Readonly<Record<string, unknown>>): { readonly id: string }[] {
  if (!Array.isArray(messages)) return []
  return messages.map(message => ({ id: JSON.stringify(message) }))
}
