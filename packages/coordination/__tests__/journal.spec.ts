import { beforeEach, describe, expect, it } from 'vitest'
import { RackwalkError, ResultCode, SeededRandom, VirtualClock, asId } from '@rackwalk/shared'
import type { BudgetId, IdempotencyKey, IncarnationId, RequestId, TeamId } from '@rackwalk/shared'
import type { RowWrite, TransactResult } from '@rackwalk/stores'
import { Journal, MemoryCounters, readJournal, tableKeys } from '@rackwalk/coordination'
import type { BatchCommitter, SettleEntry } from '@rackwalk/coordination'
import { MemoryTable } from '@rackwalk/stand-ins'

const WRITER = asId<IncarnationId>('writer')

/** Commits to a table, with an optional fault in the next commit. */
class FaultyCommitter implements BatchCommitter {
  nextFault: 'none' | 'answer lost' | 'request lost' | 'arrives late' = 'none'
  private lateCommit: (() => Promise<TransactResult>) | undefined

  constructor(private readonly table: MemoryTable) {}

  async commit(...args: Parameters<BatchCommitter['commit']>): Promise<TransactResult> {
    const { nextFault } = this
    this.nextFault = 'none'
    if (nextFault === 'none') return this.table.transact(...args)
    if (nextFault === 'answer lost') await this.table.transact(...args)
    if (nextFault === 'arrives late') this.lateCommit = () => this.table.transact(...args)
    throw new RackwalkError(ResultCode.PlatformAmbiguous)
  }

  async arriveLate(): Promise<TransactResult | undefined> {
    return this.lateCommit?.()
  }
}

function settle(requestId: string): SettleEntry {
  return {
    kind: 'settle',
    budgetId: asId<BudgetId>('budget'),
    teamId: asId<TeamId>('team'),
    billKey: asId<IdempotencyKey>(requestId),
    requestId: asId<RequestId>(requestId),
    promptTokens: 1,
    generatedTokens: 1,
    billedTokens: 2,
    creditedTokens: 0,
    code: ResultCode.Ok,
    endedAt: 0,
  }
}

function attachment(sort: string): RowWrite {
  return {
    kind: 'put',
    key: { partition: 'rows', sort },
    condition: { kind: 'absent' },
    value: {},
  }
}

describe('Journal', () => {
  let table: MemoryTable
  let committer: FaultyCommitter
  let journal: Journal

  beforeEach(() => {
    table = new MemoryTable()
    committer = new FaultyCommitter(table)
    const random = new SeededRandom(1)
    const clock = new VirtualClock()
    const counters = new MemoryCounters()
    journal = new Journal({ incarnation: WRITER, table, committer, random, clock, counters })
  })

  async function writtenRequests(): Promise<readonly (string | undefined)[]> {
    const { slots } = await readJournal(table, WRITER)
    const entries = slots.flatMap(slot => slot.entries)
    return entries.map(({ entry }) => (entry?.kind === 'settle' ? entry.requestId : undefined))
  }

  it('recognises its own batch after a lost answer and does not write it again', async () => {
    const ticket = journal.append({ entry: settle('a') })
    committer.nextFault = 'answer lost'
    expect(await journal.flush()).toBe('retry')
    expect(await journal.flush()).toBe('committed')
    await ticket.durable
    expect(await writtenRequests()).toEqual(['a'])
  })

  it('writes an entry once when its first attempt arrives after the second', async () => {
    journal.append({ entry: settle('a') })
    committer.nextFault = 'arrives late'
    expect(await journal.flush()).toBe('retry')
    expect(await journal.flush()).toBe('committed')
    expect(await committer.arriveLate()).toEqual({ committed: false, conflicts: [0] })
    expect(await writtenRequests()).toEqual(['a'])
  })

  it('can never write again once its next slot holds a seal', async () => {
    const ticket = journal.append({ entry: settle('a') })
    await table.transact(asId('sealer'), [
      {
        kind: 'put',
        key: tableKeys.journalSlotKey(WRITER, 1),
        condition: { kind: 'absent' },
        value: { kind: 'seal', sealedBy: 'other', entries: [] },
      },
    ])
    expect(await journal.flush()).toBe('sealed')
    await expect(ticket.durableOrHeld).rejects.toMatchObject({ code: ResultCode.Sealed })
    expect(() => journal.append({ entry: settle('b') })).toThrow(RackwalkError)
    expect(await writtenRequests()).toEqual([])
  })

  it('rejects a record whose row was taken, and writes the others of the batch', async () => {
    await table.transact(asId('other'), [attachment('taken')])
    const rejected = journal.append({ attachment: attachment('taken') })
    const accepted = journal.append({ entry: settle('a'), attachment: attachment('free') })
    expect(await journal.flush()).toBe('retry')
    expect(await journal.flush()).toBe('committed')
    await expect(rejected.durable).rejects.toMatchObject({ code: ResultCode.VersionConflict })
    await expect(accepted.durable).resolves.toBeUndefined()
  })

  it('never puts two changes of one row into the same transaction', async () => {
    journal.append({ attachment: attachment('same') })
    const second = journal.append({ attachment: attachment('same') })
    expect(await journal.flush()).toBe('committed')
    expect(journal.backlog).toBe(1)
    expect(await journal.flush()).toBe('retry')
    await expect(second.durable).rejects.toMatchObject({ code: ResultCode.VersionConflict })
  })

  it('counts an entry as safe when peers hold it, and as durable only later', async () => {
    const ticket = journal.append({ entry: settle('a') })
    committer.nextFault = 'request lost'
    await journal.flush()
    journal.markReplicated(new Set(journal.unreplicatedEntries(10).map(item => item.index)))
    await expect(ticket.durableOrHeld).resolves.toBe('held')
    expect(journal.durableIndex).toBe(0)
    await journal.flush()
    await expect(ticket.durable).resolves.toBeUndefined()
    expect(journal.durableIndex).toBe(ticket.index)
  })
})
