/**
 * The code as it ships, and copies with one deliberate defect each. They prove that the checkers detect
 * such defects.
 */

import type { Reservation, ReservationResult, SealOutcome } from '@rackwalk/coordination'
import type {
  TransactionWrites,
  JsonValue,
  QueryRange,
  RowKey,
  RowWrite,
  TableService,
} from '@rackwalk/stores'
import { BudgetLedger, Claims, HeldEntryArchive, Journal, Sealer } from '@rackwalk/coordination'
import type {
  BudgetLedgerParts,
  BudgetRow,
  ClaimResult,
  ClaimsParts,
  HeldEntryArchiveParts,
  IncarnationRecord,
  JournalParts,
  PeerReply,
  PeerRequest,
  SealerParts,
  SettleEntry,
} from '@rackwalk/coordination'
import { RackwalkError, ResultCode } from '@rackwalk/shared'
import type {
  BudgetId,
  IdempotencyKey,
  RequestId,
  TeamId,
  TokenCount,
  TransactionId,
} from '@rackwalk/shared'

/** The classes that a run uses: the real ones, or one of them with a deliberate defect. */
export interface Variant {
  readonly name: string
  createJournal(parts: JournalParts): Journal
  createLedger(parts: BudgetLedgerParts): BudgetLedger
  createClaims(parts: ClaimsParts): Claims
  createSealer(parts: SealerParts): Sealer
  createArchive(parts: HeldEntryArchiveParts): HeldEntryArchive
  table(table: TableService): TableService
  /** Whether a request that ran but couldn't be billed is refused as "not run". */
  readonly refusesUnbilled: boolean
}

/** The code as it ships. */
export const SOUND: Variant = {
  name: 'sound',
  createJournal: parts => new Journal(parts),
  createLedger: parts => new BudgetLedger(parts),
  createClaims: parts => new Claims(parts),
  createSealer: parts => new Sealer(parts),
  createArchive: parts => new HeldEntryArchive(parts),
  table: table => table,
  refusesUnbilled: false,
}

/** Grants a reservation even if no tokens are allocated for it. */
class UnreservedLedger extends BudgetLedger {
  override async reserve(budgetId: BudgetId, tokens: TokenCount): Promise<ReservationResult> {
    const result = await super.reserve(budgetId, tokens)
    if (result.kind === 'reserved') return result
    const reservation: Reservation = { budgetId, tokens, state: 'open' }
    return { kind: 'reserved', reservation, view: result.view }
  }
}

/** Lends tokens without recording the debit in the journal. */
class UnjournaledLender extends BudgetLedger {
  override async lend(request: PeerRequest<'lend'>): Promise<PeerReply<'lend'>> {
    const view = this.inspect(request.budgetId)
    return { tokens: Math.min(view.available, request.tokens) }
  }
}

/** Releases the end of an answer before its bill is durable or held by peers. */
class EarlyReleaseLedger extends BudgetLedger {
  override settle(reservation: Reservation, entry: SettleEntry, attachment?: RowWrite) {
    const ticket = super.settle(reservation, entry, attachment)
    return { ...ticket, durableOrHeld: Promise.resolve('held' as const) }
  }
}

/** Dispatches on a claim that the table has not confirmed. */
class UnconfirmedClaims extends Claims {
  override async claim(
    teamId: TeamId,
    key: IdempotencyKey,
    requestId: RequestId,
  ): Promise<ClaimResult> {
    const result = await super.claim(teamId, key, requestId)
    if (result.kind !== 'unconfirmed') return result
    return { kind: 'claimed', claim: { teamId, key, requestId, version: 1 } }
  }
}

/** Seals without asking peers for the entries that they hold. */
class UnaskingSealer extends Sealer {
  constructor(parts: SealerParts) {
    super({ ...parts, isConfirmedDead: () => true })
  }

  override seal(target: IncarnationRecord): Promise<SealOutcome> {
    return super.seal(target)
  }
}

/** Reports an ambiguous outcome as a failure, as if the write could not have taken effect. */
class AmbiguityHidingTable implements TableService {
  constructor(private readonly table: TableService) {}

  get(key: RowKey) {
    return this.table.get(key)
  }

  query(partition: string, range?: QueryRange) {
    return this.table.query(partition, range)
  }

  transact(id: TransactionId, writes: readonly RowWrite[]) {
    return this.transactMany([{ id, writes }])
  }

  async transactMany(parts: readonly TransactionWrites[]) {
    try {
      return await this.table.transactMany(parts)
    } catch {
      throw new RackwalkError(ResultCode.PlatformUnavailable)
    }
  }
}

/** Reads the limit of every budget as twice its value. */
class DoubledLimitTable extends AmbiguityHidingTable {
  override async get(key: RowKey) {
    const row = await super.get(key)
    const budget = row?.value as unknown as Partial<BudgetRow> | undefined
    if (row === undefined || budget?.limit === undefined) return row
    return { ...row, value: { ...budget, limit: budget.limit * 2 } as unknown as JsonValue }
  }
}

/** A variant with a deliberate defect, and the guarantee whose violation must be detected. */
export interface BrokenVariant extends Variant {
  readonly breaks: string
}

/** Archives nothing, so that held entries are lost when all their holders die. */
class DiscardingArchive extends HeldEntryArchive {
  override async write(): Promise<void> {}
}

/** At least one variant for each checker, which that checker must detect. */
export const BROKEN_VARIANTS: readonly BrokenVariant[] = [
  {
    ...SOUND,
    name: 'spends unreserved',
    breaks: 'overspend',
    createLedger: parts => new UnreservedLedger(parts),
  },
  {
    ...SOUND,
    name: 'lends unjournalled',
    breaks: 'overspend',
    createLedger: parts => new UnjournaledLender(parts),
  },
  {
    ...SOUND,
    name: 'doubles limits',
    breaks: 'row',
    table: table => new DoubledLimitTable(table),
  },
  {
    ...SOUND,
    name: 'forgets lost answers',
    breaks: 'stranded',
    table: table => new AmbiguityHidingTable(table),
  },
  {
    ...SOUND,
    name: 'releases unbilled',
    breaks: 'billed once',
    createLedger: parts => new EarlyReleaseLedger(parts),
  },
  {
    ...SOUND,
    name: 'seals unasked',
    breaks: 'billed once',
    createSealer: parts => new UnaskingSealer(parts),
  },
  {
    ...SOUND,
    name: 'keeps held entries in memory only',
    breaks: 'billed once',
    createArchive: parts => new DiscardingArchive(parts),
  },
  {
    ...SOUND,
    name: 'trusts lost claims',
    breaks: 'at most once',
    createClaims: parts => new UnconfirmedClaims(parts),
  },
  {
    ...SOUND,
    name: 'spends past settlement',
    breaks: 'books',
    createLedger: parts => new UnreservedLedger(parts),
  },
  { ...SOUND, name: 'refuses what ran', breaks: 'not run', refusesUnbilled: true },
]
