/**
 * Claims of requests that may run at most once: the row of a request's idempotency key records
 * which attempt may run. Without claims, a caller's retry at another instance could run the request
 * a second time. Owns the attempts of this incarnation (run of the instance's process) and their
 * states. Relies on the journal to make a claim durable, and on peers to report the state of their
 * claims.
 */

import { RackwalkError, ResultCode } from '@rackwalk/shared'
import type {
  Clock,
  IdempotencyKey,
  IncarnationId,
  Milliseconds,
  RequestId,
  TeamId,
  Version,
} from '@rackwalk/shared'
import { nextRowVersion } from '@rackwalk/stores'
import type { RowCondition, RowWrite, TableService } from '@rackwalk/stores'
import type { Counters } from '../counters.js'
import { decodeRowValue } from '../rowCodecs.js'
import type { Journal, JournalTicket } from '../journal/journal.js'
import type { PeerChannel, PeerReply, PeerRequest } from '../peerMessages.js'
import { claimKey } from '../tableKeys.js'
import { claimRowCodec } from './claimRow.js'
import type { ClaimRow, ClaimState } from './claimRow.js'

/** A claim that this incarnation holds; only its holder may dispatch the request. */
export interface Claim {
  readonly teamId: TeamId
  readonly key: IdempotencyKey
  readonly requestId: RequestId
  readonly version: Version
}

/**
 * Outcome of a claim. `running`, `ran` and `unknown` refer to an earlier request with the same key;
 * `unknown` means that the earlier request may have run. `unconfirmed` means that the claim was not
 * confirmed in time, so that no request may be dispatched on it.
 */
export type ClaimResult =
  | { readonly kind: 'claimed'; readonly claim: Claim }
  | { readonly kind: 'running'; readonly requestId: RequestId }
  | { readonly kind: 'ran'; readonly requestId: RequestId; readonly code: ResultCode }
  | { readonly kind: 'unknown'; readonly requestId: RequestId }
  | { readonly kind: 'unconfirmed' }

/** Dependencies of `Claims`. */
export interface ClaimsParts {
  readonly incarnation: IncarnationId
  readonly table: TableService
  readonly journal: Journal
  readonly peers: PeerChannel
  readonly clock: Clock
  readonly counters: Counters
  readonly isLive: (incarnation: IncarnationId) => boolean
  /** How long a claim may wait for the table before its request is refused. */
  readonly timeoutMilliseconds: Milliseconds
}

/** Maximum number of attempts to claim a key whose earlier claims were released. */
const MAXIMUM_TAKEOVERS = 3
/**
 * Number of attempts above which the states of the oldest finished ones are dropped; peers then
 * learn their results only from the table.
 */
const REMEMBERED_CLAIMS = 50_000

/**
 * Claims of requests that may run at most once. A claim is durable before its request is
 * dispatched; it is written with the journal's group commit. An instance that finds an earlier
 * claim of the key reports the state of that claim, and runs the request only if the claim was
 * released.
 */
export class Claims {
  /** States of all attempts of this incarnation; a state other than `claimed` is final. */
  private readonly states = new Map<RequestId, ClaimState>()
  /** The attempt in progress for each key. */
  private readonly running = new Map<string, RequestId>()

  constructor(private readonly parts: ClaimsParts) {}

  /** Claims a key, or returns the state of the existing claim of the key. */
  async claim(teamId: TeamId, key: IdempotencyKey, requestId: RequestId): Promise<ClaimResult> {
    const name = nameOf(teamId, key)
    const earlier = this.running.get(name)
    if (earlier !== undefined) return { kind: 'running', requestId: earlier }
    this.running.set(name, requestId)
    this.states.set(requestId, 'claimed')
    const result = await this.claimInTable(teamId, key, requestId)
    if (result.kind !== 'claimed') this.end(teamId, key, requestId, 'released')
    return result
  }

  /**
   * Returns the row write that completes a claim; the caller appends it to the journal with the
   * request's bill.
   */
  completion(claim: Claim, code: ResultCode): RowWrite {
    return this.update(claim, { state: 'done', code })
  }

  /**
   * Records that the request has finished. Until the row is written, peers that ask are told so and
   * report the request as `unknown`, since its result is only in the row.
   */
  noteDone(claim: Claim): void {
    this.end(claim.teamId, claim.key, claim.requestId, 'done')
  }

  /**
   * Releases a claim whose request was refused before dispatch; returns undefined if the journal
   * was sealed.
   */
  release(claim: Claim): JournalTicket | undefined {
    this.end(claim.teamId, claim.key, claim.requestId, 'released')
    return this.journalRelease(claim)
  }

  /** Answers a peer that found a claim of this incarnation. */
  answerClaimState(request: PeerRequest<'claimState'>): PeerReply<'claimState'> {
    return { state: this.states.get(request.requestId) ?? 'unknown' }
  }

  private async claimInTable(
    teamId: TeamId,
    key: IdempotencyKey,
    requestId: RequestId,
  ): Promise<ClaimResult> {
    let condition: RowCondition = { kind: 'absent' }
    for (let takeover = 0; takeover < MAXIMUM_TAKEOVERS; takeover += 1) {
      const claim = { teamId, key, requestId, version: nextRowVersion(condition) }
      const outcome = await this.write(claim, condition)
      if (outcome !== 'lost') return outcome
      const found = await this.readClaim(teamId, key)
      if (found === undefined) break
      const judged = await this.classifyClaim(found.row)
      if (judged !== 'released') return judged
      condition = { kind: 'version', version: found.version }
    }
    return { kind: 'unconfirmed' }
  }

