import { RackwalkError, ResultCode } from '@rackwalk/shared'
import type { Clock, IncarnationId, Milliseconds, RegionId, TransactionId } from '@rackwalk/shared'
import type {
  IdentifiedWrites,
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
import type { MemoryTable } from '@rackwalk/stand-ins'

const TABLE_MILLISECONDS: Milliseconds = 5
const NEAR_MILLISECONDS: Milliseconds = 1
const FAR_MILLISECONDS: Milliseconds = 30
const TIMEOUT_MILLISECONDS: Milliseconds = 1_000

/** What is out of reach at present, as seen from one region. */
export interface Reach {
  tableFor(region: RegionId): boolean
  between(left: RegionId, right: RegionId): boolean
}

/** The common table as one instance reaches it, on virtual time. */
export class SimulatedTable implements TableService {
  constructor(
    private readonly table: MemoryTable,
    private readonly clock: Clock,
    private readonly region: RegionId,
    private readonly reach: Reach,
  ) {}

  async get(key: RowKey) {
    await this.arrive()
    return this.table.get(key)
  }

  async query(partition: string, range?: QueryRange) {
    await this.arrive()
    return this.table.query(partition, range)
  }

  transact(id: TransactionId, writes: readonly RowWrite[]) {
    return this.transactMany([{ id, writes }])
  }

  async transactMany(parts: readonly IdentifiedWrites[]) {
    await this.arrive()
    return this.table.transactMany(parts)
  }

  private async arrive(): Promise<void> {
    if (this.reach.tableFor(this.region)) return pause(this.clock, TABLE_MILLISECONDS)
    await pause(this.clock, TIMEOUT_MILLISECONDS)
    throw new RackwalkError(ResultCode.PlatformUnavailable)
  }
}

interface NetworkMember {
  readonly region: RegionId
  readonly handlers: PeerHandlers
}

/** The network between instances, on virtual time. */
export class SimulatedNetwork {
  private readonly members = new Map<IncarnationId, NetworkMember>()
  messages = 0

  constructor(
    private readonly clock: Clock,
    private readonly reach: Reach,
  ) {}

  join(incarnation: IncarnationId, member: NetworkMember): void {
    this.members.set(incarnation, member)
  }

  leave(incarnation: IncarnationId): void {
    this.members.delete(incarnation)
  }

  channelOf(sender: IncarnationId, region: RegionId): PeerChannel {
    return {
      call: (target, kind, request) => this.call(sender, region, target, kind, request),
    }
  }

  private async call<Kind extends PeerMessageKind>(
    sender: IncarnationId,
    region: RegionId,
    target: IncarnationId,
    kind: Kind,
    request: PeerRequest<Kind>,
  ): Promise<PeerReply<Kind>> {
    this.messages += 1
    const member = this.members.get(target)
    const isReachable =
      member !== undefined && this.members.has(sender) && this.reach.between(region, member.region)
    if (!isReachable) {
      await pause(this.clock, TIMEOUT_MILLISECONDS)
      throw new RackwalkError(ResultCode.PlatformUnavailable, 'peer')
    }
    await pause(this.clock, member.region === region ? NEAR_MILLISECONDS : FAR_MILLISECONDS)
    const handler = member.handlers[kind] as PeerHandler<Kind> | undefined
    if (handler === undefined) throw new RackwalkError(ResultCode.PlatformUnavailable, 'peer')
    return handler(request)
  }
}

/** The platform's list, which notices a death only after a while. */
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
