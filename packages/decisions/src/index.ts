/**
 * The rules by which requests are placed, admitted, retried and given up, and by which an instance shuts down. They are pure
 * functions and small state machines over plain data, without I/O, timers or logging; callers pass the time and random
 * numbers in. docs/decisions.md lists the rules.
 */
export { rankEndpoints } from './choosing/endpointChoice.js'
export type { EndpointSnapshot } from './choosing/endpointChoice.js'
export {
  interferenceWeights,
  isDuringLongPrefill,
  nextPauseStretch,
  prefillInterference,
} from './choosing/prefillInterference.js'
export { NO_ADVICE_HEADERS, adviceText, parseAdvice } from './choosing/endpointAdvice.js'
export type { AdviceGossip, AdviceHeaders, EndpointAdvice } from './choosing/endpointAdvice.js'
export {
  isServiceUnreachable,
  linksToProbe,
  silenceMilliseconds,
  unreachableLinks,
} from './choosing/endpointReachability.js'
export type { EndpointLink } from './choosing/endpointReachability.js'
export { EndpointSubsets } from './choosing/endpointSubsets.js'
export { chooseRelayPeer, relayRoom } from './choosing/relayPeer.js'
export type { RelayCandidate, RelayOrigin } from './choosing/relayPeer.js'
export {
  baselineEventInterval,
  nextEventInterval,
  nextPace,
  paceSlowness,
  slownessFactor,
} from './choosing/slowness.js'
export type { PaceEstimate } from './choosing/slowness.js'
export { RECOVERY_QUOTA, quotaAtRank, quotaRank, divideRate } from './choosing/rateQuota.js'
export type { RateQuota, RateShares, RecordedInstance, WarmUpBounds } from './choosing/rateQuota.js'
export { isNearlyFull, parseRejectionLimit, rejectionQuota } from './choosing/rejectionQuota.js'
export { soonestRefusal } from './choosing/sendRefusal.js'
export type { SendRefusal } from './choosing/sendRefusal.js'
export {
  MINIMUM_ORIGIN_REPLICAS,
  originReplicaCount,
  rankOriginReplicas,
} from './placing/originReplicas.js'
export type { OriginReplica } from './placing/originReplicas.js'
export {
  RESUMPTION_WINDOW_MILLISECONDS,
  hasMixedVersions,
  isSameOrigin,
  canBeginStream,
  resolveResumption,
  resumptionDelay,
} from './retrying/streamResumption.js'
export type {
  OriginSource,
  RecordedVersions,
  Resumption,
  StreamOrigin,
} from './retrying/streamResumption.js'
export {
  historyOf,
  nextVersionRecord,
  recordChange,
  recordingDelay,
} from './retrying/versionRecord.js'
export type {
  RecordChange,
  ServiceHistory,
  VersionRecord,
  VersionView,
} from './retrying/versionRecord.js'
export { rendezvousChoice, rendezvousOrder } from './choosing/rendezvous.js'

export {
  DISCONNECTED_AFTER_MILLISECONDS,
  committedBound,
  strictWindowMilliseconds,
  timeUntilCommitted,
} from './admitting/spendingBound.js'
export { disconnectedAllowance } from './admitting/disconnectedAllowance.js'
export { bodiesToGiveUp } from './admitting/bodyEviction.js'
export type { HeldBody } from './admitting/bodyEviction.js'
export {
  budgetWaitLimit,
  extendedBudgetWaitLimit,
  toRetryAfterSeconds,
} from './admitting/budgetWaitLimit.js'
export { AbandonedRequests } from './admitting/abandonedRequests.js'
export {
  confirmationLifetime,
  isTooStale,
  maximumFeedWait,
  shouldAskPeers,
} from './admitting/configurationStaleness.js'
export type { RowStaleness, ContactAges } from './admitting/configurationStaleness.js'
export { LinkBandwidthBudget } from './admitting/linkBudget.js'
export {
  REFUSED_BODY_BYTES,
  REFUSED_BODY_MILLISECONDS,
  refusedBodyDisposition,
} from './admitting/refusedBody.js'
export type { RefusedBody, RefusedBodyDisposition } from './admitting/refusedBody.js'
export { ListenerPause, listenerOpenMilliseconds } from './admitting/listenerPause.js'
export type { PeerOverload } from './admitting/listenerPause.js'
export { LocalRefusals } from './admitting/localRefusals.js'
export { ReturningRequests } from './admitting/returningRequests.js'
export {
  SAMPLE_INTERVAL_MILLISECONDS,
  ProcessorLoadShedder,
} from './admitting/processorLoadShedder.js'
export type { ProcessorSample, ShedRank } from './admitting/processorLoadShedder.js'
export { StarvedTeams } from './admitting/starvedTeams.js'
export type { StarvationChange } from './admitting/starvedTeams.js'
export { precommittedTokens } from './admitting/precommittedTokens.js'
export { settledCost } from './admitting/settledCost.js'

