/** A small fleet of the OpenAI-style kind that is configured and serves requests, for tests. */

import { hashApiKey } from '@rackwalk/router'
import type { Logger } from '@rackwalk/daemon'
import { EngineStandIn } from './engine/engineStandIn.js'
import type { EngineOptions } from './engine/engineStandIn.js'
import { LocalFleet } from './localFleet.js'
import type { FleetMember, FleetOptions } from './localFleet.js'
import { LocalPlatform } from './localPlatform.js'
import type { ResourceDocument } from './operatorClient.js'
import { ServiceStandIn } from './serviceStandIn.js'

/** Options of a configured fleet. */
export interface ConfiguredFleetOptions extends Partial<Omit<FleetOptions, 'logger'>> {
  readonly engines?: number
  readonly engineOptions?: Partial<EngineOptions>
  readonly budgetTokens?: number
  readonly logger?: Logger
}

export const TEAM_KEY = 'team-key'
export const OTHER_TEAM_KEY = 'other-team-key'
export const MODEL = 'assistant'
const DEFAULT_BUDGET = 100_000_000

const SILENT: Logger = { info: () => undefined, warn: () => undefined }

/** A fleet with engines, one plain service, two teams and their budgets, ready to serve. */
export class ConfiguredFleet {
  readonly platform = new LocalPlatform()
  readonly engines: EngineStandIn[] = []
  readonly service = new ServiceStandIn('pitches')
  readonly fleet: LocalFleet
  private readonly options: ConfiguredFleetOptions

  constructor(options: ConfiguredFleetOptions = {}) {
    this.options = options
    this.fleet = new LocalFleet(this.platform, {
      instances: 3,
      operatorToken: 'operator-token',
      logger: SILENT,
      // Short periods, because tests wait for state that arrives with heartbeats.
      timings: {
        heartbeatMilliseconds: 150,
        configurationMilliseconds: 300,
        reportMilliseconds: 100,
      },
      ...options,
    })
  }

  async start(): Promise<this> {
    await this.platform.start()
    const endpoints = await this.startEndpoints()
    await this.fleet.start()
    await this.apply([...this.teams(), ...endpoints, this.placement()])
    return this
  }

  /** Writes resources and waits until all instances have applied them. */
  async apply(resources: readonly ResourceDocument[]): Promise<void> {
    let revision = 0
    for (const resource of resources) {
      const { status, body } = await this.fleet.operator().put(resource)
      if (status !== 200) throw new Error(JSON.stringify(body))
      revision = (body['metadata'] as { version: number }).version
    }
    await this.fleet.whenInForce(revision)
  }

  /** Returns the URL on which an instance serves callers. */
  callers(number = 0): string {
    return `http://${this.addresses(number).callers}`
  }

  operators(number = 0): string {
    return `http://${this.addresses(number).operators}`
  }

  async stop(): Promise<void> {
    await this.fleet.stop()
    for (const engine of this.engines) engine.terminate()
    this.service.stop()
    this.platform.stop()
  }

  private addresses(number: number): FleetMember['addresses'] {
    const member = this.fleet.members[number]
    if (member === undefined) throw new Error(`no instance ${number}`)
    return member.addresses
  }

  private async startEndpoints(): Promise<readonly ResourceDocument[]> {
    const documents: ResourceDocument[] = []
    for (let number = 0; number < (this.options.engines ?? 2); number += 1) {
      const engine = new EngineStandIn(this.options.engineOptions)
      this.engines.push(engine)
      const port = await engine.listen()
      documents.push(endpointDocument(`engine-${number}`, port, this.engineSpec()))
    }
    const port = await this.service.listen()
    return [
      ...documents,
      endpointDocument('service', port, { kind: 'service', service: 'pitches' }),
    ]
  }

  private engineSpec() {
    const continuesAnswers = this.options.engineOptions?.continuesAnswers ?? true
    return { kind: 'model', models: [MODEL], continuesAnswers }
  }

  private teams(): readonly ResourceDocument[] {
    const limit = this.options.budgetTokens ?? DEFAULT_BUDGET
    return [
      ['team', TEAM_KEY],
      ['other', OTHER_TEAM_KEY],
    ].flatMap(([name = '', key = '']) => [
      { kind: 'budgets', metadata: { name }, spec: { team: name, limit } },
      { kind: 'teams', metadata: { name }, spec: { budget: name, keyHashes: [hashApiKey(key)] } },
    ])
  }

  private placement(): ResourceDocument {
    const replicas = this.options.engines ?? 2
    const spec = { model: MODEL, version: '1', replicas, defaultOutputTokens: 64 }
    return { kind: 'placements', metadata: { name: MODEL }, spec }
  }
}

function endpointDocument(name: string, port: number, spec: Record<string, unknown>) {
  const address = `http://127.0.0.1:${port}`
  return { kind: 'endpoints', metadata: { name }, spec: { ...spec, address } }
}
