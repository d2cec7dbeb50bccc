/**
 * Usage by team and model, summed over the journals of all incarnations (runs of instances'
 * processes). Bills of attempts with the same key are folded into one, so that a request that ran
 * twice is billed once.
 */

import { ResultCode, asId } from '@rackwalk/shared'
import type { IncarnationId, Milliseconds, ModelId, TeamId, TokenCount } from '@rackwalk/shared'
import type { TableService } from '@rackwalk/stores'
import type { JournalSlot, SettleEntry } from './journal/journalEntry.js'
import { readJournal } from './journal/journalReader.js'
import { INCARNATIONS_PARTITION, RETIRED_PARTITION } from './tableKeys.js'

/** Usage of one model by one team in a period. */
export interface UsageLine {
  readonly teamId: TeamId
  readonly modelId: ModelId | undefined
  readonly requests: number
  readonly promptTokens: TokenCount
  readonly generatedTokens: TokenCount
  readonly billedTokens: TokenCount
}

/**
 * Usage, with the progress in each journal: two reports with equal progress contain the same data.
 */
export interface UsageReport {
  readonly lines: readonly UsageLine[]
  /** Number of slots folded per incarnation (a progress vector; compare Kineograph, 4). */
  readonly progress: Readonly<Record<IncarnationId, number>>
  /** Tokens taken from budgets beyond the bills (see FoldedBills). */
  readonly excessTokens: TokenCount
}

/** A period of wall-clock time; `to` is exclusive. */
export interface UsagePeriod {
  readonly from: Milliseconds
  readonly to: Milliseconds
}

/** The bills of a set of journals. */
export interface FoldedBills {
  /** One bill per team and key, with the whole cost of the key. */
  readonly bills: readonly SettleEntry[]
  /** Tokens that attempts that did not know of each other took from budgets beyond the bills. */
  readonly excessTokens: TokenCount
}

/**
 * Folds entries into one bill per team and key. An entry of an attempt that knew of earlier bills
 * contains only the tokens beyond them, and its credited tokens are added to get the whole cost. Of
 * the entries of a key, the one with the highest whole cost counts; at equal cost, one that
 * succeeded is preferred.
 */
export function foldBills(journals: readonly (readonly JournalSlot[])[]): FoldedBills {
  const bills = new Map<string, SettleEntry>()
  let taken = 0
  for (const entry of journals.flatMap(settleEntries)) {
    const identity = `${entry.teamId}\0${entry.billKey}`
    const known = bills.get(identity)
    const whole = { ...entry, billedTokens: entry.billedTokens + entry.creditedTokens }
    taken += entry.billedTokens
    bills.set(identity, known === undefined ? whole : preferredBill(known, whole))
  }
  const billed = [...bills.values()].reduce((sum, bill) => sum + bill.billedTokens, 0)
  return { bills: [...bills.values()], excessTokens: taken - billed }
}

/** Reads every journal and sums the bills of a period. */
export async function readUsage(table: TableService, period: UsagePeriod): Promise<UsageReport> {
  const incarnations = await listIncarnations(table)
  const journals = await Promise.all(incarnations.map(id => readJournal(table, id)))
  const { bills, excessTokens } = foldBills(journals.map(journal => journal.slots))
  const inPeriod = bills.filter(bill => bill.endedAt >= period.from && bill.endedAt < period.to)
  const progress = Object.fromEntries(
    incarnations.map((id, position) => [id, journals[position]?.slots.length ?? 0]),
  )
  return { lines: summarizeUsage(inPeriod), progress, excessTokens }
}

/** Sums bills per team and model, in a stable order. */
export function summarizeUsage(bills: readonly SettleEntry[]): readonly UsageLine[] {
  const lines = new Map<string, UsageLine>()
  for (const bill of bills) {
    const name = `${bill.teamId}\0${bill.modelId ?? ''}`
    lines.set(name, addBill(lines.get(name), bill))
  }
  return [...lines.entries()]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .map(([, line]) => line)
}

function addBill(line: UsageLine | undefined, bill: SettleEntry): UsageLine {
  return {
    teamId: bill.teamId,
    modelId: bill.modelId,
    requests: (line?.requests ?? 0) + 1,
    promptTokens: (line?.promptTokens ?? 0) + bill.promptTokens,
    generatedTokens: (line?.generatedTokens ?? 0) + bill.generatedTokens,
    billedTokens: (line?.billedTokens ?? 0) + bill.billedTokens,
  }
}

function settleEntries(slots: readonly JournalSlot[]): readonly SettleEntry[] {
  return slots
    .flatMap(slot => slot.entries)
    .flatMap(({ entry }) => (entry?.kind === 'settle' ? [entry] : []))
}

function preferredBill(known: SettleEntry, other: SettleEntry): SettleEntry {
  if (known.billedTokens !== other.billedTokens) {
    return known.billedTokens > other.billedTokens ? known : other
  }
  return known.code === ResultCode.Ok ? known : other
}

async function listIncarnations(table: TableService): Promise<readonly IncarnationId[]> {
  const open = await table.query(INCARNATIONS_PARTITION)
  const retired = await table.query(RETIRED_PARTITION)
  const ids = [...open, ...retired].map(row => asId<IncarnationId>(row.key.sort))
  return [...new Set(ids)].sort()
}
