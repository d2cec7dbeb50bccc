/**
 * The path of a request of the OpenAI-style kind through its filters, the relaying of a request
 * that this instance cannot send to any endpoint, and the error that the caller gets when a filter
 * throws. Owns the order of the filters and the number of requests in progress.
 */

import {
  DispatchedError,
  NotRunError,
  RESULT_TABLE,
  ResultCode,
  toRackwalkError,
} from '@rackwalk/shared'
import type { Clock, IncarnationId, RackwalkError, RequestId, Version } from '@rackwalk/shared'
import type { IncomingRequest } from './callerConnection.js'
import type { DecisionRecord } from './decisionRecord.js'
import { errorBody, errorHeaders } from './errorBody.js'
import type { ChatRelay } from './filters/chatRelay.js'
import type { AdmitFilter } from './filters/admit.js'
import type { AuthenticateFilter } from './filters/authenticate.js'
import type { ClaimFilter } from './filters/claim.js'
import type { CompleteFilter } from './filters/complete.js'
import type { DeduplicateFilter } from './filters/deduplicate.js'
import type { DispatchFilter } from './filters/dispatch.js'
import type { ParseFilter } from './filters/parse.js'
import type { DeliveryFilter } from './filters/delivery.js'
import type { ReserveFilter } from './filters/reserve.js'
import type { RouteFilter } from './filters/route.js'
import type { CrashScreenFilter } from './filters/crashScreen.js'
import type { SettleFilter } from './filters/settle.js'
import type {
  DeliveredRequest,
  ParsedRequest,
  ReceivedRequest,
  RoutedRequest,
  SettledRequest,
} from './filters/stages.js'
import { RequestScope } from './requestScope.js'

/** The filters of the request path, in order. */
export interface RequestFilters {
  readonly authenticate: AuthenticateFilter
  readonly parse: ParseFilter
  readonly screen: CrashScreenFilter
  readonly deduplicate: DeduplicateFilter
  readonly admit: AdmitFilter
  readonly reserve: ReserveFilter
  readonly claim: ClaimFilter
  readonly route: RouteFilter
  readonly dispatch: DispatchFilter
  readonly delivery: DeliveryFilter
  readonly settle: SettleFilter
  readonly complete: CompleteFilter
}

/** Handles requests that this instance cannot send to any endpoint. */
interface CutOffFallback {
  readonly chatRelay: ChatRelay
  /** Whether no endpoint of a model or service can be reached from this instance. */
  readonly isCutOff: (target: string) => boolean
}

/** Dependencies of the pipeline besides its filters. */
export interface PipelineParts extends CutOffFallback {
  readonly incarnation: IncarnationId
  readonly clock: Clock
  readonly createRequestId: () => RequestId
  /** Revision of the configuration in force. */
  readonly configurationRevision: () => Version
  /** Stores, counts and logs the decision record. */
  readonly onRecord: (record: DecisionRecord) => void
  /** Reports an error that is a fault of the program. */
  readonly onFault: (error: unknown) => void
}

/** Passes each request through the filters, in the order of `RequestFilters`. */
export class RequestPipeline {
  private openRequests = 0

  constructor(
    private readonly filters: RequestFilters,
    private readonly parts: PipelineParts,
  ) {}

  /** Number of requests in progress. */
  get inFlight(): number {
    return this.openRequests
  }

  /** Serves one request until it is over. Never throws. */
  async serve(incoming: IncomingRequest): Promise<void> {
    const received = this.receive(incoming)
    this.openRequests += 1
    try {
      const settled = await this.run(received)
      this.noteEnd(received.record, settled.code)
    } catch (thrown) {
      await this.refuse(received, thrown)
    } finally {
      this.openRequests -= 1
      this.finish(received)
    }
  }

  private async run(received: ReceivedRequest): Promise<{ code: ResultCode }> {
    const authenticated = await this.filters.authenticate.apply(received)
    const parsed = await this.filters.parse.apply(authenticated)
    const screened = await this.filters.screen.apply(parsed)
    return this.serveHere(screened).catch(thrown => this.serveElsewhere(screened, thrown))
  }

