/** The request path as filters, and the routing and placement decisions. */
export type { CallerConnection, IncomingRequest } from './callerConnection.js'
export type { DecisionRecord, RoutingRecord } from './decisionRecord.js'
export { errorBody, errorEvent, errorHeaders } from './errorBody.js'
export type { ErrorBody } from './errorBody.js'
export { readBody } from './readBody.js'
export { RequestPipeline } from './requestPipeline.js'
export type { PipelineParts, RequestFilters } from './requestPipeline.js'
export { RequestScope } from './requestScope.js'

export { AdmitFilter } from './filters/admit.js'
export { AuthenticateFilter } from './filters/authenticate.js'
export { ClaimFilter } from './filters/claim.js'
export { CompleteFilter } from './filters/complete.js'
export { DeduplicateFilter } from './filters/deduplicate.js'
export { DispatchFilter, LEAVING_HEADER } from './filters/dispatch.js'
export { CHAT_PATH, ParseFilter } from './filters/parse.js'
export type { CallerLimits } from './filters/parse.js'
export { RelayFilter } from './filters/relay.js'
export { ReserveFilter } from './filters/reserve.js'
export { RouteFilter } from './filters/route.js'
export { SettleFilter } from './filters/settle.js'
export type { Filter, ParsedRequest, ReceivedRequest } from './filters/stages.js'

export { EndpointClient } from './engine/endpointClient.js'
export { EventSplitter, isDoneEvent, isUsageEvent } from './engine/eventSplitter.js'
export { parseChatRequest } from './engine/chatRequest.js'
export { parseCacheEvents, parseLoadReport } from './engine/reports.js'
export type { LoadedModel, ParsedReport } from './engine/reports.js'
export { promptTokenBound, promptTokenEstimate } from './engine/tokenBound.js'
export { findUsage } from './engine/usage.js'

export { Ejection } from './limits/ejection.js'
export { FairQueue } from './limits/fairQueue.js'
export type { QueueDemand, QueueLimits, QueueOutcome } from './limits/fairQueue.js'
export { RetryBudget, backoffMilliseconds } from './limits/retryBudget.js'

export { EndpointRouter } from './routing/endpointRouter.js'
export { EndpointTable } from './routing/endpointTable.js'
export type { EndpointSource } from './routing/endpointTable.js'
export type {
  EndpointView,
  LoadReport,
  RoutedDemand,
  RoutingChoice,
  ScoredEndpoint,
} from './routing/endpointView.js'
export {
  PREFIX_BLOCK_BYTES,
  PREFIX_BLOCK_TOKENS,
  PrefixIndex,
  prefixHashes,
} from './routing/prefixIndex.js'
export type { CacheEvent, PrefixHash } from './routing/prefixIndex.js'
export {
  createRoutingPolicy,
  estimatedRequests,
  expectedFirstToken,
} from './routing/routingPolicy.js'
export type { RoutingPolicy } from './routing/routingPolicy.js'

export { planPlacements } from './placement/planner.js'
export type { PlaceableEndpoint, PlacementOrder, PlanLimits } from './placement/planner.js'

export { Catalogue, hashKey } from './resources/catalogue.js'
export type { ConfiguredEndpoint, ModelLimits, Team } from './resources/catalogue.js'
export {
  FOLLOWED_KINDS,
  RESOURCE_KINDS,
  RESOURCE_SCHEMAS,
  ROUTING_POLICY_NAMES,
  isResourceKind,
  nameSchema,
} from './resources/kinds.js'
export type {
  BudgetSpec,
  EndpointSpec,
  ModelEndpointSpec,
  PlacementSpec,
  ResourceKind,
  RoutingPolicyName,
  RoutingPolicySpec,
  TeamSpec,
} from './resources/kinds.js'

export { Gateway } from './gateway/gateway.js'
export type { GatewayParts } from './gateway/gateway.js'
export { RouteTable, chooseService } from './gateway/gatewayConfiguration.js'
export type {
  GatewayConfiguration,
  GatewayEngine,
  GatewayLimits,
  GatewayRoute,
  GatewayService,
  GatewayTenant,
  RouteTarget,
} from './gateway/gatewayConfiguration.js'
export type { AttemptRecord, GatewayRecord } from './gateway/gatewayRecord.js'
export type {
  Dialect,
  ForwardMetadata,
  PromptPart,
  ReplyMetadata,
  RequestMetadata,
  ServerLoad,
} from './gateway/dialect.js'
export { withoutConnectionHeaders } from './gateway/connectionHeaders.js'
export { spentTokens } from './gateway/dispatch.js'
export type { DispatchResult } from './gateway/dispatch.js'
export { FleetLoad } from './gateway/fleetLoad.js'
export type { FleetLoadParts } from './gateway/fleetLoad.js'
export { LoadReporter } from './gateway/loadReporter.js'
export { PeerLoads } from './gateway/peerLoads.js'
export { PromptCaches } from './gateway/promptCaches.js'
export type { InstanceLoad, PeerLoadReport, ServerReport } from './gateway/peerLoads.js'
export { EventRelay } from './gateway/eventRelay.js'
export { RetryWindow } from './gateway/retryWindow.js'
export type { RetryBounds } from './gateway/retryWindow.js'
export { idleMilliseconds } from './gateway/serverAgent.js'
export { rankServers } from './gateway/serverChoice.js'
export type { ChoiceInputs, ServerScore } from './gateway/serverChoice.js'
export { ServerDirectory, ServerState } from './gateway/serverDirectory.js'
export type { ServerDirectoryParts, ServerRecord } from './gateway/serverDirectory.js'
