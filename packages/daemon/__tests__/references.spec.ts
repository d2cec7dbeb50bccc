import { readFile } from 'node:fs/promises'
import type { Registry } from 'prom-client'
import { describe, expect, it } from 'vitest'
import { RESULT_TABLE, ResultCode, resultName } from '@rackwalk/shared'
import {
  GatewayMetrics,
  Metrics,
  OperatorRoutes,
  gatewaySettingsSchema,
  openApiDescription,
  settingsSchema,
} from '@rackwalk/daemon'

/** Pages that are generated from the code; `npx vitest run -u` regenerates them. */

const GENERATED = 'Generated from the code; the tests hold it against the code.'

function codes(): readonly ResultCode[] {
  return Object.values(ResultCode).filter((value): value is ResultCode => typeof value === 'number')
}

function resultCodePage(): string {
  const rows = codes().map(code => {
    const row = RESULT_TABLE[code]
    const wait = row.retryAfterSeconds === undefined ? '' : `${row.retryAfterSeconds} s`
    const repeatable = row.repeatable ? 'yes' : 'no'
    return `| ${code} | ${resultName(code)} | ${row.httpStatus} | ${row.execution ?? ''} | ${repeatable} | ${wait} | ${row.message} |`
  })
  return [
    '# Result codes',
    '',
    GENERATED,
    '',
    'Execution says of this attempt whether it reached an endpoint. `not-run` is given only before',
    'the first byte left for an endpoint, or where every endpoint that got the request turned it away.',
    '1xxx: the request; 2xxx: the budget; 3xxx: room and instances; 4xxx: after dispatch; 5xxx: the',
    'operator API; 6xxx: settings; 7xxx: the platform.',
    '',
    '| code | name | HTTP | execution | may be repeated | retry after | meaning |',
    '| --- | --- | --- | --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n')
}

/** The labels of a metric, which its JSON description omits. */
function labelsOf(registry: Registry, name: string): string {
  const metric = registry.getSingleMetric(name) as { readonly labelNames?: readonly string[] }
  return (metric.labelNames ?? []).map(label => `\`${label}\``).join(', ')
}

async function metricRows(registry: Registry): Promise<readonly string[]> {
  const described = await registry.getMetricsAsJSON()
  return described.map(
    ({ name, type, help }) => `| \`${name}\` | ${type} | ${labelsOf(registry, name)} | ${help} |`,
  )
}

async function metricsPage(): Promise<string> {
  const metrics = new Metrics(false)
  const zero = () => 0
  metrics.observe({
    inFlight: zero,
    queued: zero,
    journalBacklog: zero,
    liveInstances: zero,
    configurationRevision: zero,
    serving: zero,
    crashingRequests: zero,
  })
  const gateway = new GatewayMetrics({
    inFlight: zero,
    instances: zero,
    activeInstances: zero,
    sharers: zero,
    recordIntervalSeconds: zero,
    active: zero,
    abandonedShare: zero,
    refusedShare: zero,
    listening: zero,
    endpoints: zero,
    coldEndpoints: zero,
    rateLimitedEndpoints: zero,
    backingOffEndpoints: zero,
    rejectionSensitiveServices: zero,
    crashingRequests: zero,
    evacuatedDomains: zero,
    evacuatedInFlight: zero,
    configurationVersion: zero,
    ready: zero,
    storeAge: zero,
    starvedTeams: zero,
    shortBudgets: zero,
    callerConnections: zero,
  })
  const rows = [...(await metricRows(metrics.registry)), ...(await metricRows(gateway.registry))]
  const head = [
    '# Metrics',
    '',
    GENERATED,
    '',
    '| name | type | labels | meaning |',
    '| --- | --- | --- | --- |',
  ]
  return [...head, ...rows, ''].join('\n')
}

interface ShapedSchema {
  readonly shape?: Record<string, ShapedSchema>
  readonly description?: string
  unwrap?(): ShapedSchema
  readonly def?: { readonly type?: string; readonly defaultValue?: unknown }
}

/** Lists every setting with its default, by walking the schema. */
function settingRows(schema: ShapedSchema, path: string): readonly string[] {
  const inner = unwrapped(schema)
  if (inner.shape === undefined) return [settingRow(schema, path)]
  return Object.entries(inner.shape).flatMap(([name, child]) =>
    settingRows(child, path === '' ? name : `${path}.${name}`),
  )
}

function unwrapped(schema: ShapedSchema): ShapedSchema {
  const wraps = ['default', 'prefault', 'optional']
  return wraps.includes(schema.def?.type ?? '') && schema.unwrap
    ? unwrapped(schema.unwrap())
    : schema
}

function settingRow(schema: ShapedSchema, path: string): string {
  const isOptional = schema.def?.type === 'optional'
  const fallback = isOptional ? 'none' : (JSON.stringify(schema.def?.defaultValue) ?? 'required')
  const meaning = schema.description ?? unwrapped(schema).description ?? ''
  return `| \`${path}\` | ${fallback} | ${meaning} |`
}

function settingsSection(title: string, schema: unknown): readonly string[] {
  const head = [`## ${title}`, '', '| setting | default | meaning |', '| --- | --- | --- |']
  return [...head, ...settingRows(schema as ShapedSchema, ''), '']
}

function settingsPage(): string {
  return [
    '# Settings',
    '',
    GENERATED,
    '',
    ...settingsSection('Instances of `kind: gateway`', gatewaySettingsSchema),
    ...settingsSection('Instances of the OpenAI-style kind', settingsSchema),
  ].join('\n')
}

describe('reference pages', () => {
  it('list every result code', async () => {
    await expect(resultCodePage()).toMatchFileSnapshot('../../../docs/result-codes.md')
  })

  it('list every metric', async () => {
    await expect(await metricsPage()).toMatchFileSnapshot('../../../docs/metrics.md')
  })

  it('list every setting of both kinds of instance', async () => {
    await expect(settingsPage()).toMatchFileSnapshot('../../../docs/settings.md')
  })

  it('describe every route of the operator API', async () => {
    // The route table does not access its parts until a request arrives.
    const { routes } = new OperatorRoutes({} as never)
    const description = openApiDescription(routes)
    const operations = Object.values(description.paths).flatMap(path => Object.values(path))
    expect(operations).toHaveLength(routes.length)
    for (const operation of operations) {
      expect((operation as { summary?: string }).summary).toBeTypeOf('string')
    }
    const text = `${JSON.stringify(description, null, 2)}\n`
    await expect(text).toMatchFileSnapshot('../../../docs/openapi.json')
  })

  it('give each code one class of execution, "not-run" only below 4000', () => {
    for (const code of codes()) {
      if (RESULT_TABLE[code].execution !== 'not-run') continue
      expect(code, resultName(code)).toBeLessThan(4000)
    }
  })
})

describe('alert rules and dashboard', () => {
  it.each(['alerts.yaml', 'dashboard.json'])('%s names only metrics that exist', async file => {
    const text = await readFile(new URL(`../../../docs/${file}`, import.meta.url), 'utf8')
    const page = await metricsPage()
    const names = [...text.matchAll(/\brackwalk_[a-z_]+/g)].map(([name]) => name)
    expect(names.length).toBeGreaterThan(5)
    for (const name of names) {
      expect(page).toContain(`\`${name.replace(/_(bucket|sum|count)$/, '')}\``)
    }
  })
})
