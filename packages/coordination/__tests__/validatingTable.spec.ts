import { describe, expect, it } from 'vitest'
import { RackwalkError, ResultCode, asId } from '@rackwalk/shared'
import type { TransactionId } from '@rackwalk/shared'
import type { JsonValue } from '@rackwalk/stores'
import { ValidatingTable } from '@rackwalk/coordination'
import { MemoryTable } from '@rackwalk/stand-ins'

/** Valid except for its resource, which must not be taken for a deletion. */
const CHANGE = {
  ...{ revision: 1, kind: 'teams', name: 'team', resource: { kind: 'teams' } },
  ...{ writeId: 'w', operator: 'o', at: 0 },
}

/** Malformed rows with their partitions; the first element names the defect. */
const MALFORMED: readonly (readonly [string, string, JsonValue])[] = [
  ['a budget without a limit', 'budgets', { budgetId: 'b', teamId: 't', settled: 0, holders: {} }],
  ['a claim in no known state', 'claim/team', { state: 'lost', incarnation: 'i', requestId: 'r' }],
  ['a slot of no known kind', 'journal/first', { kind: 'page', entries: [] }],
  ['a change without a revision', 'changes', { kind: 'teams', name: 'team', operator: 'o', at: 0 }],
  ['a change of what is no resource', 'changes', CHANGE],
  ['a resource that is a text', 'resources/teams', 'team'],
  ['an incarnation that is empty', 'incarnations', {}],
  ['a lease whose epoch is a text', 'leases', { holder: 'i', epoch: '4' }],
  ['a write without a revision', 'writes', {}],
]

async function tableWith(partition: string, value: JsonValue) {
  const memory = new MemoryTable()
  const key = { partition, sort: 'row' }
  const id = asId<TransactionId>('writer')
  await memory.transact(id, [{ kind: 'put', key, condition: { kind: 'absent' }, value }])
  const malformed: string[] = []
  const table = new ValidatingTable(memory, ({ partition, sort }) =>
    malformed.push(`${partition}/${sort}`),
  )
  return { table, key, malformed }
}

async function codeOf(call: Promise<unknown>): Promise<ResultCode | undefined> {
  try {
    await call
    return undefined
  } catch (thrown) {
    return thrown instanceof RackwalkError ? thrown.code : undefined
  }
}

describe('a validating table', () => {
  it.each(MALFORMED)('rejects %s', async (_, partition, value) => {
    const { table, key, malformed } = await tableWith(partition, value)
    expect(await codeOf(table.get(key))).toBe(ResultCode.PlatformUnavailable)
    expect(await codeOf(table.query(partition))).toBe(ResultCode.PlatformUnavailable)
    expect(malformed).toEqual([`${partition}/row`, `${partition}/row`])
  })

  it('returns markers, of which only the keys carry information', async () => {
    const { table, key, malformed } = await tableWith('holding/first', {})
    expect((await table.get(key))?.value).toEqual({})
    expect(malformed).toEqual([])
  })
})

describe('a row that is nested more deeply than the stack is', () => {
  const DEEP = JSON.parse('['.repeat(50_000) + ']'.repeat(50_000)) as JsonValue
  const TEAM = { kind: 'teams', metadata: { name: 'row', version: 1, labels: {}, createdAt: 0 } }

  // It counted as a fault of the instance, not as a row of another writer.
  it.each<readonly [string, JsonValue]>([
    ['resources/teams', { ...TEAM, spec: DEEP }],
    ['resources/teams', DEEP],
    ['changes', { ...CHANGE, resource: { ...TEAM, spec: DEEP } }],
    ['budgets', { budgetId: DEEP, holders: DEEP }],
    ['claim/team', { state: DEEP, requestId: DEEP }],
    ['journal/first', { kind: 'entries', entries: DEEP }],
    ['crashes', { ends: DEEP, at: 0 }],
    ['leases', { holder: DEEP, epoch: DEEP }],
    ['incarnations', DEEP],
  ])('is malformed in %s', async (partition, value) => {
    const key = { partition, sort: 'row' }
    const row = { key, value, version: 1, writtenBy: asId<TransactionId>('writer') }
    const unused = () => Promise.reject(new Error('not called'))
    const malformed: string[] = []
    const table = new ValidatingTable(
      {
        get: () => Promise.resolve(row),
        query: () => Promise.resolve([row]),
        transact: unused,
        transactMany: unused,
      },
      ({ sort }) => malformed.push(sort),
    )
    expect(await codeOf(table.get(key))).toBe(ResultCode.PlatformUnavailable)
    expect(await codeOf(table.query(partition))).toBe(ResultCode.PlatformUnavailable)
    expect(malformed).toEqual(['row', 'row'])
  })
})
