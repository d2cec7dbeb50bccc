/**
 * The OpenAPI description of the operator API, generated from the routes and schemas that the server uses, so that
 * the two cannot differ.
 */

import * as z from 'zod'
import { RESOURCE_KINDS, RESOURCE_SCHEMAS } from '@rackwalk/router'
import type { OperatorRoute } from './operatorRoute.js'

const SUMMARIES: Readonly<Record<string, string>> = {
  'GET /openapi.json': 'This description',
  'GET /v1/status': 'State of the instance that answers',
  'GET /v1/watch': 'Changes after a revision, as JSON lines',
  'GET /v1/addresses': 'What a caller would be told',
  'GET /v1/instances': 'Live instances',
  'POST /v1/instances/{name}/drain': 'Ask an instance to take no new requests',
  'GET /v1/usage': 'Usage by team and model in a period',
  'GET /v1/audit': 'Accepted changes: who, what, when',
  'GET /v1/writes/{name}': 'What became of a write, by its id',
  'GET /v1/requests/{name}': 'Why a request was decided as it was',
  'GET /v1/budgets/{name}/allocations': 'Where the tokens of a budget are',
  'GET /v1/crashes': 'Requests under which endpoints ended, and what is done about them',
  'DELETE /v1/crashes/{name}': 'Send such a request on as any other again',
  'GET /v1/{kind}': 'List resources of a kind',
  'GET /v1/{kind}/{name}': 'One resource with its status',
  'PUT /v1/{kind}/{name}': 'Create or replace a resource',
  'PATCH /v1/{kind}/{name}': 'Merge a patch into a resource (RFC 7396)',
  'DELETE /v1/{kind}/{name}': 'Delete a resource',
}

/** Builds the OpenAPI description from the routes and schemas that the server uses. */
export function openApiDescription(routes: readonly OperatorRoute[]) {
  const paths: Record<string, Record<string, unknown>> = {}
  for (const route of routes) {
    const operations = paths[route.path] ?? {}
    operations[route.method.toLowerCase()] = describeOperation(route)
    paths[route.path] = operations
  }
  return {
    openapi: '3.1.0',
    info: { title: 'rackwalk operator API', version: '1' },
    security: [{ token: [] }],
    paths,
    components: {
      securitySchemes: { token: { type: 'http', scheme: 'bearer' } },
      schemas: schemas(),
    },
  }
}

function describeOperation({ method, path }: OperatorRoute) {
  const names = [...path.matchAll(/\{(\w+)\}/g)].map(match => match[1])
  return {
    summary: SUMMARIES[`${method} ${path}`],
    parameters: names.map(name => ({
      name,
      in: 'path',
      required: true,
      schema: name === 'kind' ? { enum: RESOURCE_KINDS } : { type: 'string' },
    })),
    responses: { default: { description: 'JSON; errors carry a numbered code' } },
  }
}

function schemas(): Record<string, unknown> {
  return Object.fromEntries(
    RESOURCE_KINDS.map(kind => [kind, z.toJSONSchema(RESOURCE_SCHEMAS[kind], { io: 'input' })]),
  )
}
