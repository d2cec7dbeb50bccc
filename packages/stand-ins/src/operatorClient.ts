/** A client of the operator API, for tests and the quick start. */

import { request } from 'undici'

/** A resource document that an operator writes. */
export interface ResourceDocument {
  readonly kind: string
  readonly metadata: { readonly name: string; readonly labels?: Record<string, string> }
  readonly spec: unknown
}

/** Calls the operator API of one instance with an operator's token. */
export class OperatorClient {
  constructor(
    private readonly address: string,
    private readonly token: string,
  ) {}

  async put(document: ResourceDocument, headers: Record<string, string> = {}) {
    const { kind, metadata } = document
    return this.send('PUT', `/v1/${kind}/${metadata.name}`, document, headers)
  }

  async get(path: string) {
    return this.send('GET', path)
  }

  async send(
    method: 'GET' | 'PUT' | 'PATCH' | 'POST' | 'DELETE',
    path: string,
    document?: unknown,
    headers: Record<string, string> = {},
  ) {
    const response = await request(`http://${this.address}${path}`, {
      method,
      headers: { authorization: `Bearer ${this.token}`, ...headers },
      body: document === undefined ? undefined : JSON.stringify(document),
    })
    const body = (await response.body.json()) as Record<string, unknown>
    return { status: response.statusCode, headers: response.headers, body }
  }
}
