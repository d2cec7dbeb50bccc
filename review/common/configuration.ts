/** A configuration like that of the site `docworks-rackwalk`, with its application service alone. */

export const HOST = 'manuals.example'
export const KEY = 'n2ctnfzs989anu6wsjnb'
export const SERVICE = 'docs-web'
export const FETCH_PATH = '/pages/2f'
export const DEADLINE_MILLISECONDS = 2_500

/** The route of `page-fetch`: not idempotent, sent to one server at most. */
export function docsConfiguration() {
  return {
    version: 7,
    routes: [
      {
        name: 'page-fetch',
        host: HOST,
        path_prefix: '/pages/',
        type: 'non_idempotent',
        service: SERVICE,
        timeout_ms: 1_200,
        goal_ms: 150,
        max_attempts: 1,
        priority: 2,
      },
    ],
    services: [{ name: SERVICE, health_path: '/healthz', max_conns: 110 }],
    tenants: [{ name: 'hule930', api_keys: [KEY] }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  }
}
