/** The durable claim of a request that may run at most once: its states and stored form. */

import * as z from 'zod'
import { ResultCode } from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'
import { idSchema, identityMapping } from '../rowCodecs.js'
import type { IncarnationId, Milliseconds, RequestId } from '@rackwalk/shared'

/**
 * `claimed`: the request may be running. `released`: it was refused before dispatch, so its key may
 * be claimed again. `done`: it ran, and `code` is its result.
 */
export type ClaimState = 'claimed' | 'released' | 'done'

/** The durable claim of one request that may run at most once. */
export interface ClaimRow {
  readonly state: ClaimState
  readonly incarnation: IncarnationId
  readonly requestId: RequestId
  /** Wall-clock time at which the row was written. */
  readonly claimedAt: Milliseconds
  readonly code?: ResultCode
}

const claimSchema = z.object({
  state: z.enum(['claimed', 'released', 'done']),
  code: z.enum(ResultCode).optional(),
  incarnation: idSchema<IncarnationId>(),
  requestId: idSchema<RequestId>(),
  claimedAt: z.number(),
})

/** The stored form of a claim. */
export const claimRowCodec = new JsonCodec(identityMapping<ClaimRow>(claimSchema))
