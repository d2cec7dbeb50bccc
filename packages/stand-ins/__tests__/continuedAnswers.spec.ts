import { createServer } from 'node:http'
import type { Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { ResultCode } from '@rackwalk/shared'
import { ConfiguredFleet, MODEL, TEAM_KEY } from '@rackwalk/stand-ins'

/**
 * A chat was cut when its engine ended after the first pieces, though another engine could have gone on after them.
 * The order of events is forced: the test decides what each engine answers, and when it breaks off.
 */

interface Usage {
  readonly prompt_tokens: number
  readonly completion_tokens: number
  readonly total_tokens: number
}

interface Chunk {
  readonly id?: string
  readonly created?: number
  readonly system_fingerprint?: string
  readonly choices?: readonly {
    readonly delta?: Readonly<Record<string, unknown>>
    readonly finish_reason?: string | null
  }[]
  readonly usage?: Usage | null
  readonly rackwalk?: unknown
  readonly error?: { readonly code: number }
}

interface AskedChat {
  readonly body: Readonly<Record<string, unknown>>
  readonly response: ServerResponse
}

const FIRST_PROMPT = 11
const SECOND_PROMPT = 17
const LIMIT = 5
const QUESTION = [{ role: 'user', content: 'hello' }]
const WITH_USAGE = { stream_options: { include_usage: true } }

/** An engine that keeps each chat until the test answers it. */
class HeldEngine {
  readonly asked: AskedChat[] = []
  onChat: ((chat: AskedChat) => void) | undefined
  private readonly server: Server = createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.on('end', () => this.take(String(request.url), Buffer.concat(chunks), response))
  })

  async listen(): Promise<string> {
    await new Promise<void>(resolve => this.server.listen(0, '127.0.0.1', resolve))
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Its process is gone. */
  stop(): void {
    this.server.close()
    this.server.closeAllConnections()
  }

  private take(path: string, raw: Buffer, response: ServerResponse): void {
    if (!path.startsWith('/v1/chat')) {
      response.writeHead(200, { 'content-type': 'application/json' })
      response.end(JSON.stringify({ running: 0, waiting: 0, events: [] }))
      return
    }
    const body = JSON.parse(raw.toString('utf8')) as Record<string, unknown>
    this.asked.push({ body, response })
    this.onChat?.({ body, response })
  }
}

/** Events of one run, as engines send them. */
class Run {
  private tokens = 0

  constructor(
    private readonly response: ServerResponse,
    private readonly promptTokens: number,
    private readonly id: string,
    private readonly reportsUsage = true,
  ) {
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    this.send({ delta: { role: 'assistant', content: '' }, finish_reason: null })
  }

  pieces(...texts: readonly string[]): this {
    for (const content of texts) this.piece({ content })
    return this
  }

  piece(delta: Readonly<Record<string, unknown>>): this {
    this.tokens += 1
    return this.send({ delta, finish_reason: null })
  }

  finish(reason: string): this {
    return this.send({ delta: {}, finish_reason: reason })
  }

  end(): void {
    this.write({ choices: [], usage: this.usage() })
    this.response.end('data: [DONE]\n\n')
  }

  /** The beginning of an event that never becomes whole. */
  half(): this {
    this.response.write('data: {"id":"half","choices":[{"index":0,"delta":{"content":"lost')
    return this
  }

  private send(choice: object): this {
    const usage = this.reportsUsage ? this.usage() : undefined
    this.write({ choices: [{ index: 0, ...choice }], usage })
    return this
  }

  private write(document: object): void {
    const head = { id: this.id, created: this.promptTokens, model: MODEL }
    this.response.write(`data: ${JSON.stringify({ ...head, ...document })}\n\n`)
  }

  private usage(): Usage {
    const { promptTokens, tokens } = this
    return {
      prompt_tokens: promptTokens,
      completion_tokens: tokens,
      total_tokens: promptTokens + tokens,
    }
  }
}

const stops: (() => unknown)[] = []

afterEach(async () => {
  for (const stop of stops.splice(0).reverse()) await stop()
})

async function addEngine(fleet: ConfiguredFleet, name: string, spec: object): Promise<HeldEngine> {
  const engine = new HeldEngine()
  stops.push(() => engine.stop())
  const address = await engine.listen()
  await fleet.apply([
    {
      kind: 'endpoints',
      metadata: { name },
      spec: { kind: 'model', models: [MODEL], address, ...spec },
    },
  ])
  return engine
}

interface Answer {
  readonly chunks: readonly Chunk[]
  readonly text: string
  readonly isWhole: boolean
  readonly code: number | undefined
  readonly requestId: string
}

interface Sent {
  readonly answer: Promise<Answer>
  readonly texts: string[]
  readonly leave: () => void
}

