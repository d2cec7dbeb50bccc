/**
 * The rules by which requests are placed, admitted, repeated and given up: pure code over plain
 * snapshots, without I/O, timers or logging. docs/decisions.md lists them.
 */
export { rankEndpoints } from './choosing/endpointChoice.js'
export type { EndpointSnapshot } from './choosing/endpointChoice.js'
export {
  harmWeights,
  isBesideLongReading,
  nextStretch,
  readingHarm,
} from './choosing/readingHarm.js'
export { NO_ADVICE_TEXTS, adviceText, readAdvice } from './choosing/endpointAdvice.js'
export type { AdviceNews, AdviceTexts, EndpointAdvice } from './choosing/endpointAdvice.js'
export { isCutOff, linksToCheck, unreachedLinks } from './choosing/endpointReach.js'
export type { EndpointLink } from './choosing/endpointReach.js'
export { HomeEndpoints } from './choosing/homeEndpoints.js'
export { chooseRelayPeer } from './choosing/relayPeer.js'
export type { RelayCandidate } from './choosing/relayPeer.js'
export { nextPace, slownessOf, usualPace } from './choosing/slowness.js'
export { TRIAL_LICENCE, licenceAt, licenceRank, rateShares } from './choosing/rateLicence.js'
export type {
  RateLicence,
  RateShares,
  RecordedInstance,
  WarmUpBounds,
} from './choosing/rateLicence.js'
export { isNearlyFull, readTurnAways, turnAwayLicence } from './choosing/turnAwayRisk.js'
export { soonestRefusal } from './choosing/sendRefusal.js'
export type { SendRefusal } from './choosing/sendRefusal.js'
export { ORIGIN_KEEPERS, originKeeperCount, originKeepers } from './placing/originKeepers.js'
export type { OriginKeeper } from './placing/originKeepers.js'
export {
  LONGEST_STREAM_MILLISECONDS,
  isMixed,
  isSameOrigin,
  isSettled,
  resumptionOf,
} from './retrying/streamResumption.js'
export type {
  OriginSource,
  Resumption,
  StreamOrigin,
  VersionsView,
} from './retrying/streamResumption.js'
export { rendezvousChoice, rendezvousOrder } from './choosing/rendezvous.js'

export {
  CUT_AFTER_MILLISECONDS,
  committedBound,
  strictSpan,
  timeOfBound,
} from './admitting/spendingBound.js'
export { cutAllowance } from './admitting/cutAllowance.js'
export {
  budgetPatience,
  lastBudgetPatience,
  returnAfterSeconds,
} from './admitting/budgetPatience.js'
export { AbandonedWork } from './admitting/abandonedWork.js'
export {
  confirmationSpan,
  isTooOld,
  longestFeedWait,
  shouldAskPeers,
} from './admitting/freshKnowledge.js'
export type { KnownRows, Reachability } from './admitting/freshKnowledge.js'
export { LinkBudget } from './admitting/linkBudget.js'
export {
  REFUSED_BODY_BYTES,
  REFUSED_BODY_MILLISECONDS,
  refusedBodyFate,
} from './admitting/refusedBody.js'
export type { RefusedBody, RefusedBodyFate } from './admitting/refusedBody.js'
export { ListenerPause, listenerWindow } from './admitting/listenerPause.js'
export type { HeardInstances } from './admitting/listenerPause.js'
export { OwnRefusals } from './admitting/ownRefusals.js'
export { DELAY_LOOK_MILLISECONDS, ProcessorBudget } from './admitting/processorBudget.js'
export type { ProcessorLook, WorkRank } from './admitting/processorBudget.js'
export { StarvedTeams } from './admitting/starvedTeams.js'
export type { StarvationChange } from './admitting/starvedTeams.js'
export { writtenAhead } from './admitting/writtenAhead.js'
export { settledCost } from './admitting/settledCost.js'

export { mayHaveRun, outcomeLabel, outcomeText } from './retrying/attemptOutcome.js'
export type { AttemptOutcome } from './retrying/attemptOutcome.js'
export { BrokenStarts } from './retrying/brokenStarts.js'
export { CrashSuspicions, SCOPE_CHARACTERS } from './retrying/crashSuspicion.js'
export type { CrashMark, CrashNews } from './retrying/crashSuspicion.js'
export { strictest } from './retrying/crashVerdict.js'
export type { CrashVerdict } from './retrying/crashVerdict.js'
export { hasOutlived, judgeEnd, livedAt } from './retrying/endSigns.js'
export type { EndSign, EndVerdict, HeardTimes } from './retrying/endSigns.js'
export {
  SILENT_MILLISECONDS,
  STILL_SILENT_MILLISECONDS,
  isAsked,
  isAskedAgain,
  isEndedBy,
  signOfQuestions,
  wasThereAtEnd,
} from './retrying/endedExchange.js'
export type { OpenExchange, SignTimes, StartSign, StateSign } from './retrying/endedExchange.js'
export { afterCut, continuedUsage } from './retrying/continuation.js'
export type { CutAnswer, CutStep } from './retrying/continuation.js'
export { withdrawal } from './retrying/withdrawal.js'
export type { KnownEnd, OpenAttempt } from './retrying/withdrawal.js'
export { UnjudgedBreaks } from './retrying/unjudgedBreaks.js'
export { DeadlyParts } from './retrying/deadlyParts.js'
export { suspectedChoice } from './retrying/suspectedChoice.js'
export { FleetRetryBudget } from './retrying/fleetRetryBudget.js'
export type { RetryBounds } from './retrying/fleetRetryBudget.js'
export {
  canRepeat,
  isMisdirected,
  isPromising,
  isServerError,
  nextStep,
} from './retrying/nextStep.js'
export type { NextStep } from './retrying/nextStep.js'
export { isLeftUnsent, relayOutcomeText, relayStep } from './retrying/relayStep.js'
export type { RelayOutcome } from './retrying/relayStep.js'

export { DemandHoldingPolicy, EqualHoldingPolicy, secondsLeft } from './placing/holdingPolicy.js'
export { holdingTolerance } from './placing/holdingTolerance.js'
export type { BudgetView, HoldingPolicy } from './placing/holdingPolicy.js'
export { askingSince, budgetLenders, budgetSharers } from './placing/budgetSharers.js'
export { ActiveInstances, chooseActive } from './placing/activeInstances.js'
export type { ActiveBounds, ActiveCandidate } from './placing/activeInstances.js'
export { cautiousSharersOf, sharersOf } from './placing/fleetSharers.js'
export type { FleetUse } from './placing/fleetSharers.js'
export { NewcomerReads, READS_AHEAD } from './placing/newcomerReads.js'
export { recordInterval } from './placing/recordInterval.js'
export { SilentInstances } from './placing/silentInstances.js'

export { answerFate, isEndpointsFailure, isProvenWhole } from './stopping/answerCompleteness.js'
export type {
  AnswerEnd,
  AnswerFate,
  AnswerFraming,
  EndedAnswer,
} from './stopping/answerCompleteness.js'
export { answerFraming } from './stopping/answerFraming.js'
export { LINGER_MILLISECONDS, exitTime, isTimeToSettle } from './stopping/drainPhases.js'
export { finalError, refusedByAll } from './stopping/finalError.js'
export type { NoChoice } from './stopping/finalError.js'
