/** Shapes of everything that operators configure; the API and the settings both check them. */

import * as z from 'zod'
import { nameSchema } from './name.js'

/** Lower-case hexadecimal SHA-256. */
const HASH_PATTERN = /^[0-9a-f]{64}$/

const tokens = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER)

/** A customer of the operator, with the keys its callers show. */
const teamSpecSchema = z.strictObject({
  displayName: z.string().max(200).optional(),
  /** Budget from which its requests are paid. */
  budget: nameSchema,
  /** SHA-256 of each valid key; two at once let a key be rotated without a gap. */
  keyHashes: z.array(z.string().regex(HASH_PATTERN, 'SHA-256 in hexadecimal')).max(16),
  /** Share in the queue relative to other teams. */
  weight: z.number().positive().max(1000).default(1),
  /** Models that it may use; all of them where absent. */
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
    /** Prompt tokens that the engine takes in per second, for the first estimate. */
    prefillTokensPerSecond: z.number().positive().default(8_000),
    /** Whether the engine compares the epoch of orders; one that does not takes any. */
    checksOrders: z.boolean().default(true),
    /**
     * Whether the engine goes on after the last message of a chat when `continue_final_message` says so; one that does not
     * would begin anew. Without a default, so that rows are as they were.
     */
    continuesAnswers: z.boolean().optional(),
    /**
     * Of the engine's software, templates and weights together: another engine goes on with a chat only at the same one. Engines
     * of which none is stated count as one version.
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
  /** Greatest number of tokens that one answer may have. */
  maximumOutputTokens: z.number().int().positive().max(1_000_000).default(4_096),
  /** Output limit of requests that state none. */
  defaultOutputTokens: z.number().int().positive().max(1_000_000).default(1_024),
})

/** Names of the ways to choose an endpoint. */
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

/** A failure domain, by the resource's name, whose endpoints get nothing new while the resource is there. */
const evacuationSpecSchema = z.strictObject({
  /** Why, for whoever asks later. */
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
/** How requests are routed and queued, with defaults filled in. */
export type RoutingPolicySpec = z.infer<typeof routingPolicySpecSchema>
/** The name of a way to choose an endpoint. */
export type RoutingPolicyName = (typeof ROUTING_POLICY_NAMES)[number]

/** Every kind of resource with the schema of its spec. */
export const RESOURCE_SCHEMAS = {
  teams: teamSpecSchema,
  budgets: budgetSpecSchema,
  endpoints: endpointSpecSchema,
  placements: placementSpecSchema,
  'routing-policies': routingPolicySpecSchema,
  evacuations: evacuationSpecSchema,
} as const

/** The kind of a resource, as it stands in paths. */
export type ResourceKind = keyof typeof RESOURCE_SCHEMAS

export const RESOURCE_KINDS = Object.keys(RESOURCE_SCHEMAS) as readonly ResourceKind[]

/**
 * Kinds that every instance keeps in memory. Budgets are not among them: there may be
 * hundreds of thousands, and the ledger reads the rows of those in use.
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