  private async write(claim: Claim, condition: RowCondition): Promise<ClaimResult | 'lost'> {
    const row: ClaimRow = {
      state: 'claimed',
      incarnation: this.parts.incarnation,
      requestId: claim.requestId,
      claimedAt: this.parts.clock.wallTime(),
    }
    const ticket = this.append({
      kind: 'put',
      key: claimKey(claim.teamId, claim.key),
      condition,
      value: claimRowCodec.toJson(row),
    })
    const outcome = ticket === undefined ? 'timeout' : await this.awaitWrite(ticket)
    if (outcome === 'lost') return 'lost'
    if (outcome === 'timeout') return this.giveUp(claim, ticket)
    this.parts.counters.increment('claims_made')
    return { kind: 'claimed', claim }
  }

  private append(write: RowWrite): JournalTicket | undefined {
    if (!this.parts.journal.hasRoom) return undefined
    return this.parts.journal.append({ attachment: write })
  }

  /** `timeout` also if the journal was sealed; `lost` if the claim's condition failed. */
  private awaitWrite(ticket: JournalTicket): Promise<'durable' | 'lost' | 'timeout'> {
    return new Promise(resolve => {
      const timer = this.parts.clock.after(this.parts.timeoutMilliseconds, () => resolve('timeout'))
      const finish = (outcome: 'durable' | 'lost' | 'timeout') => {
        timer.cancel()
        resolve(outcome)
      }
      ticket.durable.then(
        () => finish('durable'),
        error => finish(isConflict(error) ? 'lost' : 'timeout'),
      )
    })
  }

  /**
   * Gives up a claim that the table did not confirm in time. The request is refused and never
   * dispatched on this claim; if the claim takes effect later, it is released again.
   */
  private giveUp(claim: Claim, ticket: JournalTicket | undefined): ClaimResult {
    this.parts.counters.increment('claims_abandoned')
    ticket?.durable.then(
      () => this.journalRelease(claim),
      () => undefined,
    )
    return { kind: 'unconfirmed' }
  }

  private journalRelease(claim: Claim): JournalTicket | undefined {
    if (this.parts.journal.sealed) return undefined
    return this.parts.journal.append({ attachment: this.update(claim, { state: 'released' }) })
  }

  private async readClaim(teamId: TeamId, key: IdempotencyKey) {
    this.parts.counters.increment('claims_lost')
    try {
      const found = await this.parts.table.get(claimKey(teamId, key))
      return found && { row: decodeRowValue(claimRowCodec, found), version: found.version }
    } catch (thrown) {
      if (thrown instanceof RackwalkError) return undefined
      throw thrown
    }
  }

  /**
   * Determines what an existing claim means for a new request with the same key. For a claim whose
   * row says `claimed`, asks the incarnation that holds it.
   */
  private async classifyClaim(row: ClaimRow): Promise<ClaimResult | 'released'> {
    const { requestId } = row
    if (row.state === 'released') return 'released'
    if (row.state === 'done') return { kind: 'ran', requestId, code: row.code ?? ResultCode.Ok }
    const state = await this.askOwner(row)
    if (state === 'released') return 'released'
    if (state === 'claimed') return { kind: 'running', requestId }
    return { kind: 'unknown', requestId }
  }

  private async askOwner(row: ClaimRow): Promise<ClaimState | 'unknown'> {
    const { incarnation, requestId } = row
    if (incarnation === this.parts.incarnation) return this.states.get(requestId) ?? 'unknown'
    if (!this.parts.isLive(incarnation)) return 'unknown'
    try {
      const reply = await this.parts.peers.call(incarnation, 'claimState', { requestId })
      return reply.state
    } catch {
      return 'unknown'
    }
  }

  private update(claim: Claim, change: Pick<ClaimRow, 'state' | 'code'>): RowWrite {
    const row: ClaimRow = {
      ...change,
      incarnation: this.parts.incarnation,
      requestId: claim.requestId,
      claimedAt: this.parts.clock.wallTime(),
    }
    return {
      kind: 'put',
      key: claimKey(claim.teamId, claim.key),
      condition: { kind: 'version', version: claim.version },
      value: claimRowCodec.toJson(row),
    }
  }

  private end(teamId: TeamId, key: IdempotencyKey, requestId: RequestId, state: ClaimState) {
    this.states.set(requestId, state)
    const name = nameOf(teamId, key)
    if (this.running.get(name) === requestId) this.running.delete(name)
    this.forgetOldStates()
  }

  private forgetOldStates(): void {
    for (const [requestId, state] of this.states) {
      if (this.states.size <= REMEMBERED_CLAIMS) return
      if (state !== 'claimed') this.states.delete(requestId)
    }
  }
}

function nameOf(teamId: TeamId, key: IdempotencyKey): string {
  return `${teamId}\0${key}`
}

function isConflict(error: unknown): boolean {
  return error instanceof RackwalkError && error.code === ResultCode.VersionConflict
}
