import { describe, expect, it } from 'vitest'
import { RackwalkError, ResultCode, SeededRandom, VirtualClock, asId } from '@rackwalk/shared'
import type {
  BudgetId,
  FailureDomainId,
  IdempotencyKey,
  IncarnationId,
  RequestId,
  TeamId,
} from '@rackwalk/shared'
import {
  BatchCoalescer,
  DomainCommitter,
  Journal,
  MemoryCounters,
  readJournal,
  tableKeys,
} from '@rackwalk/coordination'
import type { MemberInfo, PeerChannel, PeerRequest } from '@rackwalk/coordination'
import { MemoryTable } from '@rackwalk/stand-ins'

const MEMBERS = 20
const DOMAIN = asId<FailureDomainId>('domain')

/** Members of one failure domain that send their batches to one committer. */
class Domain {
  readonly table = new MemoryTable()
  readonly journals: Journal[]
  isCommitterReachable = true
  private readonly ids = Array.from({ length: MEMBERS }, (_, n) => asId<IncarnationId>(`m-${n}`))
  private readonly coalescers = new Map(this.ids.map(id => [id, new BatchCoalescer(this.table)]))

  constructor() {
    this.journals = this.ids.map((id, number) => this.createJournal(id, number))
  }

  private createJournal(incarnation: IncarnationId, number: number): Journal {
    const members = this.ids.map(id => ({ incarnation: id, failureDomain: DOMAIN }) as MemberInfo)
    const peers = {
      call: async (target: IncarnationId, _: string, request: PeerRequest<'commitBatch'>) => {
        if (!this.isCommitterReachable) throw new Error('unreachable')
        return this.coalescers.get(target)?.commit(request)
      },
    } as unknown as PeerChannel
    const committer = new DomainCommitter({
      incarnation,
      failureDomain: DOMAIN,
      table: this.table,
      coalescer: this.coalescers.get(incarnation) as BatchCoalescer,
      peers,
      liveMembers: () => members,
    })
    return new Journal({
      incarnation,
      table: this.table,
      committer,
      random: new SeededRandom(number + 1),
      clock: new VirtualClock(),
      counters: new MemoryCounters(),
    })
  }

  appendToAll(): void {
    for (const journal of this.journals) journal.append({ entry: bill() })
  }

  flushAll() {
    return Promise.all(this.journals.map(journal => journal.flush()))
  }
}

function bill() {
  return {
    kind: 'settle' as const,
    budgetId: asId<BudgetId>('budget'),
    teamId: asId<TeamId>('team'),
    billKey: asId<IdempotencyKey>('key'),
    requestId: asId<RequestId>('request'),
    promptTokens: 0,
    generatedTokens: 1,
    billedTokens: 1,
    creditedTokens: 0,
    code: ResultCode.Ok,
    endedAt: 0,
  }
}

describe('DomainCommitter', () => {
  it('writes the batches of a whole domain in a few transactions', async () => {
    const domain = new Domain()
    domain.appendToAll()
    const outcomes = await domain.flushAll()
    expect(new Set(outcomes)).toEqual(new Set(['committed']))
    expect(domain.table.writes).toBeLessThanOrEqual(3)
    expect(domain.table.itemsWritten).toBe(MEMBERS)
  })

  it('lets a sealed writer fail alone', async () => {
    const domain = new Domain()
    const victim = asId<IncarnationId>('m-7')
    await domain.table.transact(asId('sealer'), [
      {
        kind: 'put',
        key: tableKeys.journalSlotKey(victim, 1),
        condition: { kind: 'absent' },
        value: { kind: 'seal', sealedBy: 'other', entries: [] },
      },
    ])
    domain.appendToAll()
    const outcomes = await domain.flushAll()
    expect(outcomes.filter(outcome => outcome === 'committed')).toHaveLength(MEMBERS - 1)
    expect(outcomes[7]).toBe('sealed')
  })

  it('repeats safely when the committer does not answer', async () => {
    const domain = new Domain()
    domain.appendToAll()
    domain.isCommitterReachable = false
    const lost = await domain.flushAll()
    expect(lost.filter(outcome => outcome === 'retry').length).toBe(MEMBERS - 1)
    domain.isCommitterReachable = true
    await domain.flushAll()
    for (const [number, journal] of domain.journals.entries()) {
      expect(journal.backlog).toBe(0)
      const { slots } = await readJournal(domain.table, asId<IncarnationId>(`m-${number}`))
      expect(slots.flatMap(slot => slot.entries)).toHaveLength(1)
    }
  })

  it('says that the outcome is unknown when the committer is lost, never that it failed', async () => {
    const domain = new Domain()
    domain.isCommitterReachable = false
    const committer = new DomainCommitter({
      incarnation: asId<IncarnationId>('m-outside'),
      failureDomain: DOMAIN,
      table: domain.table,
      coalescer: new BatchCoalescer(domain.table),
      peers: { call: () => Promise.reject(new Error('unreachable')) },
      liveMembers: () =>
        Array.from({ length: MEMBERS }, (_, n) => ({
          incarnation: asId<IncarnationId>(`m-${n}`),
          failureDomain: DOMAIN,
        })) as unknown as readonly MemberInfo[],
    })
    const outcome = committer.commit(asId('id'), [])
    await expect(outcome).rejects.toBeInstanceOf(RackwalkError)
    await expect(outcome).rejects.toMatchObject({ code: ResultCode.PlatformAmbiguous })
  })
})
