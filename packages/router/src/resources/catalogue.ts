/**
 * The configuration in force, indexed for the request path. Owns the indexes, which are rebuilt
 * after each change of the configuration.
 */

import { createHash } from 'node:crypto'
import { NotRunError, ResultCode, UNKNOWN_SOFTWARE_VERSION, asId } from '@rackwalk/shared'
import type { BudgetId, EndpointId, ModelId, SoftwareVersion, TeamId } from '@rackwalk/shared'
import type { ConfigurationFollower, Resource } from '@rackwalk/coordination'
import type {
  EndpointSpec,
  PlacementSpec,
  ResourceKind,
  RoutingPolicySpec,
  TeamSpec,
} from './kinds.js'
import { routingPolicySpecSchema } from './kinds.js'
import { ReadableResources } from './readableResources.js'

/** A team as the request path needs it. */
export interface Team {
  readonly teamId: TeamId
  readonly budgetId: BudgetId
  readonly spec: TeamSpec
}

/** An endpoint as the request path needs it. */
export interface ConfiguredEndpoint {
  readonly endpointId: EndpointId
  readonly spec: EndpointSpec
}

/** Output limits of a model. */
export interface ModelLimits {
  readonly modelId: ModelId
  readonly maximumOutputTokens: number
  readonly defaultOutputTokens: number
}

const DEFAULT_POLICY: RoutingPolicySpec = routingPolicySpecSchema.parse({})

/** Looks up the configuration in force. The indexes are rebuilt after each change. */
export class Catalogue {
  private teamsByKeyHash = new Map<string, Team>()
  private endpointsById = new Map<EndpointId, ConfiguredEndpoint>()
  private limitsByModel = new Map<ModelId, ModelLimits>()
  private evacuatedDomains: ReadonlySet<string> = new Set()
  private policiesByTarget = new Map<string, RoutingPolicySpec>()
  private placementSpecs: readonly PlacementSpec[] = []
  private isStale = true
  private readonly readable: ReadableResources

  /** `onMalformed` is called for a resource that is left out because its spec cannot be read. */
  constructor(
    private readonly configuration: Pick<ConfigurationFollower, 'isLoaded' | 'list' | 'subscribe'>,
    onMalformed: (resource: Resource) => void,
  ) {
    this.readable = new ReadableResources(onMalformed)
    configuration.subscribe(() => {
      this.isStale = true
    })
  }

  /**
   * Returns the team that a caller's key belongs to. Throws if no configuration was read yet, since an unknown key is
   * refused for good.
   */
  findTeamByKey(key: string): Team | undefined {
    if (!this.configuration.isLoaded) throw new NotRunError(ResultCode.InstanceNotReady)
    this.refresh()
    return this.teamsByKeyHash.get(hashApiKey(key))
  }

  get endpoints(): readonly ConfiguredEndpoint[] {
    this.refresh()
    return [...this.endpointsById.values()]
  }

  findEndpoint(endpointId: EndpointId): ConfiguredEndpoint | undefined {
    this.refresh()
    return this.endpointsById.get(endpointId)
  }

  /** Returns the software version that the operator configured for an engine. */
  softwareVersionOf(endpointId: EndpointId): SoftwareVersion {
    const spec = this.findEndpoint(endpointId)?.spec
    const stated = spec?.kind === 'model' ? spec.softwareVersion : undefined
    return stated === undefined ? UNKNOWN_SOFTWARE_VERSION : asId(stated)
  }

  /**
   * Whether no new requests may be sent to an endpoint because its failure domain is being
   * evacuated.
   */
  isEvacuated({ spec }: ConfiguredEndpoint): boolean {
    this.refresh()
    return spec.failureDomain !== undefined && this.evacuatedDomains.has(spec.failureDomain)
  }

  /** Which endpoints should have which models loaded. */
  get placements(): readonly PlacementSpec[] {
    this.refresh()
    return this.placementSpecs
  }

  /** Models that have a placement. */
  get models(): readonly ModelLimits[] {
    this.refresh()
    return [...this.limitsByModel.values()]
  }

  findModel(modelId: ModelId): ModelLimits | undefined {
    this.refresh()
    return this.limitsByModel.get(modelId)
  }

  hasService(service: string): boolean {
    return this.endpoints.some(({ spec }) => spec.kind === 'service' && spec.service === service)
  }

  /** Returns the routing policy of a model or service. */
  policyFor(target: string): RoutingPolicySpec {
    this.refresh()
    return this.policiesByTarget.get(target) ?? DEFAULT_POLICY
  }

  /** The budgets that teams use unless a caller names another. */
  get teamBudgets(): readonly BudgetId[] {
    this.refresh()
    return [...new Set([...this.teamsByKeyHash.values()].map(team => team.budgetId))]
  }

  private refresh(): void {
    if (!this.isStale) return
    this.isStale = false
    this.teamsByKeyHash = indexTeams(this.list('teams'))
    this.endpointsById = indexEndpoints(this.list('endpoints'))
    this.placementSpecs = this.list('placements').map(
      ({ spec }) => spec as unknown as PlacementSpec,
    )
    this.limitsByModel = indexModels(this.placementSpecs)
    // Only the names of evacuations count, so that one whose spec cannot be read is in force as well.
    const evacuations = this.configuration.list('evacuations')
    this.evacuatedDomains = new Set(evacuations.map(({ metadata }) => metadata.name))
    this.policiesByTarget = indexPolicies(this.list('routing-policies'))
  }

  private list(kind: ResourceKind): readonly Resource[] {
    return this.readable.of(kind, this.configuration.list(kind))
  }
}

/** Returns the hash under which a caller's key is stored; keys are never stored in clear text. */
export function hashApiKey(key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

function indexTeams(resources: readonly Resource[]): Map<string, Team> {
  const teams = resources.map(resource => {
    const spec = resource.spec as unknown as TeamSpec
    const teamId = asId<TeamId>(resource.metadata.name)
    return { teamId, budgetId: asId<BudgetId>(spec.budget), spec }
  })
  return new Map(teams.flatMap(team => team.spec.keyHashes.map(hash => [hash, team] as const)))
}

function indexEndpoints(resources: readonly Resource[]): Map<EndpointId, ConfiguredEndpoint> {
  return new Map(
    resources.map(resource => {
      const endpointId = asId<EndpointId>(resource.metadata.name)
      return [endpointId, { endpointId, spec: resource.spec as unknown as EndpointSpec }] as const
    }),
  )
}

function indexModels(placements: readonly PlacementSpec[]): Map<ModelId, ModelLimits> {
  return new Map(
    placements.map(spec => {
      const modelId = asId<ModelId>(spec.model)
      const { maximumOutputTokens, defaultOutputTokens } = spec
      return [modelId, { modelId, maximumOutputTokens, defaultOutputTokens }] as const
    }),
  )
}

function indexPolicies(resources: readonly Resource[]): Map<string, RoutingPolicySpec> {
  return new Map(
    resources.flatMap(resource => {
      const spec = resource.spec as unknown as RoutingPolicySpec
      const target = spec.model ?? spec.service
      return target === undefined ? [] : [[target, spec] as const]
    }),
  )
}
