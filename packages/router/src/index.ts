/** The request path as filters, and the routing and placement decisions. */
export type { CallerConnection, IncomingRequest } from './callerConnection.js'
export type { DecisionRecord, RoutingRecord } from './decisionRecord.js'
export { errorBody, errorEvent, errorHeaders } from './errorBody.js'
export { StandardReturnTime } from './returnTime.js'
export { readBody } from './readBody.js'
export { RefusedBodies, continueWhenRead } from './refusedBodies.js'
export type {
  Refusal,
  RefusalAfter,
  RefusedBodyCounters,
  RefusedBodyOutcome,
} from './refusedBodies.js'
export { RequestPipeline } from './requestPipeline.js'

export { AdmitFilter } from './filters/admit.js'
export { AuthenticateFilter } from './filters/authenticate.js'
export { ClaimFilter } from './filters/claim.js'
export { CompleteFilter } from './filters/complete.js'
export { DeduplicateFilter } from './filters/deduplicate.js'
export { DispatchFilter } from './filters/dispatch.js'
export { ParseFilter } from './filters/parse.js'
export { AnswerContinuation } from './filters/continueAnswer.js'
export { RelayFilter } from './filters/relay.js'
export { ReserveFilter } from './filters/reserve.js'
export { RouteFilter } from './filters/route.js'
export { ScreenFilter } from './filters/screen.js'
export { SettleFilter } from './filters/settle.js'
export type { ParsedRequest } from './filters/stages.js'

export { HOLD_LIMITS, HoldSpace, holdKind } from './engine/answerHold.js'
export { JsonProof } from './engine/bodyProof.js'
export { EndpointClient } from './engine/endpointClient.js'
export { EventSplitter } from './engine/eventSplitter.js'
export { parseChatRequest } from './engine/chatRequest.js'
export { parseCacheEvents, parseLoadReport } from './engine/reports.js'
export { promptTokenEstimate } from './engine/tokenBound.js'
export { findUsage } from './engine/usage.js'

export { Ejection } from './limits/ejection.js'
export { FairQueue } from './limits/fairQueue.js'
export type { QueueDemand } from './limits/fairQueue.js'
export { RetryBudget, backoffMilliseconds } from './limits/retryBudget.js'

export { EndpointRouter } from './routing/endpointRouter.js'
export { EndpointTable } from './routing/endpointTable.js'
export type { EndpointSource } from './routing/endpointTable.js'
export type { EndpointView, LoadReport } from './routing/endpointView.js'
export {
  PREFIX_BLOCK_BYTES,
  PREFIX_BLOCK_TOKENS,
  PrefixIndex,
  prefixHashes,
} from './routing/prefixIndex.js'
export type { CacheEvent } from './routing/prefixIndex.js'
export { createRoutingPolicy } from './routing/routingPolicy.js'
export type { RoutingPolicy } from './routing/routingPolicy.js'

export { planPlacements } from './placement/planner.js'
export type { PlaceableEndpoint, PlacementOrder } from './placement/planner.js'

export { Catalogue, hashKey } from './resources/catalogue.js'
export type { ConfiguredEndpoint, Team } from './resources/catalogue.js'
export {
  FOLLOWED_KINDS,
  RESOURCE_KINDS,
  RESOURCE_SCHEMAS,
  ROUTING_POLICY_NAMES,
  isResourceKind,
} from './resources/kinds.js'
export type {
  BudgetSpec,
  ModelEndpointSpec,
  PlacementSpec,
  ResourceKind,
  RoutingPolicyName,
} from './resources/kinds.js'

export { nameSchema } from './resources/name.js'

export { EndpointEnds } from './crashes/endpointEnds.js'
export type { EndpointEnd } from './crashes/endpointEnds.js'
export { CrashGuard } from './crashes/crashGuard.js'
export { ContinuedEvents } from './engine/continuedEvents.js'
export { KeptAnswer } from './engine/keptAnswer.js'
export { OpenExchanges } from './engine/openExchanges.js'
export { probeEndpoint } from './crashes/endpointProbe.js'
export { forgetRecord, marksOfPart, observeRecords, recordKeyOf } from './crashes/partRecords.js'
export { probeReached } from './crashes/reachedProbe.js'

export { Gateway } from './gateway/gateway.js'
export { ChatHandOver } from './filters/handOver.js'
export { EndpointLinks } from './routing/endpointLinks.js'
export type { WatchedEndpoint } from './routing/linkWatch.js'
export { LinkWatch } from './routing/linkWatch.js'
export { EndpointAgent } from './gateway/endpointAgent.js'
export { RELAYED_BY } from './gateway/peerRelay.js'
export type { RelayPeer, RelayPeers } from './gateway/peerRelay.js'
export { RouteTable } from './gateway/gatewayConfiguration.js'
export type {
  GatewayConfiguration,
  GatewayLimits,
  GatewayRoute,
  GatewayService,
  GatewayTeam,
} from './gateway/gatewayConfiguration.js'
export type {
  AnswerRecord,
  AttemptRecord,
  GatewayRecord,
  RelayRecord,
} from './gateway/gatewayRecord.js'
export type {
  Dialect,
  ForwardMetadata,
  PromptPart,
  ReplyMetadata,
  RequestMetadata,
  EndpointLoad,
} from './gateway/dialect.js'
export { withoutConnectionHeaders } from './gateway/connectionHeaders.js'
export { StreamOrigins } from './streams/streamOrigins.js'
export type { OriginAnswer, ResumedStream, StreamNews } from './streams/streamOrigins.js'
export { StreamMemory } from './streams/streamMemory.js'
export type { BegunStream } from './streams/streamMemory.js'
export { FleetLoad } from './gateway/fleetLoad.js'
export { LoadReporter } from './gateway/loadReporter.js'
export { PeerLoads, USING_MILLISECONDS } from './gateway/peerLoads.js'
export { PromptCaches } from './gateway/promptCaches.js'
export type { PeerLoadReport } from './gateway/peerLoads.js'
export { latenessOf } from './gateway/lateness.js'
export { PauseMeter } from './gateway/pauseMeter.js'
export { ReadingMeter } from './gateway/readingMeter.js'
export { StreamPace } from './gateway/streamPace.js'
export { UpstreamExchange } from './gateway/upstreamExchange.js'
export type { AbortReason } from './gateway/upstreamExchange.js'
export { CallerReply } from './gateway/callerReply.js'
export { EventRelay } from './gateway/eventRelay.js'
export { sharedPartOf, snapshotEndpoint } from './gateway/endpointSnapshots.js'
export { EndpointDirectory } from './gateway/endpointDirectory.js'
export type { EndpointRecord, EndpointState } from './gateway/endpointState.js'
export { EndpointAdvices } from './advice/endpointAdvices.js'
export { RecentSends } from './advice/recentSends.js'
export { SendPermits } from './advice/sendPermits.js'
export { TurnAwayGuard } from './advice/turnAwayGuard.js'
export { publishedAdvice } from './advice/publishedAdvice.js'
