/** Every row that the OpenAI-style kind keeps in the table, by the key under which it lies. */

import type {
  BudgetId,
  IdempotencyKey,
  IncarnationId,
  RequestFingerprint,
  TeamId,
} from '@rackwalk/shared'
import type { RowKey } from '@rackwalk/stores'
import { encodeSortKey } from '@rackwalk/stores'

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

/** Partition of the records of requests that end endpoints. */
export const CRASHES_PARTITION = 'crashes'

/** The key of the record of one such request. */
export function crashKey(fingerprint: RequestFingerprint): RowKey {
  return { partition: CRASHES_PARTITION, sort: fingerprint }
}

/** The partition of an incarnation's journal. */
export function journalPartition(incarnation: IncarnationId): string {
  return `journal/${incarnation}`
}

/** The key of one slot of a journal; slots count from 1. */
export function journalSlotKey(incarnation: IncarnationId, slot: number): RowKey {
  return { partition: journalPartition(incarnation), sort: encodeSortKey(slot) }
}

/** The key of the record of a running incarnation. */
export function incarnationKey(incarnation: IncarnationId): RowKey {
  return { partition: INCARNATIONS_PARTITION, sort: incarnation }
}

/** The key of the marker of an incarnation that was reclaimed. */
export function retiredKey(incarnation: IncarnationId): RowKey {
  return { partition: RETIRED_PARTITION, sort: incarnation }
}

/** The key of the marker of an incarnation that is being sealed. */
export function sealingKey(incarnation: IncarnationId): RowKey {
  return { partition: SEALING_PARTITION, sort: incarnation }
}

/** The key of a budget's row. */
export function budgetKey(budget: BudgetId): RowKey {
  return { partition: BUDGETS_PARTITION, sort: budget }
}

/** Partition that lists the budgets in which an incarnation holds an allocation. */
export function holdingPartition(incarnation: IncarnationId): string {
  return `holding/${incarnation}`
}

/** The key of the marker that an incarnation holds something of a budget. */
export function holdingKey(incarnation: IncarnationId, budget: BudgetId): RowKey {
  return { partition: holdingPartition(incarnation), sort: budget }
}

/** The key of a claim. */
export function claimKey(team: TeamId, key: IdempotencyKey): RowKey {
  return { partition: `claim/${team}`, sort: key }
}

/** The key of a change; revisions count from 1. */
export function changeKey(revision: number): RowKey {
  return { partition: CHANGES_PARTITION, sort: encodeSortKey(revision) }
}

/** The key of a lease. */
export function leaseKey(name: string): RowKey {
  return { partition: LEASES_PARTITION, sort: name }
}
