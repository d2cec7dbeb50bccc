/** A caller of the OpenAI-style kind, for tests and measurements. */

import { Agent, request } from 'undici'
import { TEAM_KEY } from './configuredFleet.js'

/** A chat request, and the answer that the engine's stand-in generates for it. */
export interface ChatDemand {
  readonly word: string
  readonly tokens: number
  readonly key?: string
  readonly headers?: Readonly<Record<string, string>>
  readonly prompt?: string
  /** Contents of all messages; replaces `prompt`. */
  readonly messages?: readonly string[]
  readonly maximumTokens?: number
  readonly signal?: AbortSignal
  /** Called for each piece of text as it arrives. */
  readonly onText?: (text: string) => void
}

/** A streamed answer as its caller received it. */
export interface ChatAnswer {
  readonly status: number
  readonly requestId: string
  readonly text: string
  /** Whether the stream ended with its end marker. */
  readonly isWhole: boolean
  readonly errorCode: number | undefined
  readonly firstByteMilliseconds: number
  readonly totalMilliseconds: number
}

interface ChatEvent {
  readonly choices?: readonly { readonly delta?: { readonly content?: string } }[]
  readonly error?: { readonly code: number }
}

const agent = new Agent({ connections: 1024, pipelining: 1, bodyTimeout: 0, headersTimeout: 0 })

/** Sends a streamed chat request and reads the whole answer. */
export async function streamChat(address: string, demand: ChatDemand): Promise<ChatAnswer> {
  const started = performance.now()
  const response = await request(`${address}/v1/chat/completions`, {
    method: 'POST',
    dispatcher: agent,
    signal: demand.signal,
    headers: { authorization: `Bearer ${demand.key ?? TEAM_KEY}`, ...demand.headers },
    body: chatBody(demand, true),
  })
  const requestId = String(response.headers['rackwalk-request-id'])
  if (response.statusCode !== 200) {
    const body = (await response.body.json()) as ChatEvent
    return {
      status: response.statusCode,
      requestId,
      text: '',
      isWhole: false,
      errorCode: body.error?.code,
      firstByteMilliseconds: 0,
      totalMilliseconds: performance.now() - started,
    }
  }
  const firstByteMilliseconds = performance.now() - started
  const reader = new AnswerReader(demand)
  for await (const chunk of response.body) reader.take(String(chunk))
  const totalMilliseconds = performance.now() - started
  const { text, isWhole, errorCode } = reader
  return {
    status: 200,
    requestId,
    text,
    isWhole,
    errorCode,
    firstByteMilliseconds,
    totalMilliseconds,
  }
}

/** Returns the text that the engine's stand-in generates for a demand. */
export function expectedText({ word, tokens }: Pick<ChatDemand, 'word' | 'tokens'>): string {
  return Array.from({ length: tokens }, (_, index) => `${word}${index + 1} `).join('')
}

/** Returns the body of a chat request. */
export function chatBody(demand: ChatDemand, stream: boolean): string {
  return JSON.stringify({
    model: 'assistant',
    stream,
    messages: (demand.messages ?? [demand.prompt ?? 'hello']).map(content => {
      return { role: 'user', content }
    }),
    max_tokens: demand.maximumTokens ?? demand.tokens,
    stand_in: { word: demand.word, tokens: demand.tokens },
  })
}

class AnswerReader {
  text = ''
  isWhole = false
  errorCode: number | undefined
  private rest = ''

  constructor(private readonly demand: ChatDemand) {}

  take(chunk: string): void {
    const events = (this.rest + chunk).split('\n\n')
    this.rest = events.pop() ?? ''
    for (const event of events) this.takeEvent(event.replace(/^data: /, ''))
  }

  private takeEvent(data: string): void {
    if (data === '[DONE]') {
      this.isWhole = true
      return
    }
    const event = JSON.parse(data) as ChatEvent
    this.errorCode ??= event.error?.code
    const text = event.choices?.[0]?.delta?.content ?? ''
    this.text += text
    this.demand.onText?.(text)
  }
}
