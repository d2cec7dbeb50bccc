/** Serves the object store's protocol from in-memory objects. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { LocalServer } from '../localServer.js'
import type { FaultPlan } from './faultPlan.js'
import type { MemoryObjects } from './memoryObjects.js'

/** Stands in for the object store. Supports put, get and list of the S3 API with path-style URLs. */
export class S3StandIn extends LocalServer {
  constructor(
    private readonly objects: MemoryObjects,
    readonly faults: FaultPlan,
  ) {
    super()
  }

  protected async handle(
    request: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    await this.faults.delay()
    if (this.faults.losesRequest()) return void response.destroy()
    const url = new URL(request.url ?? '/', 'http://objects')
    const [, , ...parts] = url.pathname.split('/')
    const key = decodeURIComponent(parts.join('/'))
    if (request.method === 'PUT') return this.put(key, body, response)
    if (url.searchParams.has('list-type')) return this.list(url, response)
    await this.get(key, response)
  }

  private async put(key: string, body: Buffer, response: ServerResponse): Promise<void> {
    await this.objects.put(key, body)
    response.writeHead(200, { etag: '"stand-in"' })
    response.end()
  }

  private async get(key: string, response: ServerResponse): Promise<void> {
    const body = await this.objects.get(key)
    if (body === undefined) {
      response.writeHead(404, { 'content-type': 'application/xml' })
      response.end('<?xml version="1.0"?><Error><Code>NoSuchKey</Code></Error>')
      return
    }
    response.writeHead(200, { 'content-length': String(body.length) })
    response.end(body)
  }

  private async list(url: URL, response: ServerResponse): Promise<void> {
    const prefix = url.searchParams.get('prefix') ?? ''
    const limit = Number(url.searchParams.get('max-keys') ?? 1000)
    const after = url.searchParams.get('start-after') ?? ''
    const keys = await this.objects.list(prefix, limit, after)
    const contents = keys.map(key => `<Contents><Key>${key}</Key></Contents>`).join('')
    response.writeHead(200, { 'content-type': 'application/xml' })
    response.end(`<?xml version="1.0"?><ListBucketResult>${contents}</ListBucketResult>`)
  }
}
