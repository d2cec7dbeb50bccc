/** The write to a budget's row that accompanies a change of the budget's resource, in the same transaction. */

import { asId } from '@rackwalk/shared'
import type { BudgetId, TeamId } from '@rackwalk/shared'
import type { RowWrite, TableService } from '@rackwalk/stores'
import {
  budgetRowCodec,
  createBudgetRow,
  tableKeys,
  decodeRowValue,
  withLimit,
} from '@rackwalk/coordination'
import type { BudgetRow } from '@rackwalk/coordination'
import type { BudgetSpec } from '@rackwalk/router'

/**
 * Returns the write to a budget's row that accompanies the write of its resource, so that an accepted limit is in
 * force for the next allocation on any instance. The row outlives the resource: allocations of a deleted budget still
 * have to be accounted for.
 */
export async function budgetRowWrites(
  table: TableService,
  name: string,
  spec: BudgetSpec | undefined,
): Promise<readonly RowWrite[]> {
  const budgetId = asId<BudgetId>(name)
  const key = tableKeys.budgetKey(budgetId)
  const stored = await table.get(key)
  if (stored === undefined) {
    if (spec === undefined) return []
    const created = createBudgetRow(budgetId, asId<TeamId>(spec.team), spec.limit)
    return [
      { kind: 'put', key, condition: { kind: 'absent' }, value: budgetRowCodec.toJson(created) },
    ]
  }
  const current = decodeRowValue(budgetRowCodec, stored)
  const changed = spec === undefined ? { ...current, deleted: true } : changedRow(current, spec)
  const condition = { kind: 'version', version: stored.version } as const
  return [{ kind: 'put', key, condition, value: budgetRowCodec.toJson(changed) }]
}

function changedRow(current: BudgetRow, spec: BudgetSpec): BudgetRow {
  return { ...withLimit(current, spec.limit), teamId: asId<TeamId>(spec.team) }
}
