/**
 * Helpers for a program that embeds only the coordination of the OpenAI-style kind: the parts of a
 * node without peers, a budget's initial row and the bill of a request. Keeps no state.
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

/** Exit code of a process whose incarnation was sealed; its supervisor restarts it. */
export const SEALED_EXIT_CODE = 75
const ONLY_REGION = asId<RegionId>('only')
const ONLY_DOMAIN = asId<FailureDomainId>('only')

/** Options that the embedding program has to provide. */
export interface StandaloneOptions {
  readonly instanceId: InstanceId
  readonly table: TableService
  readonly objects: ObjectStore
  readonly policy: AllocationPolicy
}

/**
 * Returns the parts of a node without peers. No data survives the node's process except in the
 * table and the object store.
 */
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

/** A budget to be created. */
export interface NewBudget {
  readonly budgetId: BudgetId
  readonly teamId: TeamId
  readonly limit: TokenCount
}

/**
 * Creates the row of a budget; changes nothing if the row already exists. Throws the errors of the
 * table.
 */
export async function createBudget(table: TableService, budget: NewBudget): Promise<void> {
  const row = createBudgetRow(budget.budgetId, budget.teamId, budget.limit)
  const value = budgetRowCodec.toJson(row)
  const key = budgetKey(budget.budgetId)
  const id = asId<TransactionId>(`create-${budget.budgetId}`)
  await table.transact(id, [{ kind: 'put', key, condition: { kind: 'absent' }, value }])
}

/** A request that was served successfully. */
export interface ServedRequest {
  readonly budgetId: BudgetId
  readonly teamId: TeamId
  readonly requestId: RequestId
  readonly tokens: TokenCount
}

/** Returns the bill of a successful request; the request's id identifies the bill. */
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