function send(
  address: string,
  body: Readonly<Record<string, unknown>>,
  headers: Readonly<Record<string, string>> = {},
): Sent {
  const texts: string[] = []
  const controller = new AbortController()
  const answer = read(address, { body, headers, texts, signal: controller.signal })
  // Whoever leaves has no answer.
  answer.catch(() => undefined)
  return { answer, texts, leave: () => controller.abort() }
}

async function read(
  address: string,
  options: {
    readonly body: Readonly<Record<string, unknown>>
    readonly headers: Readonly<Record<string, string>>
    readonly texts: string[]
    readonly signal: AbortSignal
  },
): Promise<Answer> {
  const { body, headers, texts, signal } = options
  const document = { model: MODEL, stream: true, messages: QUESTION, max_tokens: LIMIT, ...body }
  const response = await fetch(`${address}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${TEAM_KEY}`, ...headers },
    body: JSON.stringify(document),
    signal,
  })
  const requestId = String(response.headers.get('rackwalk-request-id'))
  if (response.status !== 200) {
    const { error } = (await response.json()) as Chunk
    return { chunks: [], text: '', isWhole: false, code: error?.code, requestId }
  }
  const decoder = new TextDecoder()
  let rest = ''
  let isWhole = false
  const chunks: Chunk[] = []
  for await (const part of response.body!) {
    const events = (rest + decoder.decode(part, { stream: true })).split('\n\n')
    rest = events.pop() ?? ''
    for (const event of events) {
      if (event === 'data: [DONE]') {
        isWhole = true
        continue
      }
      const chunk = JSON.parse(event.slice('data: '.length)) as Chunk
      chunks.push(chunk)
      texts.push(String(chunk.choices?.[0]?.delta?.['content'] ?? ''))
    }
  }
  const code = chunks.at(-1)?.error?.code
  return { chunks, text: texts.join(''), isWhole, code, requestId }
}

interface PlayOptions {
  readonly body?: Readonly<Record<string, unknown>>
  readonly headers?: Readonly<Record<string, string>>
  readonly firstSpec?: object
  readonly secondSpec?: object
  /** Whether the first engine reports tokens with each piece. */
  readonly reportsUsage?: boolean
  /** What the first engine does after its pieces. */
  readonly first?: (run: Run) => unknown
  readonly thirdSpec?: object
}

/** A chat that is at its engine, and other engines that came since. */
async function begin(options: PlayOptions = {}) {
  const fleet = new ConfiguredFleet({ instances: 1, engines: 0 })
  stops.push(() => fleet.stop())
  await fleet.start()
  const placement = { model: MODEL, version: '1', replicas: 2, defaultOutputTokens: LIMIT }
  await fleet.apply([{ kind: 'placements', metadata: { name: MODEL }, spec: placement }])
  const first = await addEngine(fleet, 'first', options.firstSpec ?? { continuesAnswers: true })
  const sent = send(fleet.callers(), options.body ?? {}, options.headers)
  await expect.poll(() => first.asked.length, { interval: 5 }).toBe(1)
  const second = await addEngine(fleet, 'second', options.secondSpec ?? { continuesAnswers: true })
  return { fleet, first, second, sent }
}

type Play = Awaited<ReturnType<typeof begin>>

/** The first engine sends three pieces and ends. */
async function cut(play: Play, options: PlayOptions = {}): Promise<void> {
  const [{ response } = never()] = play.first.asked
  const run = new Run(response, FIRST_PROMPT, 'first', options.reportsUsage ?? true)
  run.pieces('a1 ', 'a2 ', 'ä3 ')
  options.first?.(run)
  await expect.poll(() => play.sent.texts.join(''), { interval: 5 }).toContain('a1 a2 ä3 ')
  play.first.stop()
}

function never(): never {
  throw new Error('nothing was asked')
}

async function recordOf({ fleet, sent }: Play): Promise<Record<string, unknown>> {
  const { requestId } = await sent.answer
  return explain(fleet, requestId)
}

async function explain(fleet: ConfiguredFleet, id: string): Promise<Record<string, unknown>> {
  const response = await fetch(`${fleet.callers()}/v1/requests/${id}`, {
    headers: { authorization: `Bearer ${TEAM_KEY}` },
  })
  return (await response.json()) as Record<string, unknown>
}

function goOn(play: Play, texts: readonly string[], reason = 'stop'): void {
  play.second.onChat = ({ response }) => {
    new Run(response, SECOND_PROMPT, 'second')
      .pieces(...texts)
      .finish(reason)
      .end()
  }
}

