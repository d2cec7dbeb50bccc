/**
 * Partitions and keys of the rows that the OpenAI-style kind stores in the table. An incarnation is
 * one run of an instance's process.
 */

import type {
  BudgetId,
  IdempotencyKey,
  IncarnationId,
  RequestFingerprint,
  TeamId,
} from '@rackwalk/shared'
import type { RowKey } from '@rackwalk/stores'
import { encodeSortKey } from '@rackwalk/stores'

/** Partition of the incarnations that are running or not yet reclaimed. */
export const INCARNATIONS_PARTITION = 'incarnations'
/** Partition of incarnations whose allocations were returned to their budgets. */
export const RETIRED_PARTITION = 'retired'
/** Partition of the incarnations whose sealing has been announced. */
export const SEALING_PARTITION = 'sealing'
/** Partition of all budget rows. */
export const BUDGETS_PARTITION = 'budgets'
/** Partition of the ordered configuration changes. */
export const CHANGES_PARTITION = 'changes'
/** Partition of the leases. */
export const LEASES_PARTITION = 'leases'

/** Partition of the records of requests that crash endpoints. */
export const CRASHES_PARTITION = 'crashes'

/** Returns the key of the crash record of a request. */
export function crashKey(fingerprint: RequestFingerprint): RowKey {
  return { partition: CRASHES_PARTITION, sort: fingerprint }
}

/** Returns the partition of an incarnation's journal. */
export function journalPartition(incarnation: IncarnationId): string {
  return `journal/${incarnation}`
}

/** Returns the key of a journal slot; slots are numbered from 1. */
export function journalSlotKey(incarnation: IncarnationId, slot: number): RowKey {
  return { partition: journalPartition(incarnation), sort: encodeSortKey(slot) }
}

/** Returns the key of the record of a running incarnation. */
export function incarnationKey(incarnation: IncarnationId): RowKey {
  return { partition: INCARNATIONS_PARTITION, sort: incarnation }
}

/** Returns the key of the record of a reclaimed incarnation. */
export function retiredKey(incarnation: IncarnationId): RowKey {
  return { partition: RETIRED_PARTITION, sort: incarnation }
}

/** Returns the key of the marker of an incarnation that is being sealed. */
export function sealingKey(incarnation: IncarnationId): RowKey {
  return { partition: SEALING_PARTITION, sort: incarnation }
}

/** Returns the key of a budget's row. */
export function budgetKey(budget: BudgetId): RowKey {
  return { partition: BUDGETS_PARTITION, sort: budget }
}

/** Returns the partition that lists the budgets of which an incarnation has a holding. */
export function holdingPartition(incarnation: IncarnationId): string {
  return `holding/${incarnation}`
}

/** Returns the key of the marker that an incarnation has a holding of a budget. */
export function holdingKey(incarnation: IncarnationId, budget: BudgetId): RowKey {
  return { partition: holdingPartition(incarnation), sort: budget }
}

/** Returns the key of a claim. */
export function claimKey(team: TeamId, key: IdempotencyKey): RowKey {
  return { partition: `claim/${team}`, sort: key }
}

/** Returns the key of a configuration change; revisions are numbered from 1. */
export function changeKey(revision: number): RowKey {
  return { partition: CHANGES_PARTITION, sort: encodeSortKey(revision) }
}

/** Returns the key of a lease. */
export function leaseKey(name: string): RowKey {
  return { partition: LEASES_PARTITION, sort: name }
}
