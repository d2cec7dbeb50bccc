/**
 * Contents of a journal: entries, slots and entries held by peers, with their forms in the table
 * and in messages.
 */

import * as z from 'zod'
import { ResultCode } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'
import { jsonSchema, idSchema, identityMapping } from '../rowCodecs.js'
import type {
  BudgetId,
  IdempotencyKey,
  IncarnationId,
  Milliseconds,
  ModelId,
  RequestId,
  TeamId,
  TokenCount,
  TransferId,
} from '@rackwalk/shared'
import type { RowWrite } from '@rackwalk/stores'

/** A finished request: its bill, and the data that later reports contain. */
export interface SettleEntry {
  readonly kind: 'settle'
  readonly budgetId: BudgetId
  readonly teamId: TeamId
  /** Identifies the bill together with the team; entries with the same key are billed once. */
  readonly billKey: IdempotencyKey
  readonly requestId: RequestId
  readonly modelId?: ModelId
  readonly promptTokens: TokenCount
  readonly generatedTokens: TokenCount
  readonly billedTokens: TokenCount
  /**
   * Tokens billed by earlier attempts with the same key, and therefore not billed again by this
   * entry.
   */
  readonly creditedTokens: TokenCount
  readonly code: ResultCode
  /** Wall-clock time of the end, in milliseconds. */
  readonly endedAt: Milliseconds
}

/** Tokens transferred from this incarnation's allocation to another's. */
export interface LendEntry {
  readonly kind: 'lend'
  readonly budgetId: BudgetId
  readonly transferId: TransferId
  readonly borrower: IncarnationId
  readonly tokens: TokenCount
}

/** The content of a journal entry. */
export type JournalEntry = SettleEntry | LendEntry

/**
 * An entry with the number that its writer gave to the record. The numbers increase, with gaps
 * where a record was rejected. `entry` is absent for a record that only changes another row.
 */
export interface IndexedEntry {
  readonly index: number
  readonly entry?: JournalEntry
}

/** An entry as held by peers while the table cannot be reached. */
export interface HeldEntry extends IndexedEntry {
  /** A row that must change in the same transaction as the entry. */
  readonly attachment?: RowWrite
}

/** The content of one slot of a journal. The seal is the last slot. */
export type JournalSlot =
  | { readonly kind: 'batch'; readonly entries: readonly IndexedEntry[] }
  | {
      readonly kind: 'seal'
      readonly sealedBy: IncarnationId
      readonly entries: readonly IndexedEntry[]
    }

/** Returns the entries of a journal for one budget after an index, in order. */
export function entriesAfter(
  slots: readonly JournalSlot[],
  index: number,
  budgetId: BudgetId,
): readonly JournalEntry[] {
  return slots
    .flatMap(slot => slot.entries)
    .filter(indexed => indexed.index > index && indexed.entry?.budgetId === budgetId)
    .flatMap(({ entry }) => (entry === undefined ? [] : [entry]))
}

/** Returns the greatest index that a journal contains, 0 for an empty one. */
export function lastIndexOf(slots: readonly JournalSlot[]): number {
  return slots.flatMap(slot => slot.entries).reduce((last, { index }) => Math.max(last, index), 0)
}

const settleSchema = z.object({
  kind: z.literal('settle'),
  budgetId: idSchema<BudgetId>(),
  teamId: idSchema<TeamId>(),
  billKey: idSchema<IdempotencyKey>(),
  requestId: idSchema<RequestId>(),
  modelId: idSchema<ModelId>().optional(),
  promptTokens: z.number(),
  generatedTokens: z.number(),
  billedTokens: z.number(),
  creditedTokens: z.number(),
  code: z.enum(ResultCode),
  endedAt: z.number(),
})

const lendSchema = z.object({
  kind: z.literal('lend'),
  budgetId: idSchema<BudgetId>(),
  transferId: idSchema<TransferId>(),
  borrower: idSchema<IncarnationId>(),
  tokens: z.number(),
})

const indexedEntrySchema = z.object({
  index: z.number(),
  entry: z.discriminatedUnion('kind', [settleSchema, lendSchema]).optional(),
})

const entries = z.array(indexedEntrySchema)

const slotSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('batch'), entries }),
  z.object({ kind: z.literal('seal'), sealedBy: idSchema<IncarnationId>(), entries }),
])

/** The stored form of a journal slot. */
export const journalSlotCodec = new JsonCodec(identityMapping<JournalSlot>(slotSchema))

const keySchema = z.object({ partition: z.string(), sort: z.string() })

const conditionSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('absent') }),
  z.object({ kind: z.literal('version'), version: z.number() }),
])

/** A row write, as carried in messages between instances. */
export const rowWriteSchema: z.ZodType<RowWrite> = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('put'),
    key: keySchema,
    condition: conditionSchema,
    value: jsonSchema,
  }),
  z.object({ kind: z.literal('delete'), key: keySchema, condition: conditionSchema }),
  z.object({ kind: z.literal('check'), key: keySchema, condition: conditionSchema }),
])

/** An entry as held by peers, with the row that changes with it. */
export const heldEntrySchema: z.ZodType<HeldEntry> = indexedEntrySchema.extend({
  attachment: rowWriteSchema.optional(),
})
