/** What is believed of a request of the OpenAI-style kind, by itself and by the messages that it shares. Owns nothing. */

import { strictestVerdict } from '@rackwalk/decisions'
import type { QuarantineVerdict } from '@rackwalk/decisions'
import type { PromptPartKey, RequestFingerprint } from '@rackwalk/shared'
import type { Call } from '../filters/stages.js'
import type { CrashGuard } from './crashGuard.js'
import type { ServicePrompt } from './promptPartGuard.js'
import { promptPartKeys } from './promptPartKey.js'

/** A request, as far as it may end endpoints. */
export interface CrashCheckedRequest {
  readonly call: Call
  readonly target: string
  readonly crashFingerprint: RequestFingerprint | undefined
}

/** Its verdict, the stricter of both. */
export function requestVerdict(
  crashes: CrashGuard,
  request: CrashCheckedRequest,
): QuarantineVerdict {
  const { crashFingerprint } = request
  const ofRequest = crashFingerprint === undefined ? 'send' : crashes.verdict(crashFingerprint)
  return strictestVerdict(ofRequest, crashes.promptParts.verdict(messageKeys(crashes, request)))
}

/** Keys of the messages that other chats may share, where anything is held against any. */
export function messageKeys(
  { promptParts }: CrashGuard,
  request: CrashCheckedRequest,
): readonly PromptPartKey[] {
  return promptParts.keysOf(promptOf(request))
}

/** The same, whatever is held against them. */
export function allMessageKeys(request: CrashCheckedRequest): readonly PromptPartKey[] {
  const { service, promptParts } = promptOf(request)
  return promptPartKeys(service, promptParts)
}

/** The messages are spelled out only where somebody asks for them: chats are long. */
function promptOf({ call, target }: CrashCheckedRequest): ServicePrompt {
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