describe('a chat that had pieces of its answer when its engine ended', () => {
  it('is continued at another engine after what its caller has, and billed once for both', async () => {
    const play = await begin({ body: WITH_USAGE })
    goOn(play, ['a4 ', 'a5 '])
    await cut(play, { first: run => run.half() })
    const { chunks, text, isWhole, code } = await play.sent.answer
    expect({ text, isWhole, code }).toEqual({
      text: 'a1 a2 ä3 a4 a5 ',
      isWhole: true,
      code: undefined,
    })
    expect(play.second.asked.map(({ body }) => body)).toMatchObject([
      {
        messages: [...QUESTION, { role: 'assistant', content: 'a1 a2 ä3 ' }],
        continue_final_message: true,
        add_generation_prompt: false,
        max_tokens: LIMIT - 3,
      },
    ])
    expect(new Set(chunks.map(({ id, created }) => `${id} ${created}`))).toEqual(
      new Set([`first ${FIRST_PROMPT}`]),
    )
    expect(chunks.map(({ usage }) => usage?.completion_tokens)).toEqual([0, 1, 2, 3, 4, 5, 5, 5])
    expect(new Set(chunks.map(({ usage }) => usage?.prompt_tokens))).toEqual(new Set([11]))
    const marked = chunks.filter(({ rackwalk }) => rackwalk !== undefined)
    expect(marked).toMatchObject([
      { choices: [{ delta: { content: 'a4 ' } }], rackwalk: { continued: true } },
    ])
    expect(chunks.filter(({ choices }) => choices?.[0]?.delta?.['role'])).toHaveLength(1)
    expect(await recordOf(play)).toMatchObject({
      promptTokens: FIRST_PROMPT,
      generatedTokens: LIMIT,
      billedTokens: FIRST_PROMPT + LIMIT,
      routing: [
        { endpointId: 'first', answer: { fate: 'continued' } },
        { endpointId: 'second', policy: 'continued', answer: { fate: 'whole' } },
      ],
    })
  })

  it('is never billed more than was asked for, whatever the second engine generates', async () => {
    const play = await begin()
    goOn(play, ['a4 ', 'a5 ', 'a6 ', 'a7 '])
    await cut(play)
    expect((await play.sent.answer).isWhole).toBe(true)
    expect(await recordOf(play)).toMatchObject({ billedTokens: FIRST_PROMPT + LIMIT })
  })

  it('is ended as its engine would have where nothing of its limit is left', async () => {
    const play = await begin({ body: { ...WITH_USAGE, max_tokens: 3 } })
    await cut(play)
    const { chunks, text, isWhole } = await play.sent.answer
    expect({ text, isWhole, asked: play.second.asked }).toEqual({
      text: 'a1 a2 ä3 ',
      isWhole: true,
      asked: [],
    })
    const reasons = chunks.flatMap(({ choices }) => choices?.[0]?.finish_reason ?? [])
    expect(reasons).toEqual(['length'])
    expect(chunks.at(-1)).toMatchObject({ choices: [], usage: { completion_tokens: 3 } })
    expect(await recordOf(play)).toMatchObject({ billedTokens: FIRST_PROMPT + 3 })
  })

  it('is whole where its engine had said why it generates no more', async () => {
    const play = await begin()
    await cut(play, { first: run => run.finish('stop') })
    const { isWhole, chunks } = await play.sent.answer
    expect({ isWhole, asked: play.second.asked.length }).toEqual({ isWhole: true, asked: 0 })
    const reasons = chunks.flatMap(({ choices }) => choices?.[0]?.finish_reason ?? [])
    expect(reasons).toEqual(['stop'])
  })
})

const CUT = { isWhole: false, code: ResultCode.EndpointBrokeOff, asked: 0 }

async function expectCut(options: PlayOptions): Promise<void> {
  const play = await begin(options)
  await cut(play, options)
  const { isWhole, code, text } = await play.sent.answer
  expect({ isWhole, code, asked: play.second.asked.length }).toEqual(CUT)
  expect(text).toContain('a1 a2 ä3 ')
  expect(await recordOf(play)).toMatchObject({ billedTokens: 0 })
}

