/** What all packages share: ids, units, result codes, errors, time and randomness. */
export { UNKNOWN_SOFTWARE_VERSION, asId, endpointOf, endpointStart } from './ids.js'
export type {
  BudgetId,
  EndpointId,
  EndpointStart,
  FailureDomainId,
  IdempotencyKey,
  IncarnationId,
  InstanceId,
  ModelId,
  RegionId,
  PromptPartKey,
  RequestFingerprint,
  RequestId,
  SoftwareVersion,
  StreamKey,
  TeamId,
  TransactionId,
  TransferId,
} from './ids.js'
export type { Bytes, Milliseconds, TokenCount, Version } from './quantities.js'
export { limitAnswer } from './answerTimeout.js'
export { SystemClock, sleep } from './clock.js'
export type { Clock, TimeSources, Timer } from './clock.js'
export { repeat } from './repeat.js'
export { VirtualClock } from './virtualClock.js'
export { SeededRandom, SystemRandom, randomBelow } from './randomSource.js'
export type { RandomSource } from './randomSource.js'
export { groupBy } from './groupBy.js'
export { isSocketAddress } from './socketAddress.js'
export { deferred } from './deferred.js'
export type { Deferred } from './deferred.js'
export type { Task } from './task.js'
export { RESULT_TABLE, ResultCode, resultName } from './resultCodes.js'
export type { DispatchedCode, Execution } from './resultCodes.js'
export { DispatchedError, NotRunError, RackwalkError, toRackwalkError } from './errors.js'
