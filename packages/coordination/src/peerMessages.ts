/**
 * Messages between instances of the OpenAI-style kind: the types of request and reply by kind of
 * message, of the channel and of the handlers. The forms on the wire are in peerMessageCodecs.ts.
 * An incarnation is one run of an instance's process.
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

/** Whether an instance accepts new requests. */
export type ServingState = 'starting' | 'serving' | 'draining'

/** An instance's description of itself. */
export interface MemberInfo {
  readonly instanceId: InstanceId
  readonly incarnation: IncarnationId
  readonly region: RegionId
  readonly failureDomain: FailureDomainId
  readonly peerAddress: string
  readonly callerAddress: string
  readonly operatorAddress: string
  readonly state: ServingState
  /** Increases with each heartbeat; the description with the greater number is newer. */
  readonly heartbeat: number
  /** Number of requests in progress, used to distribute callers. */
  readonly inFlight: number
  /** Newest configuration revision in force on the instance. */
  readonly configurationRevision: number
  /**
   * Endpoints that this instance knows to be leaving (about to terminate), so that peers need not
   * wait until the list of endpoints shows this.
   */
  readonly leavingEndpoints: readonly string[]
}

/** Summary of a group whose members exchange heartbeats, for the instances of other groups. */
export interface GroupDigest {
  readonly group: string
  /**
   * Sum of the heartbeat numbers of the group's live members, so that the value changes as long as
   * any member is heard from. A group whose value does not change is disconnected.
   */
  readonly beat: number
  /** Changes when the group's live members or their states change. */
  readonly membersHash: string
  readonly configurationRevision: number
}

/** One configuration change, as stored in the table and sent by peers. */
export interface ConfigurationChange {
  readonly revision: number
  readonly kind: string
  readonly name: string
  /** Absent if the resource was deleted. */
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

/** Request and reply of each kind of message between instances. */
export interface PeerMessages {
  /** Exchanges the descriptions of two instances, and digests of groups. */
  heartbeat: {
    request: { readonly sender: MemberInfo; readonly digests: readonly GroupDigest[] }
    reply: { readonly receiver: MemberInfo }
  }
  /** Requests the live members of a group. */
  members: {
    request: { readonly group: string }
    reply: { readonly members: readonly MemberInfo[] }
  }
  /** Asks the receiver to hold entries that wait for the table; `held`: whether it does. */
  hold: {
    request: { readonly writer: IncarnationId; readonly items: readonly HeldEntry[] }
    reply: { readonly held: boolean }
  }
  /** Asks the receiver to drop held entries up to an index, which are in the table now. */
  releaseHeld: {
    request: { readonly writer: IncarnationId; readonly throughIndex: number }
    reply: Record<string, never>
  }
  /** Collects the held entries of a writer that is being sealed. */
  collectHeld: {
    request: { readonly writer: IncarnationId }
    reply: { readonly items: readonly HeldEntry[] }
  }
  /** Requests tokens of a budget from a peer that holds some. */
  lend: {
    request: {
      readonly transferId: TransferId
      readonly budgetId: BudgetId
      readonly borrower: IncarnationId
      readonly tokens: TokenCount
    }
    reply: { readonly tokens: TokenCount }
  }
  /** Requests the state of a claim from the incarnation that made it. */
  claimState: {
    request: { readonly requestId: RequestId }
    reply: { readonly state: ClaimState | 'unknown' }
  }
  /** Registers the start of an attempt with an idempotency key at the key's registrar. */
  registerKey: {
    request: {
      readonly teamId: TeamId
      readonly key: IdempotencyKey
      readonly incarnation: IncarnationId
      readonly requestId: RequestId
      /** Distinguishes a retry from a different request with the same key. */
      readonly fingerprint: string
      readonly repeatable: boolean
    }
    reply: KeyRegistration
  }
  /** Reports the end of an attempt to the registrar of its key. */
  endKey: {
    request: {
      readonly teamId: TeamId
      readonly key: IdempotencyKey
      readonly requestId: RequestId
      readonly complete: boolean
      /** Tokens billed for this attempt. */
      readonly billedTokens: TokenCount
    }
    reply: Record<string, never>
  }
  /** Asks the committer of a failure domain to write a journal batch. */
  commitBatch: {
    request: { readonly id: TransactionId; readonly writes: readonly RowWrite[] }
    reply: TransactResult
  }
  /** Requests the configuration changes after a revision, or a snapshot if some are missing. */
  configurationSince: {
    request: { readonly revision: number }
    reply: {
      readonly changes?: readonly ConfigurationChange[]
      readonly snapshot?: ConfigurationSnapshot
    }
  }
  /** Reports immediately which requests crash endpoints; heartbeats would be too late. */
  crashNews: {
    request: CrashGossip
    reply: Record<string, never>
  }
  /** Reports immediately which advice endpoints gave. */
  adviceNews: {
    request: { readonly news: readonly AdviceGossip[] }
    reply: Record<string, never>
  }
  /** Asks an instance to stop accepting new requests. */
  drain: {
    request: Record<string, never>
    reply: Record<string, never>
  }
  /** Requests the decision record of a request that the receiver handled. */
  explain: {
    request: { readonly requestId: RequestId }
    reply: { readonly record?: JsonValue }
  }
}

/** What the registrar of an idempotency key knows about the key. */
export type KeyRegistration =
  | { readonly state: 'first' }
  | {
      readonly state: 'running'
      readonly incarnation: IncarnationId
      readonly requestId: RequestId
    }
  /** A different request has used the key. */
  | { readonly state: 'mismatch'; readonly requestId: RequestId }
  | {
      readonly state: 'ended'
      readonly requestId: RequestId
      readonly complete: boolean
      /** Tokens billed for the key so far, which are not billed again for a further attempt. */
      readonly creditedTokens: TokenCount
    }

/** Names of the message kinds. */
export type PeerMessageKind = keyof PeerMessages
/** The request of a message kind. */
export type PeerRequest<Kind extends PeerMessageKind> = PeerMessages[Kind]['request']
/** The reply of a message kind. */
export type PeerReply<Kind extends PeerMessageKind> = PeerMessages[Kind]['reply']

/**
 * Calls other instances. A failed call throws. The receiver may have handled the message
 * nevertheless, so every message is safe to repeat.
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

/** The handlers of one instance; messages of a kind without a handler are rejected. */
export type PeerHandlers = { [Kind in PeerMessageKind]?: PeerHandler<Kind> }
