/** The row that records the software versions of a service, and its stored form. The key of the row is the service. */

import * as z from 'zod'
import type { VersionRecord } from '@rackwalk/decisions'
import { asId } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'

/** Table of the rows. */
export const VERSION_TABLE = 'versions'
/** Partition of the rows; a single one, so that one read returns all rows. */
export const VERSION_PARTITION = ''

const recordSchema = z.object({
  knownSince: z.number(),
  versions: z.array(z.object({ softwareVersion: z.string(), unlistedAt: z.number().optional() })),
})

type RecordWire = z.infer<typeof recordSchema>

/** The stored form of a record; times are those of the store's clock, in milliseconds. */
export const versionRecordCodec = new JsonCodec<RecordWire, VersionRecord>({
  schema: recordSchema,
  toWire: ({ knownSince, versions }) => ({
    knownSince: Math.ceil(knownSince),
    versions: versions.map(({ softwareVersion, unlistedAt }) => ({
      softwareVersion,
      ...(unlistedAt === undefined ? {} : { unlistedAt: Math.ceil(unlistedAt) }),
    })),
  }),
  fromWire: ({ knownSince, versions }) => ({
    knownSince,
    versions: versions.map(({ softwareVersion, unlistedAt }) => ({
      softwareVersion: asId(softwareVersion),
      unlistedAt,
    })),
  }),
})
