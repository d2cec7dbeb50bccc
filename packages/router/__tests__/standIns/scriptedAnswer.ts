import { Agent } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import type { AnswerEnd, AnswerFraming } from '@rackwalk/decisions'
import { UpstreamExchange } from '@rackwalk/router'
import type { AbortReason } from '@rackwalk/router'

/** One scripted answer of an endpoint, byte by byte, and the behaviour of its reader. */
export interface AnswerScript {
  readonly framing: AnswerFraming
  readonly pieces: readonly string[]
  /** Number of bytes at the end of the wire data that are not sent. */
  readonly missing: number
  /** Positions at which the wire data is split into writes; each one is sent in a turn of its own. */
  readonly splits: readonly number[]
  /** How the endpoint leaves the connection, in the turn of its last bytes. */
  readonly ending: 'stays' | 'closes' | 'resets'
  /** Whether the reader pauses at the first bytes until everything else has happened. */
  readonly isReaderSlow: boolean
  /** Whether a paused reader never resumes. */
  readonly isReaderStuck?: boolean
  /** Why the reader aborts after the first bytes, if it does. */
  readonly abort: AbortReason | undefined
}

/** The answer as received by the reader. */
export interface ReadAnswer {
  readonly framing: AnswerFraming
  readonly end: AnswerEnd
  readonly body: string
}

const HEADERS: Readonly<Record<AnswerFraming, (body: string) => string>> = {
  length: body => `Content-Length: ${body.length}\r\n`,
  chunks: () => 'Transfer-Encoding: chunked\r\n',
  connection: () => 'Connection: close\r\n',
  bodiless: () => '',
}

/** Everything that the endpoint would send after the head. */
export function wireOf({ framing, pieces }: AnswerScript): string {
  if (framing === 'bodiless') return ''
  if (framing !== 'chunks') return pieces.join('')
  const chunks = pieces.map(piece => `${piece.length.toString(16)}\r\n${piece}\r\n`)
  return `${chunks.join('')}0\r\n\r\n`
}

export class ScriptedEndpoint {
  private script: AnswerScript | undefined
  private readonly sockets = new Set<Socket>()
  private readonly server: Server = createServer(socket => this.serve(socket))

  start(): Promise<void> {
    return new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve))
  }

  stop(): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  /** Reads the scripted answer to its end. */
  async read(script: AnswerScript): Promise<ReadAnswer> {
    this.script = script
    const { port } = this.server.address() as AddressInfo
    const agent = new Agent({ keepAlive: true })
    const endpoint = { record: { address: `127.0.0.1:${port}` }, agent }
    const exchange = new UpstreamExchange(endpoint, {
      method: 'GET',
      path: '/',
      headers: ['Host', 'endpoint'],
      body: Buffer.alloc(0),
      connectMilliseconds: 5_000,
    })
    const head = await exchange.awaitAnswer()
    if (head.kind !== 'head') throw new Error(`no head: ${head.reason}`)
    const answer = await readAnswer(exchange, script)
    agent.destroy()
    return answer
  }

  private serve(socket: Socket): void {
    this.sockets.add(socket)
    // A reset drops data that the socket still buffers in order to send it with more.
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => this.sockets.delete(socket))
    socket.on('data', () => {
      if (this.script !== undefined) void answer(socket, this.script)
    })
  }
}

async function answer(socket: Socket, script: AnswerScript): Promise<void> {
  const { framing, pieces, missing, splits, ending } = script
  const status = framing === 'bodiless' ? '204 No Content' : '200 OK'
  socket.write(`HTTP/1.1 ${status}\r\n${HEADERS[framing](pieces.join(''))}\r\n`)
  await turn()
  const all = wireOf(script)
  const wire = all.slice(0, Math.max(0, all.length - missing))
  const cuts = [...new Set(splits.map(split => split % (wire.length + 1)))].sort((a, b) => a - b)
  let from = 0
  for (const cut of cuts) {
    socket.write(wire.slice(from, cut))
    from = cut
    await turn()
  }
  socket.write(wire.slice(from))
  if (ending === 'closes') socket.end()
  if (ending === 'resets') socket.resetAndDestroy()
}

function readAnswer(exchange: UpstreamExchange, script: AnswerScript): Promise<ReadAnswer> {
  let body = ''
  let hasBegun = false
  const begin = async () => {
    if (script.isReaderSlow) exchange.pause()
    await turn()
    if (script.abort !== undefined) exchange.abort(script.abort)
    await turn()
    if (script.isReaderStuck !== true) exchange.resume()
  }
  return new Promise(resolve => {
    exchange.readBody({
      onData: bytes => {
        body += bytes.toString('latin1')
        if (!hasBegun) void begin()
        hasBegun = true
      },
      onEnd: end => resolve({ framing: exchange.framing, end, body }),
    })
    const hasNoEnd = script.missing > 0 || script.framing === 'connection'
    const isWaitingForNothing = script.ending === 'stays' && hasNoEnd
    if (isWaitingForNothing) setTimeout(() => exchange.abort('aborted'), PATIENCE_MILLISECONDS)
  })
}

/** The reader of an answer whose rest never arrives gives up after this time. */
const PATIENCE_MILLISECONDS = 30

/** Lets pending input be read. */
function turn(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, 1))
}
