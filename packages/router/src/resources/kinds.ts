/**
 * Schemas of all resources that operators configure. Both the API and the settings validate against
 * them.
 */

import * as z from 'zod'
import { nameSchema } from './name.js'

/** Lower-case hexadecimal SHA-256. */
const HASH_PATTERN = /^[0-9a-f]{64}$/

const tokens = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER)

/** A customer of the operator, with the hashes of its callers' keys. */
const teamSpecSchema = z.strictObject({
  displayName: z.string().max(200).optional(),
  /** Budget that pays for the team's requests. */
  budget: nameSchema,
  /** SHA-256 of each valid key. Two valid keys at a time allow a rotation without a gap. */
  keyHashes: z.array(z.string().regex(HASH_PATTERN, 'SHA-256 in hexadecimal')).max(16),
  /** Weight in the queue relative to other teams. */
  weight: z.number().positive().max(1000).default(1),
  /** Models that the team may use; all models if absent. */
  models: z.array(nameSchema).optional(),
})

/** Prepaid tokens of a team. */
const budgetSpecSchema = z.strictObject({
  team: nameSchema,
  limit: tokens,
})

/** A model engine or a plain service. */
const endpointSpecSchema = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('model'),
    address: z.url({ protocol: /^http$/ }),
    models: z.array(nameSchema).min(1),
    failureDomain: nameSchema.optional(),
    maximumInFlight: z.number().int().positive().max(10_000).default(64),
    /** Prompt tokens that the engine prefills per second, for the first estimate. */
    prefillTokensPerSecond: z.number().positive().default(8_000),
    /**
     * Whether the engine compares the epochs of orders. An engine that does not obeys every order.
     */
    checksOrders: z.boolean().default(true),
    /**
     * Whether the engine continues the last message of a chat if `continue_final_message` is set;
     * an engine that does not would start over. Has no default, so that stored rows stay as they
     * are.
     */
    continuesAnswers: z.boolean().optional(),
    /**
     * Version of the engine's software, templates and weights together. Only an engine of the same
     * version continues a chat. Engines without a configured version count as one version.
     */
    softwareVersion: z.string().min(1).max(100).optional(),
  }),
  z.strictObject({
    kind: z.literal('service'),
    address: z.url({ protocol: /^http$/ }),
    service: nameSchema,
    failureDomain: nameSchema.optional(),
    maximumInFlight: z.number().int().positive().max(10_000).default(256),
  }),
])

/** Which endpoints should have a model loaded. */
const placementSpecSchema = z.strictObject({
  model: nameSchema,
  version: z.string().min(1).max(100),
  adapters: z.array(nameSchema).default([]),
  replicas: z.number().int().nonnegative().max(10_000),
  /** Maximum number of tokens in one answer. */
  maximumOutputTokens: z.number().int().positive().max(1_000_000).default(4_096),
  /** Output limit of requests that specify none. */
  defaultOutputTokens: z.number().int().positive().max(1_000_000).default(1_024),
})

/** Names of the routing policies. */
export const ROUTING_POLICY_NAMES = [
  'random',
  'round-robin',
  'least-in-flight',
  'two-choices',
  'expected-first-token',
] as const

/** How requests for one model or service are routed and queued. */
export const routingPolicySpecSchema = z.strictObject({
  model: nameSchema.optional(),
  service: nameSchema.optional(),
  policy: z.enum(ROUTING_POLICY_NAMES).default('expected-first-token'),
  maximumQueue: z.number().int().nonnegative().max(100_000).default(256),
  maximumQueueMilliseconds: z.number().int().positive().max(600_000).default(2_000),
  /** Retries as a share of requests. */
  retryShare: z.number().min(0).max(1).default(0.1),
})

/**
 * The evacuation of a failure domain, which the resource's name identifies. Its endpoints get no
 * new requests while the resource exists.
 */
const evacuationSpecSchema = z.strictObject({
  /** Reason of the evacuation, for later reference. */
  reason: z.string().max(200).optional(),
})

/** A team as operators write it. */
export type TeamSpec = z.infer<typeof teamSpecSchema>
/** A budget as operators write it. */
export type BudgetSpec = z.infer<typeof budgetSpecSchema>
/** An endpoint of either kind as operators write it. */
export type EndpointSpec = z.infer<typeof endpointSpecSchema>
/** An endpoint that serves models. */
export type ModelEndpointSpec = Extract<EndpointSpec, { kind: 'model' }>
/** A placement as operators write it. */
export type PlacementSpec = z.infer<typeof placementSpecSchema>
/** A routing policy with its defaults filled in. */
export type RoutingPolicySpec = z.infer<typeof routingPolicySpecSchema>
/** The name of a routing policy. */
export type RoutingPolicyName = (typeof ROUTING_POLICY_NAMES)[number]

/** All kinds of resources with the schemas of their specs. */
export const RESOURCE_SCHEMAS = {
  teams: teamSpecSchema,
  budgets: budgetSpecSchema,
  endpoints: endpointSpecSchema,
  placements: placementSpecSchema,
  'routing-policies': routingPolicySpecSchema,
  evacuations: evacuationSpecSchema,
} as const

/** The kind of a resource, as used in paths. */
export type ResourceKind = keyof typeof RESOURCE_SCHEMAS

export const RESOURCE_KINDS = Object.keys(RESOURCE_SCHEMAS) as readonly ResourceKind[]

/**
 * Kinds that every instance keeps in memory. Budgets are not included: there may be hundreds of
 * thousands, and the ledger reads the rows of those in use.
 */
export const FOLLOWED_KINDS: readonly ResourceKind[] = [
  'teams',
  'endpoints',
  'placements',
  'routing-policies',
  'evacuations',
]

/** Whether a text names a kind of resource. */
export function isResourceKind(kind: string): kind is ResourceKind {
  return kind in RESOURCE_SCHEMAS
}
