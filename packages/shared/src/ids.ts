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
 * Identifies one run (start) of an endpoint: an endpoint that ended may start again under the same
 * endpoint id. What an instance has learned about one run does not apply to the next.
 */
export type EndpointStart = Branded<'EndpointStart'>
/**
 * Identifies the version of the software that an endpoint runs. Model weights have versions of
 * their own. Output of two software versions cannot be joined in one stream.
 */
export type SoftwareVersion = Branded<'SoftwareVersion'>
/** Identifies a stream of events by the caller's attempt that delivered the first event. */
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
/** A key that the caller chooses for a request; together with the team it identifies a bill. */
export type IdempotencyKey = Branded<'IdempotencyKey'>
/** Identifies one conditional write, so that its outcome can be queried after a lost answer. */
export type TransactionId = Branded<'TransactionId'>
/** Identifies one transfer of tokens between two instances. */
export type TransferId = Branded<'TransferId'>

/** The version of all endpoints that report none; they count as running the same software. */
export const UNKNOWN_SOFTWARE_VERSION: SoftwareVersion = asId('')

/**
 * Returns the id of one run of an endpoint. `discriminator` is a number that distinguishes the runs
 * under the same endpoint id, such as the start time; undefined where the platform gives each run
 * its own endpoint id, or where the runs are not distinguished.
 */
export function endpointStart(endpoint: string, discriminator: number | undefined): EndpointStart {
  return asId(discriminator === undefined ? endpoint : `${endpoint}@${discriminator}`)
}

/**
 * Returns the endpoint of a run whose id was created by `endpointStart`. An endpoint id that
 * contains `@` is returned whole only if the run's id has a discriminator.
 */
export function endpointOf(start: EndpointStart): EndpointId {
  const end = start.lastIndexOf('@')
  return asId(end < 0 ? start : start.slice(0, end))
}

/** Brands a string as an identifier, without checking it; the only cast to these types. */
export function asId<Id extends Branded<string>>(value: string): Id {
  return value as Id
}
