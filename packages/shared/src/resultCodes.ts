/**
 * All numbered results that are returned to a caller or an operator, or written to a log.
 * `RESULT_TABLE` states for each of them whether the request ran, whether it may be repeated
 * unchanged, and after how many seconds. A check compares docs/result-codes.md with the table.
 */
export enum ResultCode {
  Ok = 0,

  MalformedRequest = 1001,
  BodyTooLarge = 1002,
  UnknownKey = 1003,
  UnknownModel = 1004,
  UnknownService = 1005,
  NotFound = 1006,
  RequestTimeout = 1007,
  TooManyConnections = 1008,
  KeyInUse = 1009,
  AlreadyRan = 1010,
  UnsupportedOption = 1011,

  BudgetExhausted = 2001,
  BudgetUnavailable = 2002,
  NoBudget = 2003,
  LargerThanBudget = 2004,

  NoEndpoint = 3001,
  Overloaded = 3002,
  DeadlineUnreachable = 3003,
  InstanceDraining = 3004,
  InstanceNotReady = 3005,
  JournalBacklogFull = 3006,
  EndpointRefused = 3007,
  ClaimUnconfirmed = 3008,
  LinkFull = 3009,
  ProcessorFull = 3010,
  KnowledgeTooOld = 3011,
  WarmingUp = 3012,
  CallerLeftUnsent = 3013,
  EndsEndpoints = 3014,
  RateNamed = 3015,
  EndpointsResting = 3016,
  CutOff = 3017,
  RelayRefused = 3018,
  OriginUnknown = 3019,
  NoEndpointOfVersion = 3020,
  VersionUnrecorded = 3021,
  BodyMemoryFull = 3022,

  EndpointFailed = 4001,
  EndpointStalled = 4002,
  OutcomeUnknown = 4003,
  BillNotDurable = 4004,
  CallerLeft = 4005,
  DeadlinePassed = 4006,
  EndpointError = 4007,
  EndpointBrokeOff = 4008,

  InvalidResource = 5001,
  VersionConflict = 5002,
  ResourceNotFound = 5003,
  ResourceExists = 5004,
  VersionTooOld = 5005,
  OperatorUnauthorized = 5006,
  OutcomeOfWriteUnknown = 5007,

  InvalidSettings = 6001,
  UnreadableSettings = 6002,
  CannotListen = 6003,

  PlatformUnavailable = 7001,
  PlatformThrottled = 7002,
  PlatformAmbiguous = 7003,
  Sealed = 7004,

  Internal = 9001,
}

/** Whether an endpoint ran the request. */
export type Execution = 'not-run' | 'ran' | 'unknown'

/**
 * Codes of requests that were not run: nothing was sent to an endpoint, or every endpoint that got
 * the request rejected it.
 */
export type NotRunCode =
  | ResultCode.MalformedRequest
  | ResultCode.BodyTooLarge
  | ResultCode.UnknownKey
  | ResultCode.UnknownModel
  | ResultCode.UnknownService
  | ResultCode.NotFound
  | ResultCode.RequestTimeout
  | ResultCode.TooManyConnections
  | ResultCode.UnsupportedOption
  | ResultCode.BudgetExhausted
  | ResultCode.BudgetUnavailable
  | ResultCode.NoBudget
  | ResultCode.LargerThanBudget
  | ResultCode.NoEndpoint
  | ResultCode.Overloaded
  | ResultCode.DeadlineUnreachable
  | ResultCode.InstanceDraining
  | ResultCode.InstanceNotReady
  | ResultCode.JournalBacklogFull
  | ResultCode.EndpointRefused
  | ResultCode.ClaimUnconfirmed
  | ResultCode.LinkFull
  | ResultCode.ProcessorFull
  | ResultCode.KnowledgeTooOld
  | ResultCode.WarmingUp
  | ResultCode.CallerLeftUnsent
  | ResultCode.EndsEndpoints
  | ResultCode.RateNamed
  | ResultCode.EndpointsResting
  | ResultCode.CutOff
  | ResultCode.RelayRefused
  | ResultCode.OriginUnknown
  | ResultCode.NoEndpointOfVersion
  | ResultCode.VersionUnrecorded
  | ResultCode.BodyMemoryFull

