/** Client of one instance's operator API. Owns the connection. */

import { request } from 'undici'
import type { Dispatcher } from 'undici'
import { ResultCode } from '@rackwalk/shared'
import { CommandError } from './errors.js'
import { ExitCode, exitCodeFor } from './exitCodes.js'

/** A JSON document from the server. */
export type JsonDocument = Readonly<Record<string, unknown>>

interface ErrorDocument {
  readonly error?: {
    readonly code?: ResultCode
    readonly name?: string
    readonly message?: string
    readonly faults?: readonly { readonly path: string; readonly message: string }[]
    readonly current?: { readonly metadata?: { readonly version?: number } }
  }
}

/** Sends requests to the operator API of one instance. */
export class OperatorHttpClient {
  constructor(
    private readonly server: string,
    private readonly token: string,
  ) {}

  async get(path: string): Promise<JsonDocument> {
    return this.request('GET', path)
  }

  async request(
    method: Dispatcher.HttpMethod,
    path: string,
    document?: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<JsonDocument> {
    const response = await this.send(method, path, document, headers)
    const body = (await response.body.json()) as JsonDocument
    if (response.statusCode >= 400) throw failure(body)
    return body
  }

  /** Reads a stream of JSON lines until it ends or the consumer stops. */
  async *streamDocuments(path: string): AsyncGenerator<JsonDocument> {
    const response = await this.send('GET', path)
    if (response.statusCode >= 400) throw failure((await response.body.json()) as JsonDocument)
    let partialLine = ''
    for await (const chunk of response.body) {
      const lines = (partialLine + String(chunk)).split('\n')
      partialLine = lines.pop() ?? ''
      for (const line of lines) yield JSON.parse(line) as JsonDocument
    }
  }

  private async send(
    method: Dispatcher.HttpMethod,
    path: string,
    document?: unknown,
    headers: Readonly<Record<string, string>> = {},
  ) {
    try {
      return await request(`${this.server}${path}`, {
        method,
        headers: { authorization: `Bearer ${this.token}`, ...headers },
        body: document === undefined ? undefined : JSON.stringify(document),
      })
    } catch (thrown) {
      const reason = (thrown as NodeJS.ErrnoException).code ?? String(thrown)
      throw new CommandError(ExitCode.Unavailable, `${this.server}: ${reason}`)
    }
  }
}

function failure(body: JsonDocument): CommandError {
  const { error } = body as ErrorDocument
  const code = error?.code ?? ResultCode.Internal
  const faults = (error?.faults ?? []).map(({ path, message }) => `  ${path}: ${message}`)
  const version = error?.current?.metadata?.version
  const current = version === undefined ? [] : [`  the current version is ${version}`]
  const text = [`${code} ${error?.name ?? ''}: ${error?.message ?? ''}`, ...faults, ...current]
  return new CommandError(exitCodeFor(code), text.join('\n'))
}
