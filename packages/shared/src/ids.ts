/**
 * Branded identifiers. A brand makes it a type error to pass a `TeamId` where an
 * `EndpointId` is wanted; at run time each one is a plain string.
 */
declare const brand: unique symbol

/** A string that carries the name of what it identifies. */
export type Branded<Name extends string> = string & { readonly [brand]: Name }

/** Names one place of the fleet, across restarts of the process that fills it. */
export type InstanceId = Branded<'InstanceId'>
/** Names one run of an instance; a restart gets a new one. */
export type IncarnationId = Branded<'IncarnationId'>
/** Names a part of a region that fails as one, such as a hall or a rack. */
export type FailureDomainId = Branded<'FailureDomainId'>
/** Names a group of failure domains that are near each other. */
export type RegionId = Branded<'RegionId'>
/** Names who pays: callers' keys and budgets belong to a team. */
export type TeamId = Branded<'TeamId'>
/** Names one prepaid budget. */
export type BudgetId = Branded<'BudgetId'>
/** Names one model engine or plain service that serves requests. */
export type EndpointId = Branded<'EndpointId'>
/**
 * Names one start of an endpoint, which may come back under the id that it had. What is believed of one start says
 * nothing of the next.
 */
export type EndpointStart = Branded<'EndpointStart'>
/**
 * Names the software that an endpoint runs; not the weights of a model, which have versions of their own. What two versions
 * write does not fit together in one stream.
 */
export type SoftwareVersion = Branded<'SoftwareVersion'>
/** Names a stream of events by the caller's try that brought its first event. */
export type StreamKey = Branded<'StreamKey'>
/** Names a model that endpoints load and callers ask for. */
export type ModelId = Branded<'ModelId'>
/** Names one request in logs, headers and decision records. */
export type RequestId = Branded<'RequestId'>
/**
 * Names what a request is, apart from this try of it: path, team and body. The same request sent again has the same
 * one, under whatever `RequestId`.
 */
export type RequestFingerprint = Branded<'RequestFingerprint'>
/** Names a part of prompts to one service or model, as requests that share it do. */
export type PromptPartKey = Branded<'PromptPartKey'>
/** Chosen by the caller; with the team it is the identity of a bill. */
export type IdempotencyKey = Branded<'IdempotencyKey'>
/** Identifies one conditional write, so that a lost answer can be asked about. */
export type TransactionId = Branded<'TransactionId'>
/** Identifies one movement of tokens between two instances. */
export type TransferId = Branded<'TransferId'>

/** Endpoints that tell no software version count as one version of their own. */
export const UNKNOWN_SOFTWARE_VERSION: SoftwareVersion = asId('')

/** The start of an endpoint at this time; undefined where its platform gives each start an id of its own. */
export function endpointStart(endpoint: string, bornAt: number | undefined): EndpointStart {
  return asId(bornAt === undefined ? endpoint : `${endpoint}@${bornAt}`)
}

/** The endpoint of a start that `endpointStart` named. */
export function endpointOf(start: EndpointStart): EndpointId {
  const end = start.lastIndexOf('@')
  return asId(end < 0 ? start : start.slice(0, end))
}

/** Brands a string; the one place where the cast is made. */
export function asId<Id extends Branded<string>>(value: string): Id {
  return value as Id
}
