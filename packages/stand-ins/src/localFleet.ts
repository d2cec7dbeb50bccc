/** Several real daemons of the OpenAI-style kind in one process. */

import { asId } from '@rackwalk/shared'
import type { InstanceId } from '@rackwalk/shared'
import { RackwalkDaemon, settingsSchema } from '@rackwalk/daemon'
import type { BoundAddresses, Logger, Settings } from '@rackwalk/daemon'
import { hashApiKey } from '@rackwalk/router'
import type { LocalPlatform } from './localPlatform.js'
import { OperatorClient } from './operatorClient.js'

/** How a fleet in one process is laid out. */
export interface FleetOptions {
  readonly instances: number
  readonly operatorToken: string
  /** First ports of the listeners; undefined takes free ones. */
  readonly ports?: { readonly callers: number; readonly operators: number }
  readonly logger?: Logger
  readonly timings?: Partial<Settings['timings']>
  readonly limits?: Partial<Settings['limits']>
}

/** What a fleet needs of the platform's stand-ins, which may run in another thread. */
export type FleetPlatform = Pick<LocalPlatform, 'tableUrl' | 'objectUrl' | 'publishInstances'>

/** One instance of the fleet with its addresses. */
export interface FleetMember {
  readonly instanceId: InstanceId
  readonly daemon: RackwalkDaemon
  readonly addresses: BoundAddresses
}

const FAILURE_DOMAINS = ['a', 'b', 'c', 'd']
const READY_POLL_MILLISECONDS = 20

/** Several real daemons in one process, over the platform's stand-ins. */
export class LocalFleet {
  readonly members: FleetMember[] = []

  constructor(
    private readonly platform: FleetPlatform,
    private readonly options: FleetOptions,
  ) {
    // The settings name secrets; the stand-ins take any.
    process.env['RACKWALK_STAND_IN_SECRET'] ??= 'stand-in'
  }

  /** Starts all instances and waits until each serves. */
  async start(): Promise<void> {
    for (let number = 0; number < this.options.instances; number += 1) await this.add(number)
    await this.publish()
    await this.whenServing()
  }

  /** Starts one instance under a number; a number used before is a replacement. */
  async add(number: number): Promise<FleetMember> {
    const settings = this.settingsOf(number)
    const daemon = new RackwalkDaemon(settings, {
      logger: this.options.logger,
      withProcessMetrics: number === 0,
    })
    const addresses = await daemon.start()
    const member = { instanceId: asId<InstanceId>(settings.instance.id), daemon, addresses }
    this.members.push(member)
    return member
  }

  /** Tells the platform's list what is running. */
  async publish(): Promise<void> {
    await this.platform.publishInstances(
      this.members.map(({ instanceId, addresses }) => ({
        instanceId,
        peerAddress: addresses.peers,
        state: 'live' as const,
      })),
    )
  }

  /** Resolves when all instances serve and know each other. */
  async whenServing(): Promise<void> {
    const isReady = () =>
      this.members.every(
        ({ daemon }) =>
          daemon.isServing && daemon.node.membership.liveMembers().length >= this.members.length,
      )
    while (!isReady()) await new Promise(resolve => setTimeout(resolve, READY_POLL_MILLISECONDS))
  }

  /** Resolves when a configuration revision is in force everywhere. */
  async whenInForce(revision: number): Promise<void> {
    const isInForce = () =>
      this.members.every(({ daemon }) => daemon.node.configuration.revision >= revision)
    while (!isInForce()) await new Promise(resolve => setTimeout(resolve, READY_POLL_MILLISECONDS))
  }

  operator(member = this.members[0]): OperatorClient {
    if (member === undefined) throw new Error('the fleet is empty')
    return new OperatorClient(member.addresses.operators, this.options.operatorToken)
  }

  /** Ends one instance as a death would. */
  async kill(member: FleetMember): Promise<void> {
    this.members.splice(this.members.indexOf(member), 1)
    await member.daemon.stop()
  }

  /** Drains all instances at the same time. */
  async drain(): Promise<void> {
    await Promise.all(this.members.map(({ daemon }) => daemon.drain()))
  }

  async stop(): Promise<void> {
    await Promise.all(this.members.map(({ daemon }) => daemon.stop()))
  }

  private settingsOf(number: number): Settings {
    const { ports, operatorToken, timings, limits } = this.options
    const secret = { environment: 'RACKWALK_STAND_IN_SECRET' }
    const credentials = { accessKeyId: secret, secretAccessKey: secret }
    const port = (first: number | undefined) => (first === undefined ? 0 : first + number)
    return settingsSchema.parse({
      instance: {
        id: `instance-${number}`,
        region: 'local',
        failureDomain: FAILURE_DOMAINS[number % FAILURE_DOMAINS.length],
      },
      listen: {
        callers: `127.0.0.1:${port(ports?.callers)}`,
        operators: `127.0.0.1:${port(ports?.operators)}`,
        peers: '127.0.0.1:0',
      },
      platform: {
        table: { ...credentials, endpoint: this.platform.tableUrl, name: 'rackwalk' },
        objects: { ...credentials, endpoint: this.platform.objectUrl, bucket: 'rackwalk' },
      },
      peers: { seeds: this.members.map(({ addresses }) => addresses.peers) },
      operators: [{ name: 'operator', tokenHash: hashApiKey(operatorToken) }],
      timings: { ...timings },
      limits: { ...limits },
      log: { level: 'info' },
    })
  }
}
