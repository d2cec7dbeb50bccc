/**
 * Requests whose target has the absolute form (`GET http://host/path`), which a server must accept (RFC 9112, 3.2.2).
 * They are rewritten to the origin form, so that routes and endpoints see the same request in both forms.
 */

import type { IncomingMessage, Server } from 'node:http'

const ABSOLUTE_FORM = /^https?:\/\/([^/?#]+)([^#]*)/i

/** Rewrites requests in absolute form before any other listener of the server handles them. */
export function acceptAbsoluteTargets(server: Server): void {
  server.prependListener('request', rewrite)
}

function rewrite(request: IncomingMessage): void {
  const [, host, rest = ''] = ABSOLUTE_FORM.exec(request.url ?? '') ?? []
  if (host === undefined) return
  request.url = rest.startsWith('/') ? rest : `/${rest}`
  // The host of the target replaces that of the header, also in what is forwarded (RFC 9112, 3.2.2).
  request.headers.host = host
  replaceHost(request.rawHeaders, host)
}

/** Replaces the value of the host header; names and values alternate. */
function replaceHost(rawHeaders: string[], host: string): void {
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    if (rawHeaders[index]?.toLowerCase() === 'host') rawHeaders[index + 1] = host
  }
}