/** Codes of requests that this or an earlier attempt ran or may have run. */
export type DispatchedCode =
  | ResultCode.Ok
  | ResultCode.AlreadyRan
  | ResultCode.KeyInUse
  | ResultCode.EndpointFailed
  | ResultCode.EndpointStalled
  | ResultCode.OutcomeUnknown
  | ResultCode.BillNotDurable
  | ResultCode.CallerLeft
  | ResultCode.DeadlinePassed
  | ResultCode.EndpointError
  | ResultCode.EndpointBrokeOff

/** Properties of one result code. */
export interface ResultDescription {
  /** Status of an HTTP answer with this code. */
  readonly httpStatus: number
  /** Undefined for codes that do not concern a request, such as those of settings. */
  readonly execution?: Execution
  /** Whether the same request may be sent again unchanged. */
  readonly repeatable: boolean
  /** Seconds after which the request may be repeated; undefined where no time is known. */
  readonly retryAfterSeconds?: number
  /** Text for callers and logs. */
  readonly message: string
}

function row(
  httpStatus: number,
  execution: Execution | undefined,
  repeatable: boolean,
  message: string,
  retryAfterSeconds?: number,
): ResultDescription {
  return { httpStatus, execution, repeatable, message, retryAfterSeconds }
}

/** Properties of all result codes; messages of results are defined nowhere else. */
export const RESULT_TABLE: Readonly<Record<ResultCode, ResultDescription>> = {
  [ResultCode.Ok]: row(200, 'ran', false, 'done'),

  [ResultCode.MalformedRequest]: row(400, 'not-run', false, 'the request is malformed'),
  [ResultCode.BodyTooLarge]: row(413, 'not-run', false, 'the body exceeds the limit'),
  [ResultCode.UnknownKey]: row(401, 'not-run', false, 'the key belongs to no team'),
  [ResultCode.UnknownModel]: row(404, 'not-run', false, 'no such model'),
  [ResultCode.UnknownService]: row(404, 'not-run', false, 'no such service'),
  [ResultCode.NotFound]: row(404, 'not-run', false, 'no such path'),
  [ResultCode.RequestTimeout]: row(408, 'not-run', true, 'the request arrived too slowly', 1),
  [ResultCode.TooManyConnections]: row(503, 'not-run', true, 'too many connections', 1),
  [ResultCode.KeyInUse]: row(409, 'unknown', true, 'the idempotency key is running', 1),
  [ResultCode.AlreadyRan]: row(409, 'ran', false, 'the idempotency key ran already'),
  [ResultCode.UnsupportedOption]: row(400, 'not-run', false, 'the option is not supported'),

  [ResultCode.BudgetExhausted]: row(402, 'not-run', false, 'the budget is used up'),
  [ResultCode.BudgetUnavailable]: row(
    429,
    'not-run',
    true,
    'the rest of the budget is held by other requests or instances',
    2,
  ),
  [ResultCode.NoBudget]: row(403, 'not-run', false, 'the team has no budget'),
  [ResultCode.LargerThanBudget]: row(
    402,
    'not-run',
    false,
    'the request may need more tokens than the budget has left',
  ),

  [ResultCode.NoEndpoint]: row(503, 'not-run', true, 'no endpoint can serve this', 1),
  [ResultCode.Overloaded]: row(503, 'not-run', true, 'all endpoints are busy', 1),
  [ResultCode.DeadlineUnreachable]: row(
    504,
    'not-run',
    true,
    'the deadline cannot be met by any endpoint',
    1,
  ),
  [ResultCode.InstanceDraining]: row(503, 'not-run', true, 'this instance is leaving', 0),
  [ResultCode.InstanceNotReady]: row(503, 'not-run', true, 'this instance is starting', 1),
  [ResultCode.JournalBacklogFull]: row(
    503,
    'not-run',
    true,
    'the platform does not take bills at present',
    5,
  ),
  [ResultCode.EndpointRefused]: row(503, 'not-run', true, 'every endpoint tried refused', 1),
  [ResultCode.ClaimUnconfirmed]: row(
    503,
    'not-run',
    true,
    'the claim of a request that may run once could not be confirmed',
    2,
  ),
  [ResultCode.LinkFull]: row(503, 'not-run', true, 'the link of this instance is full', 1),
  [ResultCode.ProcessorFull]: row(
    503,
    'not-run',
    true,
    'the processor of this instance is full',
    1,
  ),
  [ResultCode.KnowledgeTooOld]: row(
    503,
    'not-run',
    true,
    'this instance cannot know that its configuration is the newest',
    1,
  ),
  [ResultCode.WarmingUp]: row(503, 'not-run', true, 'every endpoint that is free is warming up', 1),
  [ResultCode.CallerLeftUnsent]: row(
    499,
    'not-run',
    true,
    'the caller left before its request was sent on',
  ),
  [ResultCode.EndsEndpoints]: row(
    503,
    'not-run',
    false,
    'endpoints ended as they began to run this request; it is not sent to another one',
    3_600,
  ),
  [ResultCode.RateNamed]: row(
    503,
    'not-run',
    true,
    'every endpoint that is free has named how many requests it takes, and gets no more from here',
    1,
  ),
  [ResultCode.EndpointsResting]: row(
    503,
    'not-run',
    true,
    'every endpoint that is free has turned this instance away and asked for rest',
    1,
  ),
  [ResultCode.CutOff]: row(
    503,
    'not-run',
    true,
    'this instance reaches no endpoint, and no other instance takes its requests',
    1,
  ),
  [ResultCode.RelayRefused]: row(
    503,
    'not-run',
    true,
    'the instance that the request was handed to refused it',
    1,
  ),

  [ResultCode.OriginUnknown]: row(
    503,
    'not-run',
    true,
    'several software versions may have served, and nobody knows which one began the stream',
    2,
  ),
  [ResultCode.NoEndpointOfVersion]: row(
    503,
    'not-run',
    true,
    'no endpoint of the software version that began the stream serves',
    2,
  ),
  [ResultCode.VersionUnrecorded]: row(
    503,
    'not-run',
    true,
    'no stream can begin before a software version of the endpoints is recorded',
    1,
  ),

  [ResultCode.BodyMemoryFull]: row(
    503,
    'not-run',
    true,
    'the memory of this instance for bodies of requests is in use',
    1,
  ),

  [ResultCode.EndpointFailed]: row(502, 'unknown', true, 'the endpoint did not answer'),
  [ResultCode.EndpointStalled]: row(504, 'ran', true, 'the endpoint stalled'),
  [ResultCode.OutcomeUnknown]: row(
    409,
    'unknown',
    false,
    'it is unknown whether the request ran; it was not run again',
  ),
  [ResultCode.BillNotDurable]: row(
    503,
    'ran',
    true,
    'the answer was not completed because its bill could not be kept',
  ),
  [ResultCode.CallerLeft]: row(499, 'ran', true, 'the caller left'),
  [ResultCode.DeadlinePassed]: row(504, 'ran', true, 'the deadline passed while it ran'),
  [ResultCode.EndpointError]: row(502, 'ran', true, 'the endpoint answered with an error'),
  [ResultCode.EndpointBrokeOff]: row(502, 'ran', true, 'the endpoint broke off its answer'),

  [ResultCode.InvalidResource]: row(422, undefined, false, 'the resource is not valid'),
  [ResultCode.VersionConflict]: row(409, undefined, false, 'the resource has changed'),
  [ResultCode.ResourceNotFound]: row(404, undefined, false, 'no such resource'),
  [ResultCode.ResourceExists]: row(409, undefined, false, 'the resource exists'),
  [ResultCode.VersionTooOld]: row(410, undefined, false, 'the version is too old to watch from'),
  [ResultCode.OperatorUnauthorized]: row(401, undefined, false, 'not an operator'),
  [ResultCode.OutcomeOfWriteUnknown]: row(
    503,
    undefined,
    true,
    'the platform did not confirm the write; ask for it by its id',
    2,
  ),

  [ResultCode.InvalidSettings]: row(400, undefined, false, 'the settings are not valid'),
  [ResultCode.UnreadableSettings]: row(400, undefined, false, 'the settings cannot be read'),
  [ResultCode.CannotListen]: row(500, undefined, false, 'cannot listen'),

  [ResultCode.PlatformUnavailable]: row(503, undefined, true, 'the platform is unavailable', 2),
  [ResultCode.PlatformThrottled]: row(429, undefined, true, 'the platform throttles', 1),
  [ResultCode.PlatformAmbiguous]: row(503, undefined, true, 'the platform gave no answer', 2),
  [ResultCode.Sealed]: row(503, undefined, false, 'this incarnation was sealed'),

  [ResultCode.Internal]: row(500, undefined, false, 'internal error'),
}

/** Returns the name of a code in the enum, for metrics and for tables of codes. */
export function resultName(code: ResultCode): string {
  return ResultCode[code]
}
