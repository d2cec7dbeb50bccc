/** Simulates the table, the network between instances and the instance list on virtual time. */

import { RackwalkError, ResultCode } from '@rackwalk/shared'
import type { Clock, IncarnationId, Milliseconds, TransactionId } from '@rackwalk/shared'
import type {
  TransactionWrites,
  InstanceList,
  ListedInstance,
  QueryRange,
  RowKey,
  RowWrite,
  TableService,
} from '@rackwalk/stores'
import type {
  PeerChannel,
  PeerHandler,
  PeerHandlers,
  PeerMessageKind,
  PeerReply,
  PeerRequest,
} from '@rackwalk/coordination'
import type { MemoryTable } from './memoryTable.js'

const TABLE_MILLISECONDS: Milliseconds = 5
const PEER_MILLISECONDS: Milliseconds = 1
const TIMEOUT_MILLISECONDS: Milliseconds = 1_000

/** One instance's connection to the shared table. Calls have a latency, or time out during an outage. */
export class SimulatedTable implements TableService {
  constructor(
    private readonly table: MemoryTable,
    private readonly clock: Clock,
    private readonly isUnreachable: () => boolean,
  ) {}

  async get(key: RowKey) {
    await this.delay()
    return this.table.get(key)
  }

  async query(partition: string, range?: QueryRange) {
    await this.delay()
    return this.table.query(partition, range)
  }

  transact(id: TransactionId, writes: readonly RowWrite[]) {
    return this.transactMany([{ id, writes }])
  }

  async transactMany(parts: readonly TransactionWrites[]) {
    await this.delay()
    return this.table.transactMany(parts)
  }

  private async delay(): Promise<void> {
    if (!this.isUnreachable()) return pause(this.clock, TABLE_MILLISECONDS)
    await pause(this.clock, TIMEOUT_MILLISECONDS)
    throw new RackwalkError(ResultCode.PlatformUnavailable)
  }
}

/** The network between instances. Calls have a latency, or time out if either instance has left. */
export class SimulatedNetwork {
  private readonly members = new Map<IncarnationId, PeerHandlers>()

  constructor(private readonly clock: Clock) {}

  join(incarnation: IncarnationId, handlers: PeerHandlers): void {
    this.members.set(incarnation, handlers)
  }

  leave(incarnation: IncarnationId): void {
    this.members.delete(incarnation)
  }

  channelOf(sender: IncarnationId): PeerChannel {
    return {
      call: (target, kind, request) => this.call(sender, target, kind, request),
    }
  }

  private async call<Kind extends PeerMessageKind>(
    sender: IncarnationId,
    target: IncarnationId,
    kind: Kind,
    request: PeerRequest<Kind>,
  ): Promise<PeerReply<Kind>> {
    const handlers = this.members.get(target)
    if (handlers === undefined || !this.members.has(sender)) {
      await pause(this.clock, TIMEOUT_MILLISECONDS)
      throw new RackwalkError(ResultCode.PlatformUnavailable, 'peer')
    }
    await pause(this.clock, PEER_MILLISECONDS)
    const handler = handlers[kind] as PeerHandler<Kind> | undefined
    if (handler === undefined) throw new RackwalkError(ResultCode.PlatformUnavailable, 'peer')
    return handler(request)
  }
}

/** The platform's instance list. It lists removed instances for a further time. */
export class LaggingList implements InstanceList {
  private readonly entries = new Map<ListedInstance, Milliseconds>()

  constructor(
    private readonly clock: Clock,
    private readonly lag: Milliseconds,
  ) {}

  add(instance: ListedInstance): void {
    this.entries.set(instance, Number.POSITIVE_INFINITY)
  }

  remove(instance: ListedInstance): void {
    this.entries.set(instance, this.clock.monotonic() + this.lag)
  }

  async list(): Promise<readonly ListedInstance[]> {
    const now = this.clock.monotonic()
    return [...this.entries].flatMap(([instance, until]) => (until > now ? [instance] : []))
  }
}

function pause(clock: Clock, duration: Milliseconds): Promise<void> {
  return new Promise(resolve => clock.after(duration, resolve))
}
