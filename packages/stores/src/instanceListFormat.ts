/**
 * The key and the JSON format of the object in which the platform publishes its list of instances.
 */

import * as z from 'zod'
import { asId } from '@rackwalk/shared'
import type { InstanceId } from '@rackwalk/shared'
import type { ListedInstance } from './instanceList.js'

const listSchema = z.array(
  z.object({
    instanceId: z.string().transform(value => asId<InstanceId>(value)),
    peerAddress: z.string(),
    state: z.enum(['live', 'leaving']),
  }),
)

/** Object key under which the platform publishes its list. */
export const INSTANCE_LIST_KEY = 'platform/instances.json'

/** Decodes the published list. Throws if the text is not JSON or does not match the format. */
export function parseInstanceList(body: Buffer): readonly ListedInstance[] {
  return listSchema.parse(JSON.parse(body.toString('utf8')))
}
