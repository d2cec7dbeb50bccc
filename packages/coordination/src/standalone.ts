/**
 * What a program needs that embeds the OpenAI-style kind's coordination alone: the parts of a node without
 * peers, a budget's first row and the bill of a request. Owns nothing.
 */

import { ResultCode, SystemClock, SystemRandom, asId } from '@rackwalk/shared'
import type {
  BudgetId,
  FailureDomainId,
  IdempotencyKey,
  IncarnationId,
  InstanceId,
  RegionId,
  RequestId,
  TeamId,
  TokenCount,
  TransactionId,
} from '@rackwalk/shared'
import type { ObjectStore, TableService } from '@rackwalk/stores'
import type { AllocationPolicy } from './budget/allocationPolicy.js'
import { budgetRowCodec, createBudgetRow } from './budget/budgetRow.js'
import type { CoordinationNodeParts } from './coordinationNode.js'
import { MemoryCounters } from './counters.js'
import type { SettleEntry } from './journal/journalEntry.js'
import { budgetKey } from './tableKeys.js'

/** Exit code of a process whose incarnation was sealed; its supervisor starts it anew. */
export const SEALED_EXIT_CODE = 75
const ONLY_REGION = asId<RegionId>('only')
const ONLY_DOMAIN = asId<FailureDomainId>('only')

/** What the program itself has to choose. */
export interface StandaloneOptions {
  readonly instanceId: InstanceId
  readonly table: TableService
  readonly objects: ObjectStore
  readonly policy: AllocationPolicy
}

/** Parts of a node that has no peers: the table alone keeps what outlives it. */
export function standaloneParts(options: StandaloneOptions): CoordinationNodeParts {
  const random = new SystemRandom()
  const { instanceId, ...chosen } = options
  const addresses = { peerAddress: '', callerAddress: '', operatorAddress: '' }
  const incarnation = asId<IncarnationId>(`${instanceId}-${random.uniqueId()}`)
  return {
    ...chosen,
    identity: {
      instanceId,
      incarnation,
      region: ONLY_REGION,
      failureDomain: ONLY_DOMAIN,
      ...addresses,
    },
    instances: { list: () => Promise.resolve([]) },
    peers: { call: () => Promise.reject(new Error('a standalone node has no peers')) },
    clock: new SystemClock(),
    random,
    counters: new MemoryCounters(),
    resourceKinds: [],
    onSealed: () => process.exit(SEALED_EXIT_CODE),
    onFault: error => console.error(error),
  }
}

/** A budget as it is created. */
export interface NewBudget {
  readonly budgetId: BudgetId
  readonly teamId: TeamId
  readonly limit: TokenCount
}

/**
 * Writes the row of a budget that is not there yet; throws as the table does, and where the row exists
 * changes nothing.
 */
export async function createBudget(table: TableService, budget: NewBudget): Promise<void> {
  const row = createBudgetRow(budget.budgetId, budget.teamId, budget.limit)
  const value = budgetRowCodec.toJson(row)
  const key = budgetKey(budget.budgetId)
  const id = asId<TransactionId>(`create-${budget.budgetId}`)
  await table.transact(id, [{ kind: 'put', key, condition: { kind: 'absent' }, value }])
}

/** A request that ran well. */
export interface ServedRequest {
  readonly budgetId: BudgetId
  readonly teamId: TeamId
  readonly requestId: RequestId
  readonly tokens: TokenCount
}

/** The bill of a request that ran well; the request's id is the identity of the bill. */
export function createBill({ budgetId, teamId, requestId, tokens }: ServedRequest): SettleEntry {
  return {
    kind: 'settle',
    budgetId,
    teamId,
    billKey: asId<IdempotencyKey>(requestId),
    requestId,
    promptTokens: 0,
    generatedTokens: tokens,
    billedTokens: tokens,
    creditedTokens: 0,
    code: ResultCode.Ok,
    endedAt: Date.now(),
  }
}
