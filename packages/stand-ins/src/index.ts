/** Stand-ins for the platform and for endpoints, for tests, benches and the quick start. */
export { EngineStandIn } from './engine/engineStandIn.js'
export type { EngineFront } from './engine/engineStandIn.js'
export { LocalFleet } from './localFleet.js'
export type { FleetPlatform } from './localFleet.js'
export { LocalPlatform } from './localPlatform.js'
export { OperatorClient } from './operatorClient.js'
export type { ResourceDocument } from './operatorClient.js'
export { MemoryObjects } from './platform/memoryObjects.js'
export { MemoryTable } from './platform/memoryTable.js'
export { ServiceStandIn } from './serviceStandIn.js'
export { callOverSocket } from './socketCaller.js'
export type { SocketCall, SocketReply } from './socketCaller.js'
export { SocketEndpoint } from './socketEndpoint.js'
export type { SocketAnswer } from './socketEndpoint.js'
export { LaggingList, SimulatedNetwork, SimulatedTable } from './platform/simulatedPlatform.js'
export { BROKEN_VARIANTS, SOUND } from './exploration/variants.js'
export { explore } from './exploration/explore.js'
export { chatBody, expectedText, streamChat } from './chatClient.js'
export type { ChatAnswer } from './chatClient.js'
export { ConfiguredFleet, MODEL, OTHER_TEAM_KEY, TEAM_KEY } from './configuredFleet.js'
export type { ConfiguredFleetOptions } from './configuredFleet.js'
export { MemoryRowStore } from './platform/memoryRowStore.js'
export { explorePrepaid } from './exploration/prepaidWorld.js'
export { BROKEN_LEDGERS, UNANNOUNCING_LEDGER, SOUND_LEDGER } from './exploration/prepaidVariants.js'
export { replayEscrowRestart } from './replay/escrowRestartReplay.js'
export type { EscrowRestartOutcome } from './replay/escrowRestartReplay.js'
export { Replay } from './replay/replay.js'
export { FleetReplay } from './replay/fleetReplay.js'
export { replayLostLinks } from './replay/lostLinksReplay.js'
export { LINK_FAULTS, LOST_BY } from './replay/lostLinksScenario.js'
export type { LostBy, LostLinksOutcome, TryCount } from './replay/lostLinksScenario.js'
export { WeakProcessorReplay } from './replay/weakProcessorReplay.js'
export type { WeakProcessorOutcome, WeakProcessorPolicy } from './replay/weakProcessorReplay.js'
export { unevenEndpointsLoad } from './replay/unevenEndpointsLoad.js'
export { largeFleetLoad } from './replay/largeFleetLoad.js'
export { loanChannelTo, startPrepaidMember } from './replay/prepaidMember.js'
export type { PrepaidMember } from './replay/prepaidMember.js'
export { replayRestart } from './replay/restartReplay.js'
export type { RestartOutcome } from './replay/restartReplay.js'
export { longPromptLoad } from './replay/longPromptLoad.js'
export type { LongPromptVariation } from './replay/longPromptLoad.js'
export { EngineModel } from './engine/engineModel.js'
export type { CacheChange, EngineCapacity } from './engine/engineModel.js'
export {
  CrashCountLimit,
  IsolationQuarantine,
  UnlimitedRetries,
  replayCrashes,
} from './replay/crashReplay.js'
export type { CrashLoad, CrashOutcome, CrashPolicy } from './replay/crashReplay.js'
export {
  EqualShareRate,
  IgnoredRate,
  rankedQuota,
  replayNamedRate,
} from './replay/namedRateReplay.js'
export type { NamedRateLoad, RatePolicy, RatePolicyParts } from './replay/namedRateReplay.js'
