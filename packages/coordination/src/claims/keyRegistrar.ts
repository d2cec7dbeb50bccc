/**
 * Registers which instance runs the request with a given idempotency key, so that a caller's retry
 * at another instance does not run alongside its first attempt. Rendezvous hashing over the live
 * instances assigns each key to one of them, its registrar. Owns the keys assigned to this
 * instance.
 */

import type {
  Clock,
  IdempotencyKey,
  IncarnationId,
  Milliseconds,
  TeamId,
  TokenCount,
} from '@rackwalk/shared'
import type { KeyRegistration, PeerChannel, PeerReply, PeerRequest } from '../peerMessages.js'
import { rendezvousChoice } from '@rackwalk/decisions'

/** The newest attempt with a key; `partial`: it ended without a complete answer. */
interface RegisteredKey {
  readonly incarnation: IncarnationId
  readonly requestId: PeerRequest<'registerKey'>['requestId']
  readonly fingerprint: string
  readonly state: 'running' | 'partial' | 'complete'
  /** Tokens billed for all attempts with the key so far. */
  readonly creditedTokens: TokenCount
  readonly updatedAt: Milliseconds
}

/** Time for which a finished key is kept at least, for callers that retry. */
const KEY_RETENTION_MILLISECONDS = 10 * 60_000
/** Maximum number of keys kept; those that were not updated for longest are dropped first. */
const MAXIMUM_KEYS = 100_000

/**
 * Registers which incarnations (runs of instances' processes) run the requests whose keys are
 * assigned to this instance. The registration is only a hint: if it is lost, a repeatable request
 * may run twice, but it is billed once, by its key.
 */
export class KeyRegistrar {
  private readonly keys = new Map<string, RegisteredKey>()

  constructor(
    private readonly clock: Clock,
    private readonly isLive: (incarnation: IncarnationId) => boolean,
  ) {}

  /**
   * Returns what is known about the key, and registers the request as running unless an attempt is
   * running, the key belongs to a different request, or a complete request may not be repeated.
   */
  register(request: PeerRequest<'registerKey'>): KeyRegistration {
    this.forgetOldKeys()
    const name = nameOf(request.teamId, request.key)
    const known = this.keys.get(name)
    const answer =
      known === undefined ? { state: 'first' as const } : this.classifyKey(known, request)
    if (answer.state === 'running' || answer.state === 'mismatch') return answer
    // The caller refuses this request, so it is not registered as running: its end would never be
    // reported.
    if (answer.state === 'ended' && answer.complete && !request.repeatable) return answer
    const { incarnation, requestId, fingerprint } = request
    const creditedTokens = known?.creditedTokens ?? 0
    this.remember(name, { incarnation, requestId, fingerprint, state: 'running', creditedTokens })
    return answer
  }

  /**
   * Records the end of the attempt that is registered; forgets the key if the attempt was
   * incomplete and nothing was billed for the key.
   */
  end(request: PeerRequest<'endKey'>): PeerReply<'endKey'> {
    const name = nameOf(request.teamId, request.key)
    const known = this.keys.get(name)
    if (known?.requestId !== request.requestId) return {}
    const creditedTokens = known.creditedTokens + request.billedTokens
    const isKept = request.complete || creditedTokens > 0
    if (!isKept) this.keys.delete(name)
    else {
      const state = request.complete ? 'complete' : 'partial'
      this.remember(name, { ...known, state, creditedTokens })
    }
    return {}
  }

  private classifyKey(known: RegisteredKey, request: PeerRequest<'registerKey'>): KeyRegistration {
    const { requestId, creditedTokens } = known
    if (known.fingerprint !== request.fingerprint) return { state: 'mismatch', requestId }
    const isRunning = known.state === 'running' && requestId !== request.requestId
    // If the instance that runs a request has terminated, the end of the request will never be
    // reported.
    if (isRunning && this.isLive(known.incarnation)) {
      return { state: 'running', incarnation: known.incarnation, requestId }
    }
    const complete = known.state === 'complete'
    return { state: 'ended', requestId, complete, creditedTokens }
  }

  private remember(name: string, key: Omit<RegisteredKey, 'updatedAt'>): void {
    this.keys.delete(name)
    this.keys.set(name, { ...key, updatedAt: this.clock.monotonic() })
  }

  private forgetOldKeys(): void {
    const oldest = this.clock.monotonic() - KEY_RETENTION_MILLISECONDS
    for (const [name, key] of this.keys) {
      const isOld = key.state !== 'running' && key.updatedAt < oldest
      const isForgotten = isOld || this.keys.size > MAXIMUM_KEYS
      if (!isForgotten) return
      this.keys.delete(name)
    }
  }
}

/** Calls the registrar of a key, on this instance or on a peer. */
export class KeyRegistrarClient {
  constructor(
    private readonly local: KeyRegistrar,
    private readonly incarnation: IncarnationId,
    private readonly peers: PeerChannel,
    private readonly liveIncarnations: () => readonly IncarnationId[],
  ) {}

  /**
   * Registers a key. Returns `first` if the registrar cannot be reached, since the registration is
   * only a hint.
   */
  async register(request: PeerRequest<'registerKey'>): Promise<KeyRegistration> {
    const registrar = this.registrarOf(request.teamId, request.key)
    if (registrar === this.incarnation) return this.local.register(request)
    try {
      return await this.peers.call(registrar, 'registerKey', request)
    } catch {
      return { state: 'first' }
    }
  }

  /** Reports the end of an attempt; ignores a failed call. */
  async end(request: PeerRequest<'endKey'>): Promise<void> {
    const registrar = this.registrarOf(request.teamId, request.key)
    if (registrar === this.incarnation) this.local.end(request)
    else await this.peers.call(registrar, 'endKey', request).catch(() => undefined)
  }

  private registrarOf(teamId: TeamId, key: IdempotencyKey): IncarnationId {
    return rendezvousChoice(nameOf(teamId, key), this.liveIncarnations()) ?? this.incarnation
  }
}

function nameOf(teamId: TeamId, key: IdempotencyKey): string {
  return `${teamId}\0${key}`
}
