/**
 * Codecs of the messages between instances of the OpenAI-style kind, one for the request and one
 * for the reply of each kind of message. In every rolling restart, senders and receivers have
 * different versions, so a name in these schemas may change only together with a mapping that keeps
 * the name on the wire.
 */

import * as z from 'zod'
import type {
  BudgetId,
  EndpointStart,
  FailureDomainId,
  IdempotencyKey,
  IncarnationId,
  InstanceId,
  PromptPartKey,
  RegionId,
  RequestFingerprint,
  RequestId,
  TeamId,
  TransactionId,
  TransferId,
} from '@rackwalk/shared'
import { JsonCodec } from '@rackwalk/stores'
import type { TransactResult } from '@rackwalk/stores'
import { changeSchema, resourceJson } from './configuration/configurationChange.js'
import { jsonSchema, idSchema, identityMapping } from './rowCodecs.js'
import { heldEntrySchema, rowWriteSchema } from './journal/journalEntry.js'
import type {
  GroupDigest,
  KeyRegistration,
  MemberInfo,
  PeerMessageKind,
  PeerReply,
  PeerRequest,
} from './peerMessages.js'

/** Codecs of the request and the reply of one kind of message. */
export interface PeerMessageCodecs<Kind extends PeerMessageKind> {
  readonly request: JsonCodec<PeerRequest<Kind>, PeerRequest<Kind>>
  readonly reply: JsonCodec<PeerReply<Kind>, PeerReply<Kind>>
}

function createCodecs<Kind extends PeerMessageKind>(
  request: z.ZodType<PeerRequest<Kind>>,
  reply: z.ZodType<PeerReply<Kind>>,
): PeerMessageCodecs<Kind> {
  return {
    request: new JsonCodec(identityMapping(request)),
    reply: new JsonCodec(identityMapping(reply)),
  }
}

const nothing = z.object({}) as z.ZodType<Record<string, never>>
const tokens = z.number()
const writer = idSchema<IncarnationId>()
const requestId = idSchema<RequestId>()
const teamId = idSchema<TeamId>()
const key = idSchema<IdempotencyKey>()
const fingerprint = idSchema<RequestFingerprint>()
const start = idSchema<EndpointStart>()
const promptPart = idSchema<PromptPartKey>()

const memberSchema: z.ZodType<MemberInfo> = z.object({
  instanceId: idSchema<InstanceId>(),
  incarnation: idSchema<IncarnationId>(),
  region: idSchema<RegionId>(),
  failureDomain: idSchema<FailureDomainId>(),
  peerAddress: z.string(),
  callerAddress: z.string(),
  operatorAddress: z.string(),
  state: z.enum(['starting', 'serving', 'draining']),
  heartbeat: z.number(),
  inFlight: z.number(),
  configurationRevision: z.number(),
  leavingEndpoints: z.array(z.string()),
})

const digestSchema: z.ZodType<GroupDigest> = z.object({
  group: z.string(),
  beat: z.number(),
  membersHash: z.string(),
  configurationRevision: z.number(),
})

const registrationSchema: z.ZodType<KeyRegistration> = z.discriminatedUnion('state', [
  z.object({ state: z.literal('first') }),
  z.object({ state: z.literal('running'), incarnation: idSchema<IncarnationId>(), requestId }),
  z.object({ state: z.literal('mismatch'), requestId }),
  z.object({
    state: z.literal('ended'),
    requestId,
    complete: z.boolean(),
    creditedTokens: tokens,
  }),
])

const transactResultSchema: z.ZodType<TransactResult> = z.discriminatedUnion('committed', [
  z.object({ committed: z.literal(true) }),
  z.object({ committed: z.literal(false), conflicts: z.array(z.number()) }),
])

const snapshotSchema = z.object({ revision: z.number(), resources: z.array(resourceJson) })

/** The codecs of all messages, by kind. */
export const PEER_MESSAGE_CODECS: { readonly [Kind in PeerMessageKind]: PeerMessageCodecs<Kind> } =
  {
    heartbeat: createCodecs<'heartbeat'>(
      z.object({ sender: memberSchema, digests: z.array(digestSchema) }),
      z.object({ receiver: memberSchema }),
    ),
    members: createCodecs<'members'>(
      z.object({ group: z.string() }),
      z.object({ members: z.array(memberSchema) }),
    ),
    hold: createCodecs<'hold'>(
      z.object({ writer, items: z.array(heldEntrySchema) }),
      z.object({ held: z.boolean() }),
    ),
    releaseHeld: createCodecs<'releaseHeld'>(
      z.object({ writer, throughIndex: z.number() }),
      nothing,
    ),
    collectHeld: createCodecs<'collectHeld'>(
      z.object({ writer }),
      z.object({ items: z.array(heldEntrySchema) }),
    ),
    lend: createCodecs<'lend'>(
      z.object({
        transferId: idSchema<TransferId>(),
        budgetId: idSchema<BudgetId>(),
        borrower: idSchema<IncarnationId>(),
        tokens,
      }),
      z.object({ tokens }),
    ),
    claimState: createCodecs<'claimState'>(
      z.object({ requestId }),
      z.object({ state: z.enum(['claimed', 'released', 'done', 'unknown']) }),
    ),
    registerKey: createCodecs<'registerKey'>(
      z.object({
        teamId,
        key,
        incarnation: idSchema<IncarnationId>(),
        requestId,
        fingerprint: z.string(),
        repeatable: z.boolean(),
      }),
      registrationSchema,
    ),
    endKey: createCodecs<'endKey'>(
      z.object({ teamId, key, requestId, complete: z.boolean(), billedTokens: tokens }),
      nothing,
    ),
    commitBatch: createCodecs<'commitBatch'>(
      z.object({ id: idSchema<TransactionId>(), writes: z.array(rowWriteSchema) }),
      transactResultSchema,
    ),
    configurationSince: createCodecs<'configurationSince'>(
      z.object({ revision: z.number() }),
      z.object({ changes: z.array(changeSchema).optional(), snapshot: snapshotSchema.optional() }),
    ),
    crashNews: createCodecs<'crashNews'>(
      z.object({
        marks: z.array(z.object({ fingerprint, start, wasIsolated: z.boolean() })),
        cleared: z.array(z.object({ fingerprint, starts: z.array(start) })),
        suspected: z.array(z.object({ fingerprint, start, wasIsolated: z.boolean() })).optional(),
        away: z.array(start).optional(),
        lives: z.array(start).optional(),
        partEnds: z
          .array(
            z.object({
              start,
              parts: z.array(promptPart),
              wasIsolated: z.boolean().optional(),
              ageMilliseconds: z.number().nonnegative(),
            }),
          )
          .optional(),
        deadlyParts: z.array(promptPart).optional(),
        soundParts: z.array(promptPart).optional(),
        triedParts: z.array(promptPart).optional(),
      }),
      nothing,
    ),
    adviceNews: createCodecs<'adviceNews'>(
      z.object({
        news: z.array(
          z.object({
            start,
            requestsPerSecond: z.number().positive().optional(),
            isLeaving: z.boolean().optional(),
            ageMilliseconds: z.number().nonnegative(),
          }),
        ),
      }),
      nothing,
    ),
    drain: createCodecs<'drain'>(nothing, nothing),
    explain: createCodecs<'explain'>(
      z.object({ requestId }),
      z.object({ record: jsonSchema.optional() }),
    ),
  }
