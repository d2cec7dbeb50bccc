import { afterEach, describe, expect, it } from 'vitest'
import { ResultCode } from '@rackwalk/shared'
import { ConfiguredFleet, MODEL, TEAM_KEY } from '@rackwalk/stand-ins'
import { HeldEngine, Writer } from './standIns/heldEngine.js'
import type { HeldChat, Usage } from './standIns/heldEngine.js'

/**
 * Guards against chats that are interrupted although another engine can continue them: an engine terminated after the first
 * pieces of an answer, and the chat failed. The order of events is forced: the test decides what each engine answers and
 * when it terminates.
 */

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

const FIRST_PROMPT = 11
const SECOND_PROMPT = 17
const LIMIT = 5
const QUESTION = [{ role: 'user', content: 'hello' }]
const WITH_USAGE = { stream_options: { include_usage: true } }

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
  // A caller that disconnects gets no answer, and the rejection is expected.
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
  /** Whether the first engine reports its token usage with each piece. */
  readonly reportsUsage?: boolean
  /** Writes further events of the first engine after its pieces. */
  readonly first?: (run: Writer) => unknown
  readonly thirdSpec?: object
  /** What the first engine states as its `system_fingerprint`. */
  readonly fingerprint?: string
}

/** Starts a fleet whose only engine has received a chat, and then adds a second engine. */
async function begin(options: PlayOptions = {}) {
  const fleet = new ConfiguredFleet({ instances: 1, engines: 0 })
  stops.push(() => fleet.stop())
  await fleet.start()
  const placement = { model: MODEL, version: '1', replicas: 2, defaultOutputTokens: LIMIT }
  await fleet.apply([{ kind: 'placements', metadata: { name: MODEL }, spec: placement }])
  const first = await addEngine(fleet, 'first', options.firstSpec ?? { continuesAnswers: true })
  const sent = send(fleet.callers(), options.body ?? {}, options.headers)
  await expect.poll(() => first.chats.length, { interval: 5 }).toBe(1)
  const second = await addEngine(fleet, 'second', options.secondSpec ?? { continuesAnswers: true })
  return { fleet, first, second, sent }
}

type Play = Awaited<ReturnType<typeof begin>>

/** Lets the first engine send three pieces and then terminates it. */
async function terminateFirst(play: Play, options: PlayOptions = {}): Promise<void> {
  const [{ response } = failWithoutChat()] = play.first.chats
  const { reportsUsage = true, fingerprint } = options
  const run = new Writer(response, FIRST_PROMPT, 'first', reportsUsage, fingerprint)
  run.pieces('a1 ', 'a2 ', 'ä3 ')
  options.first?.(run)
  await expect.poll(() => play.sent.texts.join(''), { interval: 5 }).toContain('a1 a2 ä3 ')
  play.first.stop()
}

