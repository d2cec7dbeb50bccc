/** A caller that reads an answer from a raw socket and reports how the end of the answer was framed. */

import { connect } from 'node:net'

/** A request of the caller. */
export interface SocketCall {
  /** Host and port. */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body?: string
  readonly version?: '1.0' | '1.1'
  /** Time for which the caller doesn't read after it has sent its request. */
  readonly pauseMilliseconds?: number
}

/** The answer that the caller has received when its connection is closed. */
export interface SocketReply {
  /** The status, or 0 if no complete head was received. */
  readonly status: number
  readonly headers: ReadonlyMap<string, string>
  readonly body: string
  /** How the body's end was recognized, or how the caller notices that the body is incomplete. */
  readonly ending: 'length' | 'last chunk' | 'closed' | 'cut' | 'reset' | 'no answer'
}

const HEAD_END = '\r\n\r\n'

/** Sends a request over a new connection and reads until the connection closes. */
export function callOverSocket(call: SocketCall): Promise<SocketReply> {
  const [host = '', port = ''] = call.address.replace('http://', '').split(':')
  const body = call.body ?? ''
  const headers = { host, connection: 'close', ...call.headers, ...lengthOf(call) }
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`)
  const start = `${call.method} ${call.path} HTTP/${call.version ?? '1.1'}`
  return new Promise(resolve => {
    const socket = connect(Number(port), host)
    const chunks: Buffer[] = []
    let wasReset = false
    socket.write([start, ...lines].join('\r\n') + HEAD_END + body)
    if (call.pauseMilliseconds !== undefined) {
      socket.pause()
      setTimeout(() => socket.resume(), call.pauseMilliseconds)
    }
    socket.on('data', chunk => chunks.push(chunk))
    // Node reports a reset that arrives with the last bytes as a normal end, but without a remote address.
    socket.on('end', () => (wasReset ||= socket.remoteAddress === undefined))
    socket.on('error', () => (wasReset = true))
    socket.on('close', () => resolve(readReply(Buffer.concat(chunks).toString('latin1'), wasReset)))
  })
}

function lengthOf({ body }: SocketCall): Record<string, string> {
  return body === undefined ? {} : { 'content-length': String(Buffer.byteLength(body)) }
}

function readReply(text: string, wasReset: boolean): SocketReply {
  const headEnd = text.indexOf(HEAD_END)
  if (headEnd < 0) return { status: 0, headers: new Map(), body: '', ending: 'no answer' }
  const [first = '', ...lines] = text.slice(0, headEnd).split('\r\n')
  const headers = new Map(
    lines.map(line => {
      const colon = line.indexOf(':')
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()]
    }),
  )
  const status = Number(first.split(' ')[1])
  const raw = text.slice(headEnd + HEAD_END.length)
  const broken = wasReset ? 'reset' : 'cut'
  if (headers.get('transfer-encoding') === 'chunked') {
    const { body, isWhole } = decodeChunks(raw)
    return { status, headers, body, ending: isWhole ? 'last chunk' : broken }
  }
  const length = headers.get('content-length')
  if (length === undefined) {
    return { status, headers, body: raw, ending: wasReset ? 'reset' : 'closed' }
  }
  return { status, headers, body: raw, ending: raw.length === Number(length) ? 'length' : broken }
}

function decodeChunks(raw: string): { body: string; isWhole: boolean } {
  let body = ''
  let rest = raw
  for (;;) {
    const lineEnd = rest.indexOf('\r\n')
    if (lineEnd < 0) return { body, isWhole: false }
    const size = Number.parseInt(rest.slice(0, lineEnd), 16)
    if (size === 0) return { body, isWhole: rest.slice(lineEnd) === HEAD_END }
    const start = lineEnd + 2
    body += rest.slice(start, start + size)
    if (rest.length < start + size + 2) return { body, isWhole: false }
    rest = rest.slice(start + size + 2)
  }
}
