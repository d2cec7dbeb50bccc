/** Runs several real daemons of the OpenAI-style kind in one process. */

import { asId } from '@rackwalk/shared'
import type { InstanceId } from '@rackwalk/shared'
import { RackwalkDaemon, settingsSchema } from '@rackwalk/daemon'
import type { BoundAddresses, Logger, Settings } from '@rackwalk/daemon'
import { hashApiKey } from '@rackwalk/router'
import type { LocalPlatform } from './localPlatform.js'
import { OperatorClient } from './operatorClient.js'

/** Options of a fleet in one process. */
export interface FleetOptions {
  readonly instances: number
  readonly operatorToken: string
  /** Ports of the first instance, counted up for the others; undefined for free ports. */
  readonly ports?: { readonly callers: number; readonly operators: number }
  readonly logger?: Logger
  readonly timings?: Partial<Settings['timings']>
  readonly limits?: Partial<Settings['limits']>
}

/** The parts of the platform's stand-ins that a fleet uses; the stand-ins may run in another thread. */
export type FleetPlatform = Pick<LocalPlatform, 'tableUrl' | 'objectUrl' | 'publishInstances'>

/** One instance of the fleet with its addresses. */
export interface FleetMember {
  readonly instanceId: InstanceId
  readonly daemon: RackwalkDaemon
  readonly addresses: BoundAddresses
}

const FAILURE_DOMAINS = ['a', 'b', 'c', 'd']
const READY_POLL_MILLISECONDS = 20

/** Several real daemons in one process that use the platform's stand-ins. */
export class LocalFleet {
  readonly members: FleetMember[] = []

  constructor(
    private readonly platform: FleetPlatform,
    private readonly options: FleetOptions,
  ) {
    // The settings require names of secrets; the stand-ins accept any secret.
    process.env['RACKWALK_STAND_IN_SECRET'] ??= 'stand-in'
  }

  /** Starts all instances and waits until all of them serve. */
  async start(): Promise<void> {
    for (let number = 0; number < this.options.instances; number += 1) await this.add(number)
    await this.publish()
    await this.whenServing()
  }

  /** Starts the instance with the given number. A number that was used before starts its replacement. */
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

  /** Publishes the running instances in the platform's instance list. */
  async publish(): Promise<void> {
    await this.platform.publishInstances(
      this.members.map(({ instanceId, addresses }) => ({
        instanceId,
        peerAddress: addresses.peers,
        state: 'live' as const,
      })),
    )
  }

  /** Resolves when all instances serve and have all others in their membership. */
  async whenServing(): Promise<void> {
    const isReady = () =>
      this.members.every(
        ({ daemon }) =>
          daemon.isServing && daemon.node.membership.liveMembers().length >= this.members.length,
      )
    while (!isReady()) await new Promise(resolve => setTimeout(resolve, READY_POLL_MILLISECONDS))
  }

  /** Resolves when all instances have applied the configuration revision. */
  async whenInForce(revision: number): Promise<void> {
    const isInForce = () =>
      this.members.every(({ daemon }) => daemon.node.configuration.revision >= revision)
    while (!isInForce()) await new Promise(resolve => setTimeout(resolve, READY_POLL_MILLISECONDS))
  }

  operator(member = this.members[0]): OperatorClient {
    if (member === undefined) throw new Error('the fleet is empty')
    return new OperatorClient(member.addresses.operators, this.options.operatorToken)
  }

  /** Stops one instance without draining it, as a crash would. */
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
