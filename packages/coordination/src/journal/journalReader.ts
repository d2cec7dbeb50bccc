/** Reads a whole journal from the table. */

import type { IncarnationId } from '@rackwalk/shared'
import type { Row, TableService } from '@rackwalk/stores'
import { journalPartition } from '../tableKeys.js'
import { decodeRowValue } from '../rowCodecs.js'
import { journalSlotCodec } from './journalEntry.js'
import type { JournalSlot } from './journalEntry.js'

/** A journal as stored in the table. */
export interface JournalContents {
  readonly slots: readonly JournalSlot[]
  readonly sealed: boolean
}

/** Reads a whole journal in order. */
export async function readJournal(
  table: TableService,
  incarnation: IncarnationId,
): Promise<JournalContents> {
  const rows = await table.query(journalPartition(incarnation))
  const slots = rows.map(slotOf)
  return { slots, sealed: slots.at(-1)?.kind === 'seal' }
}

/** Decodes the slot stored in a row. */
function slotOf(row: Row): JournalSlot {
  return decodeRowValue(journalSlotCodec, row)
}