function failWithoutChat(): never {
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

function continueAtSecond(play: Play, texts: readonly string[], reason = 'stop'): void {
  play.second.onChat = ({ response }) => {
    new Writer(response, SECOND_PROMPT, 'second')
      .pieces(...texts)
      .finish(reason)
      .end()
  }
}

describe('a chat whose engine terminates after pieces of its answer', () => {
  it('is continued at another engine after the delivered pieces, and billed once for both', async () => {
    const play = await begin({ body: WITH_USAGE })
    continueAtSecond(play, ['a4 ', 'a5 '])
    await terminateFirst(play, { first: run => run.incompleteEvent() })
    const { chunks, text, isWhole, code } = await play.sent.answer
    expect({ text, isWhole, code }).toEqual({
      text: 'a1 a2 ä3 a4 a5 ',
      isWhole: true,
      code: undefined,
    })
    expect(play.second.chats.map(({ body }) => body)).toMatchObject([
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
    continueAtSecond(play, ['a4 ', 'a5 ', 'a6 ', 'a7 '])
    await terminateFirst(play)
    expect((await play.sent.answer).isWhole).toBe(true)
    expect(await recordOf(play)).toMatchObject({ billedTokens: FIRST_PROMPT + LIMIT })
  })

  it('ends with the reason length if its token limit is used up', async () => {
    const play = await begin({ body: { ...WITH_USAGE, max_tokens: 3 } })
    await terminateFirst(play)
    const { chunks, text, isWhole } = await play.sent.answer
    expect({ text, isWhole, asked: play.second.chats }).toEqual({
      text: 'a1 a2 ä3 ',
      isWhole: true,
      asked: [],
    })
    const reasons = chunks.flatMap(({ choices }) => choices?.[0]?.finish_reason ?? [])
    expect(reasons).toEqual(['length'])
    expect(chunks.at(-1)).toMatchObject({ choices: [], usage: { completion_tokens: 3 } })
    expect(await recordOf(play)).toMatchObject({ billedTokens: FIRST_PROMPT + 3 })
  })

  it('is whole if its engine had already sent a finish reason', async () => {
    const play = await begin()
    await terminateFirst(play, { first: run => run.finish('stop') })
    const { isWhole, chunks } = await play.sent.answer
    expect({ isWhole, asked: play.second.chats.length }).toEqual({ isWhole: true, asked: 0 })
    const reasons = chunks.flatMap(({ choices }) => choices?.[0]?.finish_reason ?? [])
    expect(reasons).toEqual(['stop'])
  })
})

const INTERRUPTED = { isWhole: false, code: ResultCode.EndpointBrokeOff, asked: 0 }

async function expectInterrupted(options: PlayOptions): Promise<void> {
  const play = await begin(options)
  await terminateFirst(play, options)
  const { isWhole, code, text } = await play.sent.answer
  expect({ isWhole, code, asked: play.second.chats.length }).toEqual(INTERRUPTED)
  expect(text).toContain('a1 a2 ä3 ')
  expect(await recordOf(play)).toMatchObject({ billedTokens: 0 })
}

describe('a chat is interrupted and not continued at another engine', () => {
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
  ])('where it has %s', (_, body) => expectInterrupted({ body }))

  it('where it must not run twice', () =>
    expectInterrupted({ headers: { 'rackwalk-repeatable': 'no' } }))

  it('where a piece was no plain text', () =>
    expectInterrupted({ first: run => run.piece({ tool_calls: [{ index: 0 }] }) }))

  it('where its tokens so far were not reported', () => expectInterrupted({ reportsUsage: false }))

  it('where the other engine is not said to continue', () => expectInterrupted({ secondSpec: {} }))

  it('where the other engine runs another software version', () =>
    expectInterrupted({ secondSpec: { continuesAnswers: true, softwareVersion: '2' } }))
})

describe('a chat that was begun by one of two software versions', () => {
  it('is continued at an engine of the same version only', async () => {
    const version = { continuesAnswers: true, softwareVersion: '1' }
    const play = await begin({ firstSpec: version, secondSpec: version })
    const others = await Promise.all(
      ['third', 'fourth', 'fifth'].map(name =>
        addEngine(play.fleet, name, { ...version, softwareVersion: '2' }),
      ),
    )
    continueAtSecond(play, ['a4 ', 'a5 '])
    await terminateFirst(play)
    const { text, isWhole } = await play.sent.answer
    expect({ text, isWhole }).toEqual({ text: 'a1 a2 ä3 a4 a5 ', isWhole: true })
    expect(others.flatMap(({ chats }) => chats)).toEqual([])
  })
})

/** Replaces the second engine at once by another one that listens at the same address. */
async function restartSecond(play: Play): Promise<HeldEngine> {
  play.second.stop()
  const restarted = new HeldEngine()
  stops.push(() => restarted.stop())
  await restarted.listen(play.second.port)
  return restarted
}

/** Continues a chat at the second engine, which was restarted and states this fingerprint. */
async function continueAtRestarted(fingerprints: {
  readonly first: string | undefined
  readonly second: string | undefined
}) {
  const version = { continuesAnswers: true, softwareVersion: '1' }
  const play = await begin({ firstSpec: version, secondSpec: version })
  const restarted = await restartSecond(play)
  restarted.onChat = ({ response }) => {
    new Writer(response, SECOND_PROMPT, 'second', true, fingerprints.second)
      .pieces('b4 ', 'b5 ')
      .finish('stop')
      .end()
  }
  await terminateFirst(play, { fingerprint: fingerprints.first })
  const { text, isWhole, code } = await play.sent.answer
  const { billedTokens } = await recordOf(play)
  return { text, isWhole, code, billedTokens, asked: restarted.chats.length }
}

describe('a chat whose second engine was restarted at its address with other software', () => {
  it('is interrupted, not billed, and gets no text of that engine', async () => {
    expect(await continueAtRestarted({ first: 'build-1', second: 'build-2' })).toEqual({
      text: 'a1 a2 ä3 ',
      isWhole: false,
      code: ResultCode.EndpointBrokeOff,
      billedTokens: 0,
      asked: 1,
    })
  })

  it.each([
    ['states the fingerprint of the first', { first: 'build-1', second: 'build-1' }],
    ['states none', { first: 'build-1', second: undefined }],
    ['states one where the first stated none', { first: undefined, second: 'build-2' }],
  ])('is continued where the engine %s', async (_, fingerprints) => {
    expect(await continueAtRestarted(fingerprints)).toEqual({
      text: 'a1 a2 ä3 b4 b5 ',
      isWhole: true,
      code: undefined,
      billedTokens: FIRST_PROMPT + LIMIT,
      asked: 1,
    })
  })
})

describe('a chat whose second engine does not complete it either', () => {
  it('is interrupted, not billed and not sent to a third engine, and is refused if the second terminated before a piece', async () => {
    const play = await begin()
    const third = await addEngine(play.fleet, 'third', { continuesAnswers: true })
    const others = [play.second, third]
    for (const engine of others) engine.onChat = () => engine.stop()
    await terminateFirst(play)
    const { isWhole, code } = await play.sent.answer
    const asked = others.flatMap(engine => engine.chats).length
    expect({ isWhole, code, asked }).toEqual({ ...INTERRUPTED, asked: 1 })
    expect(await recordOf(play)).toMatchObject({ billedTokens: 0 })
    await expect
      .poll(async () => (await send(play.fleet.callers(), {}).answer).code, { timeout: 5_000 })
      .toBe(ResultCode.EndsEndpoints)
  })

  it('is also refused if the second engine had sent only the opening event', async () => {
    const play = await begin()
    play.second.onChat = ({ response }) => {
      new Writer(response, SECOND_PROMPT, 'second')
      setTimeout(() => play.second.stop(), 20)
    }
    await terminateFirst(play)
    expect((await play.sent.answer).code).toBe(ResultCode.EndpointBrokeOff)
    await expect
      .poll(async () => (await send(play.fleet.callers(), {}).answer).code, { timeout: 5_000 })
      .toBe(ResultCode.EndsEndpoints)
  })

  it('is no suspect if the second engine had sent a piece or is still running', async () => {
    const play = await begin()
    let count = 0
    play.second.onChat = ({ response }) => {
      count += 1
      if (count > 1) return void new Writer(response, SECOND_PROMPT, 'again').pieces('b ').end()
      new Writer(response, SECOND_PROMPT, 'second').pieces('a4 ')
      setTimeout(() => response.destroy(), 20)
    }
    await terminateFirst(play)
    const { code, text } = await play.sent.answer
    expect({ code, text }).toEqual({ code: ResultCode.EndpointBrokeOff, text: 'a1 a2 ä3 a4 ' })
    expect((await send(play.fleet.callers(), {}).answer).text).toBe('b ')
  })
})

describe('a chat that is being continued', () => {
  it('is cancelled if its caller disconnects before the second engine answers, and billed what ran', async () => {
    const play = await begin()
    await terminateFirst(play)
    await expect.poll(() => play.second.chats.length, { interval: 5 }).toBe(1)
    const closed = new Promise(resolve => play.second.chats[0]?.response.once('close', resolve))
    const id = String((play.second.chats[0] as HeldChat).response.req.headers['x-request-id'])
    play.sent.leave()
    await closed
    await expect
      .poll(async () => explain(play.fleet, id))
      .toMatchObject({ code: ResultCode.CallerLeft, billedTokens: FIRST_PROMPT + 3 })
  })

  it('ends at the deadline of the request', async () => {
    const play = await begin({ headers: { 'rackwalk-deadline-ms': '1500' } })
    await terminateFirst(play)
    const { code, isWhole } = await play.sent.answer
    expect({ code, isWhole }).toEqual({ code: ResultCode.DeadlinePassed, isWhole: false })
    expect(play.second.chats).toHaveLength(1)
  })
})
