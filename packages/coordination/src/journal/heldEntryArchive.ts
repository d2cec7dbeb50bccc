/**
 * Archive in the object store for held journal entries (entries that wait for the table and of
 * which peers have copies in memory). The copies are lost if all instances lose power during an
 * outage of the table; the archived entries are not. Owns the time of the object store's last
 * failure.
 */

import * as z from 'zod'
import { RackwalkError, ResultCode } from '@rackwalk/shared'
import type { Clock, IncarnationId, Milliseconds } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'
import type { ObjectStore } from '@rackwalk/stores'
import type { Counters } from '../counters.js'
import { identityMapping } from '../rowCodecs.js'
import { heldEntrySchema } from './journalEntry.js'
import type { HeldEntry } from './journalEntry.js'

/** Dependencies of a `HeldEntryArchive`. */
export interface HeldEntryArchiveParts {
  readonly objects: ObjectStore
  readonly clock: Clock
  readonly counters: Counters
}

interface HeldBatch {
  readonly items: readonly HeldEntry[]
}

const heldBatchCodec = new JsonCodec(
  identityMapping<HeldBatch>(z.object({ items: z.array(heldEntrySchema) })),
)

const PREFIX = 'held'
/** Number of digits of an entry's index in a key, so that keys sort in the order of the entries. */
const INDEX_DIGITS = 12
const KEYS_PER_LIST = 1_000
/**
 * No write is attempted for this long after a failure: the end of an answer to a caller waits until
 * its entry is held, and therefore for the object store.
 */
const RETRY_MILLISECONDS: Milliseconds = 5_000

/** Writes held entries of one instance, and reads those of any instance. */
export class HeldEntryArchive {
  private failedAt: Milliseconds = Number.NEGATIVE_INFINITY

  constructor(private readonly parts: HeldEntryArchiveParts) {}

  /**
   * Writes the entries as one object. A failure of the object store is counted but not reported to
   * the caller, since peers hold the entries too.
   */
  async write(writer: IncarnationId, items: readonly HeldEntry[]): Promise<void> {
    const { objects, clock, counters } = this.parts
    const first = items[0]?.index
    if (first === undefined || clock.monotonic() - this.failedAt < RETRY_MILLISECONDS) return
    try {
      await objects.put(keyOf(writer, first), Buffer.from(heldBatchCodec.encode({ items })))
      counters.increment('held_objects_written')
    } catch (thrown) {
      if (!(thrown instanceof RackwalkError)) throw thrown
      this.failedAt = clock.monotonic()
      counters.increment('held_objects_failed')
    }
  }

  /**
   * Returns all entries that were archived for this writer; throws if the object store does not
   * answer or an object is malformed.
   */
  async read(writer: IncarnationId): Promise<readonly HeldEntry[]> {
    const items: HeldEntry[] = []
    for (const key of await this.keysOf(writer)) {
      const body = await this.parts.objects.get(key)
      if (body === undefined) continue
      const batch = heldBatchCodec.decode(body.toString('utf8'))
      if (batch === undefined) {
        throw new RackwalkError(ResultCode.PlatformUnavailable, `malformed object ${key}`)
      }
      items.push(...batch.items)
    }
    return items
  }

  private async keysOf(writer: IncarnationId): Promise<readonly string[]> {
    const keys: string[] = []
    for (;;) {
      const next = await this.parts.objects.list(prefixOf(writer), KEYS_PER_LIST, keys.at(-1))
      keys.push(...next)
      if (next.length < KEYS_PER_LIST) return keys
    }
  }
}

function prefixOf(writer: IncarnationId): string {
  return `${PREFIX}/${writer}/`
}

function keyOf(writer: IncarnationId, firstIndex: number): string {
  return `${prefixOf(writer)}${String(firstIndex).padStart(INDEX_DIGITS, '0')}`
}