  /**
   * Relays a request to another instance if the request is known not to have run and this instance
   * reaches no endpoint of the target. Otherwise throws the error of this instance.
   */
  private async serveElsewhere(
    request: ParsedRequest,
    thrown: unknown,
  ): Promise<{ code: ResultCode }> {
    const { chatRelay, isCutOff } = this.parts
    const isEligible = thrown instanceof NotRunError && isCutOff(request.target)
    if (!isEligible || !chatRelay.canRelay(request)) throw thrown
    // The local reservations of the request are released first, because the other instance makes
    // its own.
    request.scope.close()
    const outcome = await chatRelay.relay(request)
    if (outcome === undefined) throw new NotRunError(ResultCode.CutOff, request.target)
    return { code: outcome.kind === 'refused' ? ResultCode.RelayRefused : ResultCode.Ok }
  }

  private async serveHere(screened: ParsedRequest): Promise<SettledRequest> {
    if (this.parts.isCutOff(screened.target)) {
      throw new NotRunError(ResultCode.CutOff, screened.target)
    }
    const deduplicated = await this.filters.deduplicate.apply(screened)
    const admitted = await this.filters.admit.apply(deduplicated)
    const reserved = await this.filters.reserve.apply(admitted)
    const claimed = await this.filters.claim.apply(reserved)
    const routed = await this.filters.route.apply(claimed)
    const delivered = await this.dispatch(routed)
    const settled = await this.filters.settle.apply(delivered)
    return this.filters.complete.apply(settled)
  }

  /**
   * Dispatches the request and delivers its answer. The end of a request that may have run but got
   * no answer is recorded in the journal. A fault of the program may come after an endpoint ran the
   * request, so it keeps the claim, too.
   */
  private async dispatch(routed: RoutedRequest): Promise<DeliveredRequest> {
    const { dispatch, delivery, settle } = this.filters
    try {
      return await delivery.apply(await dispatch.apply(routed))
    } catch (thrown) {
      if (thrown instanceof NotRunError) throw thrown
      routed.scope.commit()
      const isKnown = thrown instanceof DispatchedError
      settle.noteFailure(routed, isKnown ? thrown.code : ResultCode.OutcomeUnknown)
      throw thrown
    }
  }

  private receive(incoming: IncomingRequest): ReceivedRequest {
    const requestId = this.parts.createRequestId()
    const record: DecisionRecord = {
      requestId,
      instanceId: this.parts.incarnation,
      receivedAt: this.parts.clock.wallTime(),
      configurationRevision: this.parts.configurationRevision(),
      routing: [],
    }
    const receivedAt = this.parts.clock.sinceStart()
    return { requestId, receivedAt, incoming, record, scope: new RequestScope() }
  }

  private async refuse({ incoming, record }: ReceivedRequest, thrown: unknown): Promise<void> {
    const error = toRackwalkError(thrown)
    if (error.code === ResultCode.Internal) this.parts.onFault(thrown)
    this.noteEnd(record, error.code)
    record.detail = error.message
    if (incoming.caller.disconnectSignal.aborted) return
    if (incoming.caller.hasSentHead) incoming.caller.destroy()
    else await this.answerError(incoming, error, record)
  }

  private async answerError(
    incoming: IncomingRequest,
    error: RackwalkError,
    record: DecisionRecord,
  ): Promise<void> {
    const { requestId } = record
    const earlier = earlierAttempts(record)
    await incoming.caller.refuse(leastSeconds => {
      const document = errorBody(error, requestId, earlier, leastSeconds)
      const body = Buffer.from(JSON.stringify(document))
      const headers = {
        ...errorHeaders(error, requestId, undefined, leastSeconds),
        'content-length': String(body.length),
      }
      return { status: RESULT_TABLE[error.code].httpStatus, headers, body }
    })
  }

  private noteEnd(record: DecisionRecord, code: ResultCode): void {
    record.code = code
    record.execution = RESULT_TABLE[code].execution
  }

  private finish({ scope, record, receivedAt }: ReceivedRequest): void {
    record.totalMilliseconds = this.parts.clock.sinceStart() - receivedAt
    scope.close()
    this.parts.onRecord(record)
  }
}

/**
 * Returns `unknown` for a request that may run only once, did not run and has a key that is not
 * claimed: the refusal of this attempt says nothing about earlier attempts with the key.
 */
function earlierAttempts({ repeatable, key, claimed, execution }: DecisionRecord) {
  const isOpen = repeatable === false && key !== undefined && claimed !== true
  return isOpen && execution === 'not-run' ? ('unknown' as const) : undefined
}
