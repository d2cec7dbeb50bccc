/** Assembles the filters of the OpenAI-style kind. Owns nothing. */

import type { Clock, RandomSource } from '@rackwalk/shared'
import { NotRunError, ResultCode } from '@rackwalk/shared'
import type { CoordinationNode } from '@rackwalk/coordination'
import { createRequestId, notServingCode } from '@rackwalk/coordination'
import type { BodyMemory } from '@rackwalk/router'
import {
  AdmitFilter,
  AnswerContinuation,
  AuthenticateFilter,
  ClaimFilter,
  CompleteFilter,
  DeduplicateFilter,
  DispatchFilter,
  EndpointRouter,
  ANSWER_BUFFER_LIMITS,
  AnswerBufferPool,
  ParseFilter,
  DeliveryFilter,
  RequestPipeline,
  ReserveFilter,
  RouteFilter,
  CrashScreenFilter,
  SettleFilter,
} from '@rackwalk/router'
import type {
  Catalogue,
  ChatRelay,
  CrashGuard,
  DecisionRecord,
  EndpointAdviceStore,
  EndpointClient,
  EndpointTable,
  ParsedRequest,
  RoutingRecord,
} from '@rackwalk/router'
import type { Logger } from './observe/logger.js'
import type { EndpointReachabilityTask } from './tasks/endpointReachabilityTask.js'
import type { Metrics } from './observe/metrics.js'
import type { Settings } from './settings/schema.js'

/** What the request path is assembled from. */
export interface RequestPathParts {
  readonly node: CoordinationNode
  readonly catalogue: Catalogue
  readonly endpoints: EndpointTable
  readonly client: EndpointClient
  readonly crashes: CrashGuard
  readonly advices: EndpointAdviceStore
  readonly clock: Clock
  readonly random: RandomSource
  readonly logger: Logger
  readonly metrics: Metrics
  readonly limits: Settings['limits']
  /** Memory for the bodies of chats. */
  readonly bodies: BodyMemory
  readonly reachability: EndpointReachabilityTask
  readonly chatRelay: ChatRelay
  readonly onRecord: (record: DecisionRecord) => void
  readonly onFault: (error: unknown) => void
}

/** The request path, and the admission filter, which other parts have to wake. */
export interface RequestPath {
  readonly pipeline: RequestPipeline
  readonly admit: AdmitFilter
}

/** Assembles the filters in their order. */
export function createRequestPath(parts: RequestPathParts): RequestPath {
  const { node, catalogue, endpoints, client, clock, random, limits, metrics } = parts
  const { ledger, claims, keys } = node
  const incarnation = node.incarnation
  const instances = () => node.membership.liveCount
  const router = new EndpointRouter({
    catalogue,
    endpoints,
    random,
    instances,
    crashes: parts.crashes,
    onDecision: (request, decision) => logDecision(parts.logger, request, decision),
  })
  const isCutOff = (target: string) => parts.reachability.links.isCutOff(target)
  const checkServing = () => requireServing(node)
  const admit = new AdmitFilter({ catalogue, endpoints, clock, random, instances, checkServing })
  const dispatch = new DispatchFilter({
    catalogue,
    endpoints,
    router,
    client,
    crashes: parts.crashes,
    advices: parts.advices,
    longestRestMilliseconds: limits.longestRestMilliseconds,
    clock,
    random,
    firstByteMilliseconds: limits.firstByteMilliseconds,
    onRetry: () => metrics.noteRetry(),
    onConnectFailed: (...failed) => parts.reachability.noteConnectFailed(...failed),
    isCutOff,
  })
  const continuation = new AnswerContinuation({
    dispatch,
    catalogue,
    space: new AnswerBufferPool(ANSWER_BUFFER_LIMITS),
    clock,
    onContinued: () => metrics.noteContinuation(),
  })
  const filters = {
    authenticate: new AuthenticateFilter(catalogue),
    parse: new ParseFilter(
      catalogue,
      clock,
      {
        maximumBodyBytes: limits.bodyBytes,
        bodyTimeoutMilliseconds: limits.bodyMilliseconds,
        defaultDeadlineMilliseconds: limits.defaultDeadlineMilliseconds,
        longestDeadlineMilliseconds: limits.longestRequestMilliseconds,
      },
      parts.bodies,
    ),
    screen: new CrashScreenFilter(parts.crashes),
    deduplicate: new DeduplicateFilter(keys, incarnation),
    admit,
    reserve: new ReserveFilter(ledger),
    claim: new ClaimFilter(claims),
    route: new RouteFilter(router),
    dispatch,
    delivery: new DeliveryFilter({
      ledger,
      endpoints,
      clock,
      onTokens: tokens => metrics.noteTokens(tokens),
      continuation,
    }),
    settle: new SettleFilter({
      ledger,
      claims,
      clock,
      billTimeoutMilliseconds: limits.billMilliseconds,
    }),
    complete: new CompleteFilter(),
  }
  let count = 0
  const pipeline = new RequestPipeline(filters, {
    incarnation,
    clock,
    createRequestId: () => createRequestId(incarnation, clock.wallTime(), (count += 1)),
    configurationRevision: () => node.configuration.revision,
    chatRelay: parts.chatRelay,
    isCutOff,
    onRecord: parts.onRecord,
    onFault: parts.onFault,
  })
  return { pipeline, admit }
}

function requireServing(node: CoordinationNode): void {
  if (!node.isServing) throw new NotRunError(notServingCode(node.servingState))
  if (!node.journal.hasRoom) throw new NotRunError(ResultCode.JournalBacklogFull)
}

function logDecision(logger: Logger, request: ParsedRequest, decision: RoutingRecord): void {
  logger.info('routing_decision', {
    request: request.requestId,
    team: request.team.teamId,
    target: request.target,
    policy: decision.policy,
    endpoint: decision.endpointId,
    score: decision.compared.find(({ endpointId }) => endpointId === decision.endpointId)?.score,
    compared: decision.compared.length,
  })
}
