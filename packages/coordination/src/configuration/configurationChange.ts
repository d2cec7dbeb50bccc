/** The form of a configuration change in the table and in messages between instances. */

import * as z from 'zod'
import type { TransactionId } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'
import { jsonSchema, idSchema, identityMapping } from '../rowCodecs.js'
import type { ConfigurationChange } from '../peerMessages.js'
import { resourceCodec } from './resource.js'

/**
 * A resource as JSON. A malformed resource must be rejected: if it were read as absent, the change
 * would count as a deletion.
 */
export const resourceJson = jsonSchema.refine(json => resourceCodec.fromJson(json) !== undefined)

/** A configuration change; its resource is absent if the change is a deletion. */
export const changeSchema: z.ZodType<ConfigurationChange> = z.object({
  revision: z.number(),
  kind: z.string(),
  name: z.string(),
  resource: resourceJson.optional(),
  writeId: idSchema<TransactionId>(),
  operator: z.string(),
  at: z.number(),
})

/** The stored form of a change. */
export const changeCodec = new JsonCodec(identityMapping<ConfigurationChange>(changeSchema))