describe('a chat is cut as before, and no other engine asked,', () => {
  it.each([
    ['tools', { tools: [{ type: 'function', function: { name: 'look' } }] }],
    ['functions', { functions: [{ name: 'look' }] }],
    ['logprobs', { logprobs: true }],
    ['response_format', { response_format: { type: 'json_object' } }],
    ['guided_json', { guided_json: {} }],
    ['structured_outputs', { structured_outputs: { regex: 'a' } }],
    ['stop', { stop: ['x'] }],
    ['its own continue_final_message', { continue_final_message: true }],
    ['its own add_generation_prompt', { add_generation_prompt: true }],
    ['a last message of the assistant', { messages: [{ role: 'assistant', content: 'a' }] }],
    ['a picture', { messages: [{ role: 'user', content: [{ type: 'image_url' }] }] }],
  ])('where it has %s', (_, body) => expectCut({ body }))

  it('where it must not run twice', () => expectCut({ headers: { 'rackwalk-repeatable': 'no' } }))

  it('where a piece was no plain text', () =>
    expectCut({ first: run => run.piece({ tool_calls: [{ index: 0 }] }) }))

  it('where its tokens so far were not reported', () => expectCut({ reportsUsage: false }))

  it('where the other engine is not said to continue', () => expectCut({ secondSpec: {} }))

  it('where the other engine runs another software version', () =>
    expectCut({ secondSpec: { continuesAnswers: true, softwareVersion: '2' } }))
})

describe('a chat that was begun by one of two software versions', () => {
  it('goes on at an engine of its own, whatever is stated of the others', async () => {
    const version = { continuesAnswers: true, softwareVersion: '1' }
    const play = await begin({ firstSpec: version, secondSpec: version })
    const others = await Promise.all(
      ['third', 'fourth', 'fifth'].map(name =>
        addEngine(play.fleet, name, { ...version, softwareVersion: '2' }),
      ),
    )
    goOn(play, ['a4 ', 'a5 '])
    await cut(play)
    const { text, isWhole } = await play.sent.answer
    expect({ text, isWhole }).toEqual({ text: 'a1 a2 ä3 a4 a5 ', isWhole: true })
    expect(others.flatMap(({ asked }) => asked)).toEqual([])
  })
})

describe('a chat whose second engine does not come to the end either', () => {
  it('is cut, costs nothing, is asked no third time, and is refused where that engine ended before a piece', async () => {
    const play = await begin()
    const third = await addEngine(play.fleet, 'third', { continuesAnswers: true })
    const others = [play.second, third]
    for (const engine of others) engine.onChat = () => engine.stop()
    await cut(play)
    const { isWhole, code } = await play.sent.answer
    const asked = others.flatMap(engine => engine.asked).length
    expect({ isWhole, code, asked }).toEqual({ ...CUT, asked: 1 })
    expect(await recordOf(play)).toMatchObject({ billedTokens: 0 })
    await expect
      .poll(async () => (await send(play.fleet.callers(), {}).answer).code, { timeout: 5_000 })
      .toBe(ResultCode.EndsEndpoints)
  })

  it('is refused too where only the opening event had come', async () => {
    const play = await begin()
    play.second.onChat = ({ response }) => {
      new Run(response, SECOND_PROMPT, 'second')
      setTimeout(() => play.second.stop(), 20)
    }
    await cut(play)
    expect((await play.sent.answer).code).toBe(ResultCode.EndpointBrokeOff)
    await expect
      .poll(async () => (await send(play.fleet.callers(), {}).answer).code, { timeout: 5_000 })
      .toBe(ResultCode.EndsEndpoints)
  })

  it('stays innocent where the second engine had sent a piece, or lives', async () => {
    const play = await begin()
    let count = 0
    play.second.onChat = ({ response }) => {
      count += 1
      if (count > 1) return void new Run(response, SECOND_PROMPT, 'again').pieces('b ').end()
      new Run(response, SECOND_PROMPT, 'second').pieces('a4 ')
      setTimeout(() => response.destroy(), 20)
    }
    await cut(play)
    const { code, text } = await play.sent.answer
    expect({ code, text }).toEqual({ code: ResultCode.EndpointBrokeOff, text: 'a1 a2 ä3 a4 ' })
    expect((await send(play.fleet.callers(), {}).answer).text).toBe('b ')
  })
})

describe('a chat that is being continued', () => {
  it('is given up where its caller leaves before the second engine answers, and billed what ran', async () => {
    const play = await begin()
    await cut(play)
    await expect.poll(() => play.second.asked.length, { interval: 5 }).toBe(1)
    const closed = new Promise(resolve => play.second.asked[0]?.response.once('close', resolve))
    const id = String((play.second.asked[0] as AskedChat).response.req.headers['x-request-id'])
    play.sent.leave()
    await closed
    await expect
      .poll(async () => explain(play.fleet, id))
      .toMatchObject({ code: ResultCode.CallerLeft, billedTokens: FIRST_PROMPT + 3 })
  })

  it('ends at the deadline of the request', async () => {
    const play = await begin({ headers: { 'rackwalk-deadline-ms': '1500' } })
    await cut(play)
    const { code, isWhole } = await play.sent.answer
    expect({ code, isWhole }).toEqual({ code: ResultCode.DeadlinePassed, isWhole: false })
    expect(play.second.asked).toHaveLength(1)
  })
})
