/**
 * The request that makes another engine continue a chat: which chats can be continued, and the body
 * to send. The options are those that engines publish for continuing the last message of a chat.
 */

import type { TokenCount } from '@rackwalk/shared'

type ChatBody = Readonly<Record<string, unknown>>

/**
 * Fields whose meaning would not survive a second run, because the second run would restart their
 * grammar, offsets or stop strings.
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
  // The caller's own use of the continuation options.
  'continue_final_message',
  'add_generation_prompt',
]
const FORBIDDEN_PREFIX = 'guided_'

/** Whether a chat can be continued, by its body. */
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
  // Fewer tokens may remain than the requested minimum.
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
