/** The network between the nodes of a run: delays and drops messages and replies as the script demands. */

import type { Scheduler } from 'fast-check'
import { RackwalkError, ResultCode } from '@rackwalk/shared'
import type { Clock, IncarnationId, RandomSource } from '@rackwalk/shared'
import type {
  PeerChannel,
  PeerHandler,
  PeerHandlers,
  PeerMessageKind,
  PeerReply,
  PeerRequest,
} from '@rackwalk/coordination'
import type { Gate } from './faultyTable.js'

const CALL_TIMEOUT_MILLISECONDS = 1_000

/** The parts of a node that the network uses. */
export interface NetworkNode {
  readonly incarnation: IncarnationId
  readonly handlers: PeerHandlers
  readonly isDead: boolean
  readonly gate: Gate
}

/** The network between the nodes of a run. */
export class FaultyNetwork {
  private readonly nodes = new Map<IncarnationId, NetworkNode>()
  private readonly cuts = new Set<string>()
  lossShare = 0

  constructor(
    private readonly scheduler: Scheduler,
    private readonly random: RandomSource,
    private readonly clock: Clock,
  ) {}

  add(node: NetworkNode): void {
    this.nodes.set(node.incarnation, node)
  }

  cut(left: IncarnationId, right: IncarnationId): void {
    this.cuts.add(pairName(left, right))
  }

  healAll(): void {
    this.cuts.clear()
    this.lossShare = 0
  }

  channelOf(sender: IncarnationId, gate: Gate): PeerChannel {
    return {
      call: (target, kind, request) => this.call(sender, gate, target, kind, request),
    }
  }

  private async call<Kind extends PeerMessageKind>(
    sender: IncarnationId,
    gate: Gate,
    target: IncarnationId,
    kind: Kind,
    request: PeerRequest<Kind>,
  ): Promise<PeerReply<Kind>> {
    await gate()
    const answer = this.exchange(sender, gate, target, kind, request)
    return this.withTimeout(answer, gate)
  }

  /** Rejects after the call timeout. The peer may still carry out the request. */
  private withTimeout<Reply>(answer: Promise<Reply>, gate: Gate): Promise<Reply> {
    return new Promise((resolve, reject) => {
      const timer = this.clock.after(CALL_TIMEOUT_MILLISECONDS, () => {
        void gate().then(() => reject(unreachable()))
      })
      answer.then(resolve, reject).finally(() => timer.cancel())
    })
  }

  private async exchange<Kind extends PeerMessageKind>(
    sender: IncarnationId,
    gate: Gate,
    target: IncarnationId,
    kind: Kind,
    request: PeerRequest<Kind>,
  ): Promise<PeerReply<Kind>> {
    await this.scheduler.schedule(Promise.resolve(), `${kind} sent`)
    await gate()
    const node = this.nodes.get(target)
    if (node === undefined || node.isDead || this.loses(sender, target)) throw unreachable()
    // A paused peer replies when it resumes, provided that the caller is still waiting.
    await node.gate()
    const handler = node.handlers[kind] as PeerHandler<Kind> | undefined
    if (handler === undefined) throw unreachable()
    const reply = await handler(structuredClone(request))
    await this.scheduler.schedule(Promise.resolve(), `${kind} answered`)
    await gate()
    if (this.loses(sender, target)) throw unreachable()
    return structuredClone(reply)
  }

  private loses(sender: IncarnationId, target: IncarnationId): boolean {
    return this.cuts.has(pairName(sender, target)) || this.random.next() < this.lossShare
  }
}

function pairName(left: IncarnationId, right: IncarnationId): string {
  return [left, right].sort().join(' ')
}

function unreachable(): RackwalkError {
  return new RackwalkError(ResultCode.PlatformUnavailable, 'peer')
}
