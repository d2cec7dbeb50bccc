/**
 * Parses the body of a chat request. The fields that routing and billing need are checked, the
 * output limit is bounded, and usage reports are requested; all other fields are sent to the engine
 * unchanged.
 */

import * as z from 'zod'
import { NotRunError, ResultCode, asId } from '@rackwalk/shared'
import type { ModelId, TokenCount } from '@rackwalk/shared'
import type { ModelLimits } from '../resources/catalogue.js'
import { isContinuableChat } from './chatContinuation.js'
import { promptTokenBound, promptTokenEstimate } from './tokenBound.js'

/** Maximum number of messages in one request. */
const MAXIMUM_MESSAGES = 10_000

const contentPart = z.looseObject({ type: z.string(), text: z.string().optional() })

const messageSchema = z.looseObject({
  role: z.string(),
  content: z.union([z.string(), z.array(contentPart), z.null()]).optional(),
})

const streamOptionsSchema = z.looseObject({ include_usage: z.boolean().optional() })

/**
 * The fields of an OpenAI chat request that are checked here. All others are passed on unchanged.
 */
const chatSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(messageSchema).min(1).max(MAXIMUM_MESSAGES),
  stream: z.boolean().nullish(),
  stream_options: streamOptionsSchema.nullish(),
  max_tokens: z.number().int().positive().nullish(),
  max_completion_tokens: z.number().int().positive().nullish(),
  n: z.number().int().positive().nullish(),
})

type ChatBody = z.infer<typeof chatSchema>

/** A parsed chat request, ready for routing. */
export interface ChatRequest {
  readonly modelId: ModelId
  readonly isStreamed: boolean
  /** Whether the caller of a streamed chat asked for the chunk that reports usage. */
  readonly wantsUsage: boolean
  /** The messages and tools as JSON text. Engines cache prefixes of this input. */
  readonly prompt: Buffer
  readonly messages: number
  readonly promptTokenBound: TokenCount
  readonly promptTokenEstimate: TokenCount
  /** Maximum number of output tokens, which the engine has to enforce. */
  readonly outputTokenLimit: TokenCount
  /** Whether another engine can continue the answer to this chat. */
  readonly isContinuable: boolean
  /** The body that is sent to the engine. */
  readonly body: Readonly<Record<string, unknown>>
}

/**
 * Parses and checks a body. Throws a refusal if the body is malformed, requests more than one
 * choice or names an unknown model.
 */
export function parseChatRequest(
  raw: Buffer,
  findModel: (modelId: ModelId) => ModelLimits | undefined,
): ChatRequest {
  const body = parseBody(raw)
  if ((body.n ?? 1) !== 1) throw new NotRunError(ResultCode.UnsupportedOption, 'n')
  const modelId = asId<ModelId>(body.model)
  const limits = findModel(modelId)
  if (limits === undefined) throw new NotRunError(ResultCode.UnknownModel, body.model)
  return buildRequest(body, limits)
}

function parseBody(raw: Buffer): ChatBody {
  const parsed = chatSchema.safeParse(parseJson(raw))
  if (parsed.success) return parsed.data
  const faults = parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`)
  throw new NotRunError(ResultCode.MalformedRequest, faults.join('; '))
}

function parseJson(raw: Buffer): unknown {
  try {
    return JSON.parse(raw.toString('utf8'))
  } catch {
    throw new NotRunError(ResultCode.MalformedRequest, 'not JSON')
  }
}

function buildRequest(body: ChatBody, limits: ModelLimits): ChatRequest {
  const prompt = Buffer.from(JSON.stringify([body.messages, body.tools ?? null]))
  const requestedOutputTokens =
    body.max_completion_tokens ?? body.max_tokens ?? limits.defaultOutputTokens
  const outputTokenLimit = Math.min(requestedOutputTokens, limits.maximumOutputTokens)
  return {
    modelId: limits.modelId,
    isStreamed: body.stream === true,
    wantsUsage: body.stream_options?.include_usage === true,
    prompt,
    messages: body.messages.length,
    promptTokenBound: promptTokenBound(prompt.length, body.messages.length),
    promptTokenEstimate: promptTokenEstimate(prompt.length),
    outputTokenLimit,
    isContinuable: isContinuableChat(body),
    body: engineBody(body, outputTokenLimit),
  }
}

/**
 * Returns the body as another instance expects it from a caller: without the stream options that
 * were added for the engine.
 */
export function relayedChatBody({ body, wantsUsage }: ChatRequest): Record<string, unknown> {
  const options = body['stream_options']
  if (typeof options !== 'object' || options === null) return body
  const callerOptions: Record<string, unknown> = { ...options, include_usage: wantsUsage }
  delete callerOptions['continuous_usage_stats']
  return { ...body, stream_options: callerOptions }
}

/**
 * Returns the body for the engine. Whatever the caller asked for, the engine has to enforce the
 * output limit and, in a stream, to report usage with each chunk.
 */
function engineBody(body: ChatBody, outputTokenLimit: TokenCount): Record<string, unknown> {
  const options = { ...body.stream_options, include_usage: true, continuous_usage_stats: true }
  const limited: Record<string, unknown> = { ...body, max_tokens: outputTokenLimit }
  delete limited['max_completion_tokens']
  return body.stream === true ? { ...limited, stream_options: options } : limited
}
