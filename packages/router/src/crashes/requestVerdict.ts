/**
 * Determines the quarantine verdict on an OpenAI-style request, by its fingerprint and by the messages
 * that it shares with other requests: sent normally, isolated on one endpoint, or refused. Owns nothing.
 */

import { strictestVerdict } from '@rackwalk/decisions'
import type { QuarantineVerdict } from '@rackwalk/decisions'
import type { PromptPartKey, RequestFingerprint } from '@rackwalk/shared'
import type { Call } from '../filters/stages.js'
import type { CrashGuard } from './crashGuard.js'
import type { ServicePrompt } from './promptPartGuard.js'
import { promptPartKeys } from './promptPartKey.js'

/** The part of a request that crash checks need. */
export interface CrashCheckedRequest {
  readonly call: Call
  readonly target: string
  readonly crashFingerprint: RequestFingerprint | undefined
}

/** Returns the stricter verdict of the whole request and of its messages. */
export function requestVerdict(
  crashes: CrashGuard,
  request: CrashCheckedRequest,
): QuarantineVerdict {
  const { crashFingerprint } = request
  const ofRequest = crashFingerprint === undefined ? 'send' : crashes.verdict(crashFingerprint)
  return strictestVerdict(ofRequest, crashes.promptParts.verdict(messageKeys(crashes, request)))
}

/** Returns the keys of the messages that other chats may contain; empty while no part is suspected. */
export function messageKeys(
  { promptParts }: CrashGuard,
  request: CrashCheckedRequest,
): readonly PromptPartKey[] {
  return promptParts.keysOf(promptOf(request))
}

/** Like `messageKeys`, but returns the keys even while no part is suspected. */
export function allMessageKeys(request: CrashCheckedRequest): readonly PromptPartKey[] {
  const { service, promptParts } = promptOf(request)
  return promptPartKeys(service, promptParts)
}

/**
 * Returns the prompt of a request. Chats are long, so its messages are serialized only if the parts are
 * read.
 */
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
