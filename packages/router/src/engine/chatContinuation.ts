/**
 * The request that makes another engine continue the answer to a chat: which chats can be
 * continued, and the body to send. The body uses the engines' options for continuing the last
 * message of a chat (`continue_final_message`, `add_generation_prompt`).
 */

import type { TokenCount } from '@rackwalk/shared'

type ChatBody = Readonly<Record<string, unknown>>

/**
 * Fields that exclude a chat from continuation. The second run would start their grammar, offsets
 * or stop strings anew, or the output is not plain text of a single run.
 */
const FORBIDDEN_FIELDS = [
  'tools',
  'tool_choice',
  'functions',
  'function_call',
  'logprobs',
  'top_logprobs',
  'prompt_logprobs',
  'response_format',
  'structured_outputs',
  'stop',
  'echo',
  'audio',
  'modalities',
  'use_beam_search',
  'best_of',
  // If the caller uses the continuation options, the router cannot set them.
  'continue_final_message',
  'add_generation_prompt',
]
const FORBIDDEN_PREFIX = 'guided_'

/**
 * Whether a chat can be continued, by its body: the chat is streamed, has none of the excluded
 * fields, contains only text, and does not end with a message of the assistant.
 */
export function isContinuableChat(body: ChatBody): boolean {
  if (body['stream'] !== true || FORBIDDEN_FIELDS.some(field => isSet(body[field]))) return false
  const isGuided = Object.keys(body).some(
    field => field.startsWith(FORBIDDEN_PREFIX) && isSet(body[field]),
  )
  return !isGuided && isPlainText(body['messages'])
}

/** Returns the body that asks an engine to continue after the given text. */
export function continuationBody(body: ChatBody, text: string, outputTokens: TokenCount): ChatBody {
  const messages = body['messages'] as readonly unknown[]
  const continued: Record<string, unknown> = {
    ...body,
    messages: [...messages, { role: 'assistant', content: text }],
    continue_final_message: true,
    add_generation_prompt: false,
    max_tokens: outputTokens,
  }
  // The remaining output limit may be less than the requested minimum.
  delete continued['min_tokens']
  return continued
}

function isSet(value: unknown): boolean {
  return value !== undefined && value !== null && value !== false
}

function isPlainText(messages: unknown): boolean {
  const list = messages as readonly { readonly role?: unknown; readonly content?: unknown }[]
  return list.at(-1)?.role !== 'assistant' && list.every(({ content }) => isText(content))
}

function isText(content: unknown): boolean {
  if (!Array.isArray(content)) return typeof content === 'string'
  return content.every((part: { readonly type?: unknown }) => part.type === 'text')
}
