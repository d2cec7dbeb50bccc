/**
 * Messages between instances of the OpenAI-style kind, by kind: request, reply, and who carries and handles
 * them. Their forms on the wire stand in peerForms.ts.
 */

import type { AdviceGossip, CrashGossip } from '@rackwalk/decisions'
import type {
  BudgetId,
  FailureDomainId,
  IdempotencyKey,
  IncarnationId,
  InstanceId,
  Milliseconds,
  RegionId,
  RequestId,
  TeamId,
  TokenCount,
  TransactionId,
  TransferId,
} from '@rackwalk/shared'
import type { JsonValue, RowWrite, TransactResult } from '@rackwalk/stores'
import type { HeldEntry } from './journal/journalEntry.js'
import type { ClaimState } from './claims/claimRow.js'

/** What an instance does with new requests. */
export type ServingState = 'starting' | 'serving' | 'draining'

/** One instance as it describes itself. */
export interface MemberInfo {
  readonly instanceId: InstanceId
  readonly incarnation: IncarnationId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly peerAddress: string
  readonly callerAddress: string
  readonly operatorAddress: string
  readonly state: ServingState
  /** Grows with each heartbeat; a copy with a greater count is newer. */
  readonly heartbeat: number
  /** Requests in progress, by which callers are spread. */
  readonly inFlight: number
  /** Newest configuration revision in force there. */
  readonly configurationRevision: number
  /** Endpoints that this instance saw leaving, so that peers need not wait for the list. */
  readonly leavingEndpoints: readonly string[]
}

/** What other groups need to know of a group whose members beat to each other. */
export interface GroupDigest {
  readonly group: string
  /** Advances while anybody of the group is heard of; a group that stands still is cut off. */
  readonly beat: number
  /** Changes when the group's live members or their states do. */
  readonly membersHash: string
  readonly configurationRevision: number
}

/** One change of the configuration, as the table and peers carry it. */
export interface ConfigurationChange {
  readonly revision: number
  readonly kind: string
  readonly name: string
  /** Absent when the resource was deleted. */
  readonly resource?: JsonValue
  readonly writeId: TransactionId
  readonly operator: string
  readonly at: Milliseconds
}

/** A whole configuration at one revision. */
export interface ConfigurationSnapshot {
  readonly revision: number
  readonly resources: readonly JsonValue[]
}

/** Request and reply of each message between instances. */
export interface PeerMessages {
  heartbeat: {
    request: { readonly sender: MemberInfo; readonly digests: readonly GroupDigest[] }
    reply: { readonly receiver: MemberInfo }
  }
  members: {
    request: { readonly group: string }
    reply: { readonly members: readonly MemberInfo[] }
  }
  hold: {
    request: { readonly writer: IncarnationId; readonly items: readonly HeldEntry[] }
    reply: { readonly held: boolean }
  }
  releaseHeld: {
    request: { readonly writer: IncarnationId; readonly throughIndex: number }
    reply: Record<string, never>
  }
  collectHeld: {
    request: { readonly writer: IncarnationId }
    reply: { readonly items: readonly HeldEntry[] }
  }
  lend: {
    request: {
      readonly transferId: TransferId
      readonly budgetId: BudgetId
      readonly borrower: IncarnationId
      readonly tokens: TokenCount
    }
    reply: { readonly tokens: TokenCount }
  }
  claimState: {
    request: { readonly requestId: RequestId }
    reply: { readonly state: ClaimState | 'unknown' }
  }
  registerKey: {
    request: {
      readonly teamId: TeamId
      readonly key: IdempotencyKey
      readonly incarnation: IncarnationId
      readonly requestId: RequestId
      /** Tells a retry from another request under the same key. */
      readonly fingerprint: string
      readonly repeatable: boolean
    }
    reply: KeyRegistration
  }
  endKey: {
    request: {
      readonly teamId: TeamId
      readonly key: IdempotencyKey
      readonly requestId: RequestId
      readonly complete: boolean
      /** What this attempt was billed. */
      readonly billedTokens: TokenCount
    }
    reply: Record<string, never>
  }
  commitBatch: {
    request: { readonly id: TransactionId; readonly writes: readonly RowWrite[] }
    reply: TransactResult
  }
  configurationSince: {
    request: { readonly revision: number }
    reply: {
      readonly changes?: readonly ConfigurationChange[]
      readonly snapshot?: ConfigurationSnapshot
    }
  }
  /** Tells of requests that end endpoints, at once; heartbeats would be too late. */
  crashNews: {
    request: CrashGossip
    reply: Record<string, never>
  }
  /** Tells what endpoints say of themselves, at once. */
  adviceNews: {
    request: { readonly news: readonly AdviceGossip[] }
    reply: Record<string, never>
  }
  /** Asks an instance to take no new requests. */
  drain: {
    request: Record<string, never>
    reply: Record<string, never>
  }
  explain: {
    request: { readonly requestId: RequestId }
    reply: { readonly record?: JsonValue }
  }
}

/** What the registrar of an idempotency key knows of it. */
export type KeyRegistration =
  | { readonly state: 'first' }
  | {
      readonly state: 'running'
      readonly incarnation: IncarnationId
      readonly requestId: RequestId
    }
  /** Another request used the key. */
  | { readonly state: 'mismatch'; readonly requestId: RequestId }
  | {
      readonly state: 'ended'
      readonly requestId: RequestId
      readonly complete: boolean
      /** Billed for the key so far, which a further attempt is not billed again. */
      readonly creditedTokens: TokenCount
    }

/** Names of the kinds. */
export type PeerMessageKind = keyof PeerMessages
/** The request of a kind. */
export type PeerRequest<Kind extends PeerMessageKind> = PeerMessages[Kind]['request']
/** The reply to a kind. */
export type PeerReply<Kind extends PeerMessageKind> = PeerMessages[Kind]['reply']

/**
 * Calls other instances. A call that fails throws; the message may have been handled all
 * the same, so every message is safe to repeat.
 */
export interface PeerChannel {
  call<Kind extends PeerMessageKind>(
    target: IncarnationId,
    kind: Kind,
    request: PeerRequest<Kind>,
  ): Promise<PeerReply<Kind>>
}

/** Handles one kind of message. */
export type PeerHandler<Kind extends PeerMessageKind> = (
  request: PeerRequest<Kind>,
) => Promise<PeerReply<Kind>> | PeerReply<Kind>

/** The handlers of one instance; a kind without a handler is refused. */
export type PeerHandlers = { [Kind in PeerMessageKind]?: PeerHandler<Kind> }
