/** The request path as filters, and the routing and placement decisions. */
export type { CallerConnection, IncomingRequest } from './callerConnection.js'
export type { DecisionRecord, RoutingRecord } from './decisionRecord.js'
export { errorBody, errorEvent, errorHeaders } from './errorBody.js'
export { StandardRetryAfter } from './retryAfter.js'
export { BodyMemory } from './bodies/bodyMemory.js'
export type { BodyLease } from './bodies/bodyMemory.js'
export { readBody } from './bodies/readBody.js'
export { RefusedBodyHandler, sendContinueOnRead } from './refusedBodyHandler.js'
export type {
  Refusal,
  RefusalFactory,
  RefusedBodyCounters,
  RefusedBodyOutcome,
} from './refusedBodyHandler.js'
export { RequestPipeline } from './requestPipeline.js'

export { AdmitFilter } from './filters/admit.js'
export { AuthenticateFilter } from './filters/authenticate.js'
export { ClaimFilter } from './filters/claim.js'
export { CompleteFilter } from './filters/complete.js'
export { DeduplicateFilter } from './filters/deduplicate.js'
export { DispatchFilter } from './filters/dispatch.js'
export { ParseFilter } from './filters/parse.js'
export { AnswerContinuation } from './filters/continueAnswer.js'
export { DeliveryFilter } from './filters/delivery.js'
export { ReserveFilter } from './filters/reserve.js'
export { RouteFilter } from './filters/route.js'
export { CrashScreenFilter } from './filters/crashScreen.js'
export { SettleFilter } from './filters/settle.js'
export type { ParsedRequest } from './filters/stages.js'

export { ANSWER_BUFFER_LIMITS, AnswerBufferPool, bufferingModeOf } from './engine/answerBuffer.js'
export { JsonCompletenessCheck } from './engine/bodyCompleteness.js'
export { EndpointClient } from './engine/endpointClient.js'
export { HeldBytes } from './engine/heldBytes.js'
export { EventSplitter } from './engine/eventSplitter.js'
export { parseChatRequest } from './engine/chatRequest.js'
export { parseCacheEvents, parseLoadReport } from './engine/engineReports.js'
export { promptTokenEstimate } from './engine/tokenBound.js'
export { findUsage } from './engine/usage.js'

export { OutlierEjection } from './limits/outlierEjection.js'
export { FairQueue } from './limits/fairQueue.js'
export type { QueueRequest } from './limits/fairQueue.js'
export { RetryBudget, backoffMilliseconds } from './limits/retryBudget.js'

export { EndpointRouter } from './routing/endpointRouter.js'
export { EndpointTable } from './routing/endpointTable.js'
export type { EndpointCatalogue } from './routing/endpointTable.js'
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
export type { PlannerEndpoint, PlacementOrder } from './placement/planner.js'

export { Catalogue, hashApiKey } from './resources/catalogue.js'
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
  ResourceKind,
  RoutingPolicyName,
} from './resources/kinds.js'

export { nameSchema } from './resources/name.js'

export { EndpointCrashDetector } from './crashes/endpointCrashDetector.js'
export type { EndpointCrash } from './crashes/endpointCrashDetector.js'
export { CrashGuard } from './crashes/crashGuard.js'
export { ContinuationRewriter, FingerprintMismatchError } from './engine/continuationRewriter.js'
export { DeliveredChat } from './engine/deliveredChat.js'
export { InFlightExchanges } from './engine/inFlightExchanges.js'
export { probeEndpoint } from './crashes/endpointProbe.js'
export {
  forgetRecord,
  marksOfPart,
  observeRecords,
  recordKeyOf,
} from './crashes/promptPartRecords.js'
export { probeWithLinkCheck } from './crashes/probeWithLinkCheck.js'

export { Gateway } from './gateway/gateway.js'
export { ChatRelay } from './filters/chatRelay.js'
export { EndpointLinks } from './routing/endpointLinks.js'
export type { MonitoredEndpoint } from './routing/linkMonitor.js'
export { isLinkUp } from './routing/linkProbe.js'
export { LinkMonitor } from './routing/linkMonitor.js'
export { EndpointAgent } from './gateway/endpointAgent.js'
export { PeerRelay, RELAYED_BY } from './gateway/peerRelay.js'
export type { RelayPeer, RelayPeers } from './gateway/peerRelay.js'
export { RouteTable } from './gateway/gatewayConfiguration.js'
export { VersionedDenials } from './gateway/versionedDenials.js'
export type { ContradictedDenial } from './gateway/versionedDenials.js'
export type {
  GatewayConfiguration,
  GatewayLimits,
  GatewayRoute,
  GatewayService,
  GatewayTeam,
} from './gateway/gatewayConfiguration.js'
export { notRunCause } from './gateway/notRunCause.js'
export type { NotRunCause } from './gateway/notRunCause.js'
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
export type {
  OriginAnswer,
  RecordRead,
  ResumedStream,
  StreamGossip,
} from './streams/streamOrigins.js'
export { StreamOriginCache } from './streams/streamOriginCache.js'
export type { StartedStream } from './streams/streamOriginCache.js'
export { FleetLoad } from './gateway/fleetLoad.js'
export { LoadReporter } from './gateway/loadReporter.js'
export { PeerLoads, USING_MILLISECONDS } from './gateway/peerLoads.js'
export { PromptCaches } from './gateway/promptCaches.js'
export type { PeerLoadReport } from './gateway/peerLoads.js'
export { latenessCause } from './gateway/lateness.js'
export { PauseStretchTracker } from './gateway/pauseStretchTracker.js'
export { PrefillTracker } from './gateway/prefillTracker.js'
export { StreamPace } from './gateway/streamPace.js'
export { UpstreamExchange } from './gateway/upstreamExchange.js'
export type { AbortReason } from './gateway/upstreamExchange.js'
export { CallerReply } from './gateway/callerReply.js'
export { EventDelivery } from './gateway/eventDelivery.js'
export { sharedPartOf, snapshotEndpoint } from './gateway/endpointSnapshots.js'
export { EndpointDirectory } from './gateway/endpointDirectory.js'
export type { EndpointRecord, EndpointState } from './gateway/endpointState.js'
export { EndpointAdviceStore } from './advice/endpointAdviceStore.js'
export { SendHistory } from './advice/sendHistory.js'
export { SendAdmission } from './advice/sendAdmission.js'
export { RejectionGuard } from './advice/rejectionGuard.js'
export { adviceFromHeaders } from './advice/adviceFromHeaders.js'
