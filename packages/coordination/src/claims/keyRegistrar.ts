/**
 * Registers which instance runs the request with a given idempotency key, as a hint that keeps a
 * caller's retry from running alongside its first attempt. Owns the keys that hashing assigns to
 * this instance.
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

interface RegisteredKey {
  readonly incarnation: IncarnationId
  readonly requestId: PeerRequest<'registerKey'>['requestId']
  readonly fingerprint: string
  readonly state: 'running' | 'partial' | 'complete'
  readonly creditedTokens: TokenCount
  readonly updatedAt: Milliseconds
}

/** How long a finished key is remembered, for callers that retry. */
const KEY_RETENTION_MILLISECONDS = 10 * 60_000
/** Maximum number of keys remembered; the oldest are dropped first. */
const MAXIMUM_KEYS = 100_000

/**
 * Registers which incarnations run the requests whose keys rendezvous hashing assigns to this
 * instance, so that a caller's retry at another instance does not run alongside the first attempt.
 * This is a hint: if it is lost, a repeatable request may run twice, but it is billed once, by its
 * key.
 */
export class KeyRegistrar {
  private readonly keys = new Map<string, RegisteredKey>()

  constructor(
    private readonly clock: Clock,
    private readonly isLive: (incarnation: IncarnationId) => boolean,
  ) {}

  register(request: PeerRequest<'registerKey'>): KeyRegistration {
    this.forgetOldKeys()
    const name = nameOf(request.teamId, request.key)
    const known = this.keys.get(name)
    const answer =
      known === undefined ? { state: 'first' as const } : this.classifyKey(known, request)
    if (answer.state === 'running' || answer.state === 'mismatch') return answer
    // This request will be refused, so it is not registered as running: its end would never be
    // reported.
    if (answer.state === 'ended' && answer.complete && !request.repeatable) return answer
    const { incarnation, requestId, fingerprint } = request
    const creditedTokens = known?.creditedTokens ?? 0
    this.remember(name, { incarnation, requestId, fingerprint, state: 'running', creditedTokens })
    return answer
  }

  end(request: PeerRequest<'endKey'>): PeerReply<'endKey'> {
    const name = nameOf(request.teamId, request.key)
    const known = this.keys.get(name)
    if (known?.requestId !== request.requestId) return {}
    const creditedTokens = known.creditedTokens + request.billedTokens
    const hasTrace = request.complete || creditedTokens > 0
    if (!hasTrace) this.keys.delete(name)
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
   * Registers a key; also returns `first` if the registrar cannot be reached, since it is only a
   * hint.
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