export { mayHaveRun, outcomeLabel, outcomeText } from './retrying/attemptOutcome.js'
export type { AttemptOutcome } from './retrying/attemptOutcome.js'
export { SuspectEndpoints } from './retrying/suspectEndpoints.js'
export { RequestQuarantine, SCOPE_PREFIX_LENGTH } from './retrying/requestQuarantine.js'
export type { CrashMark, CrashGossip } from './retrying/requestQuarantine.js'
export { strictestVerdict } from './retrying/quarantineVerdict.js'
export type { QuarantineVerdict } from './retrying/quarantineVerdict.js'
export { wasAliveAfterReset, judgeLiveness, lastAliveAt } from './retrying/livenessProbe.js'
export type { ProbeResult, LivenessVerdict, LastContactTimes } from './retrying/livenessProbe.js'
export {
  PROBE_TIMEOUT_MILLISECONDS,
  LONG_PROBE_TIMEOUT_MILLISECONDS,
  requiresStateProbe,
  requiresAnotherProbe,
  isTerminatedBy,
  signOfProbes,
  wasInFlightAtCrash,
} from './retrying/terminationSigns.js'
export type {
  InFlightState,
  SignEvidenceTimes,
  TerminationSign,
  StateProbeResult,
} from './retrying/terminationSigns.js'
export { areJoinable, continuationStep, continuedUsage } from './retrying/continuation.js'
export type { InterruptedAnswer, ContinuationStep } from './retrying/continuation.js'
export { judgeWithdrawal } from './retrying/withdrawal.js'
export type { KnownTermination, InFlightAttempt } from './retrying/withdrawal.js'
export { UnconfirmedCrashes } from './retrying/unconfirmedCrashes.js'
export { PromptPartQuarantine } from './retrying/promptPartQuarantine.js'
export { provesTakeover } from './retrying/addressTakeover.js'
export { crashGossipWait } from './retrying/crashGossipWait.js'
export { chooseIsolationEndpoint } from './retrying/isolationEndpoint.js'
export { FleetRetryBudget } from './retrying/fleetRetryBudget.js'
export type { RetryBounds } from './retrying/fleetRetryBudget.js'
export {
  canRepeat,
  isMisdirected,
  isFinalStatus,
  isInterimStatus,
  isServerError,
  claimsNotExecuted,
  retryStep,
} from './retrying/retryStep.js'
export type { RetryStep } from './retrying/retryStep.js'
export { isDenial, wasNeverSent, relayOutcomeText, relayStep } from './retrying/relayStep.js'
export type { RelayOutcome } from './retrying/relayStep.js'

export {
  DemandHoldingPolicy,
  EqualHoldingPolicy,
  secondsToExhaustion,
} from './placing/holdingPolicy.js'
export { rebalanceTolerance } from './placing/rebalanceTolerance.js'
export type { BudgetView, HoldingPolicy } from './placing/holdingPolicy.js'
export { demandValidSince, budgetLenders, budgetSharers } from './placing/budgetSharers.js'
export { ActiveInstances, chooseActive } from './placing/activeInstances.js'
export type { ActiveBounds, ActiveCandidate } from './placing/activeInstances.js'
export { callerAddresses } from './placing/callerAddresses.js'
export { partitionSafeShareCount, fleetShareCount } from './placing/fleetShares.js'
export type { FleetUsage } from './placing/fleetShares.js'
export { MemberReadLimiter, READ_BURST } from './placing/memberReadLimiter.js'
export { recordInterval } from './placing/recordInterval.js'
export { SilenceDetector } from './placing/silenceDetector.js'

export {
  answerDisposition,
  isEndpointFailure,
  isBodyMissing,
  isProvenComplete,
} from './stopping/answerCompleteness.js'
export type {
  AnswerEnd,
  AnswerDisposition,
  AnswerFraming,
  EndedAnswer,
} from './stopping/answerCompleteness.js'
export { answerFraming, declaresForbiddenBody } from './stopping/answerFraming.js'
export type { AnswerHead } from './stopping/answerFraming.js'
export { LINGER_MILLISECONDS, exitDelay, shouldSettle } from './stopping/drainPhases.js'
export { isStrayEvent } from './stopping/strayEvent.js'
export { finalError, allRefusedError } from './stopping/finalError.js'
export type { NoEndpointReason } from './stopping/finalError.js'
