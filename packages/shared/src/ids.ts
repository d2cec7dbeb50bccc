/**
 * Branded identifiers. A brand makes it a type error to pass a `TeamId` where an `EndpointId` is
 * expected; at run time each identifier is a plain string.
 */
declare const brand: unique symbol

/** A string type with the name of what it identifies. */
export type Branded<Name extends string> = string & { readonly [brand]: Name }

/** Identifies one instance of the fleet across restarts of its process. */
export type InstanceId = Branded<'InstanceId'>
/** Identifies one run of an instance; a restart gets a new one. */
export type IncarnationId = Branded<'IncarnationId'>
/** Identifies a part of a region that fails as one, such as a hall or a rack. */
export type FailureDomainId = Branded<'FailureDomainId'>
/** Identifies a group of failure domains that are near each other. */
export type RegionId = Branded<'RegionId'>
/** Identifies a team, which pays for requests: callers' keys and budgets belong to a team. */
export type TeamId = Branded<'TeamId'>
/** Identifies one prepaid budget. */
export type BudgetId = Branded<'BudgetId'>
/** Identifies one model engine or plain service that serves requests. */
export type EndpointId = Branded<'EndpointId'>
/**
 * Identifies one start of an endpoint, which may return under the same endpoint id. What is known
 * of one start does not apply to the next.
 */
export type EndpointStart = Branded<'EndpointStart'>
/**
 * Identifies the version of the software that an endpoint runs, not of the model weights, which
 * have their own versions. Output of two software versions cannot be joined in one stream.
 */
export type SoftwareVersion = Branded<'SoftwareVersion'>
/** Identifies a stream of events by the caller's attempt that delivered its first event. */
export type StreamKey = Branded<'StreamKey'>
/** Identifies a model that endpoints load and callers ask for. */
export type ModelId = Branded<'ModelId'>
/** Identifies one request in logs, headers and decision records. */
export type RequestId = Branded<'RequestId'>
/**
 * Identifies the content of a request, that is, path, team and body, apart from the attempt. The
 * same request sent again has the same fingerprint, whatever its `RequestId`.
 */
export type RequestFingerprint = Branded<'RequestFingerprint'>
/** Identifies a part of prompts to one service or model that several requests share. */
export type PromptPartKey = Branded<'PromptPartKey'>
/** Chosen by the caller; together with the team it identifies a bill. */
export type IdempotencyKey = Branded<'IdempotencyKey'>
/** Identifies one conditional write, so that its outcome can be queried after a lost answer. */
export type TransactionId = Branded<'TransactionId'>
/** Identifies one transfer of tokens between two instances. */
export type TransferId = Branded<'TransferId'>

/** Endpoints that report no software version count as one version of their own. */
export const UNKNOWN_SOFTWARE_VERSION: SoftwareVersion = asId('')

/**
 * Returns the id of an endpoint's start at this time; `bornAt` is undefined where the platform
 * gives each start its own endpoint id.
 */
export function endpointStart(endpoint: string, bornAt: number | undefined): EndpointStart {
  return asId(bornAt === undefined ? endpoint : `${endpoint}@${bornAt}`)
}

/** Returns the endpoint of a start that was created by `endpointStart`. */
export function endpointOf(start: EndpointStart): EndpointId {
  const end = start.lastIndexOf('@')
  return asId(end < 0 ? start : start.slice(0, end))
}

/** Brands a string; the only place that casts. */
export function asId<Id extends Branded<string>>(value: string): Id {
  return value as Id
}
