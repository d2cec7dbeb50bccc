/** The object in which the platform publishes its list of instances: key and JSON format. */

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

/** Decodes the published list. Throws on malformed input. */
export function parseInstanceList(body: Buffer): readonly ListedInstance[] {
  return listSchema.parse(JSON.parse(body.toString('utf8')))
}
