import type { BudgetId, IdempotencyKey, IncarnationId, TeamId } from '@rackwalk/shared'
import type { RowKey } from '@rackwalk/stores'
import { sortKeyOf } from '@rackwalk/stores'

/** Every row that the coordination parts keep, by the key under which it lies. */

/** Partition of the incarnations that are open or not yet reclaimed. */
export const INCARNATIONS_PARTITION = 'incarnations'
/** Partition of incarnations whose allocations went back to their budgets. */
export const RETIRED_PARTITION = 'retired'
/** Partition of the incarnations that somebody has begun to seal. */
export const SEALING_PARTITION = 'sealing'
/** Partition of all budget rows. */
export const BUDGETS_PARTITION = 'budgets'
/** Partition of the ordered configuration changes. */
export const CHANGES_PARTITION = 'changes'
/** Partition of the leases. */
export const LEASES_PARTITION = 'leases'

export function journalPartition(incarnation: IncarnationId): string {
  return `journal/${incarnation}`
}

export function journalSlotKey(incarnation: IncarnationId, slot: number): RowKey {
  return { partition: journalPartition(incarnation), sort: sortKeyOf(slot) }
}

export function incarnationKey(incarnation: IncarnationId): RowKey {
  return { partition: INCARNATIONS_PARTITION, sort: incarnation }
}

export function retiredKey(incarnation: IncarnationId): RowKey {
  return { partition: RETIRED_PARTITION, sort: incarnation }
}

export function sealingKey(incarnation: IncarnationId): RowKey {
  return { partition: SEALING_PARTITION, sort: incarnation }
}

export function budgetKey(budget: BudgetId): RowKey {
  return { partition: BUDGETS_PARTITION, sort: budget }
}

/** Partition that lists the budgets in which an incarnation holds an allocation. */
export function holdingPartition(incarnation: IncarnationId): string {
  return `holding/${incarnation}`
}

export function holdingKey(incarnation: IncarnationId, budget: BudgetId): RowKey {
  return { partition: holdingPartition(incarnation), sort: budget }
}

export function claimKey(team: TeamId, key: IdempotencyKey): RowKey {
  return { partition: `claim/${team}`, sort: key }
}

export function changeKey(revision: number): RowKey {
  return { partition: CHANGES_PARTITION, sort: sortKeyOf(revision) }
}

export function leaseKey(name: string): RowKey {
  return { partition: LEASES_PARTITION, sort: name }
}
