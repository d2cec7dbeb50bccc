/** One instance of the fleet, for programs and tests that run it in their own process. */
export { RackwalkDaemon } from './rackwalkDaemon.js'
export type { BoundAddresses, DaemonOptions } from './rackwalkDaemon.js'
export { ConsolaLogger } from './observe/logger.js'
export type { Logger } from './observe/logger.js'
export { Metrics } from './observe/metrics.js'
export { settingsSchema } from './settings/schema.js'
export type { SecretSource, Settings } from './settings/schema.js'
export { SettingsError, formatFault, parseWith, settingsKind } from './settings/load.js'
export { loadSettings, parseSettings } from './settings/openAiSettings.js'
export type { SettingsFault } from './settings/load.js'
export { GrpcPeerChannel } from './peers/grpcPeerChannel.js'
export { PeerServer } from './peers/peerServer.js'
export { OperatorRoutes } from './operators/operatorRoutes.js'
export { openApiDescription } from './operators/openApi.js'
export { mergePatch, parseResource } from './operators/resourceInput.js'
export { HttpCallerConnection, incomingRequest } from './callers/httpCallerConnection.js'
export { BoundedLogger } from './observe/boundedLogger.js'
export { ActiveFleet } from './gateway/activeFleet.js'
export type { ActiveFleetParts } from './gateway/activeFleet.js'
export { GatewayDaemon } from './gateway/gatewayDaemon.js'
export type { GatewayDaemonOptions } from './gateway/gatewayDaemon.js'
export { GatewayMetrics } from './gateway/gatewayMetrics.js'
export { gatewaySettingsSchema } from './gateway/gatewaySettings.js'
export type { GatewaySettings } from './gateway/gatewaySettings.js'
export { decodeReport, encodeReport } from './gateway/loadExchange.js'
export { stopAsPlanned } from './gateway/plannedStop.js'
export type { PlannedStopParts, PlannedStopResult } from './gateway/plannedStop.js'
export { ServerFollower } from './gateway/serverFollower.js'
export type { ServerFollowerParts } from './gateway/serverFollower.js'
export { SettingsWatcher } from './gateway/settingsWatcher.js'
export type { SettingsOutcome } from './gateway/settingsWatcher.js'
export type {
  DirectoryQuestion,
  PlainAnswer,
  PlatformAdapter,
  PlatformModule,
  RowSource,
} from './gateway/platformAdapter.js'
