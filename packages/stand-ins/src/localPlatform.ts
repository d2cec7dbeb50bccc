/** The stand-ins of the OpenAI-style kind's platform: table, object store and instance list. */

import { SystemClock, SystemRandom } from '@rackwalk/shared'
import { INSTANCE_LIST_KEY } from '@rackwalk/stores'
import type { ListedInstance } from '@rackwalk/stores'
import { DynamodbStandIn } from './platform/dynamodbStandIn.js'
import { FaultPlan } from './platform/faultPlan.js'
import { MemoryObjects } from './platform/memoryObjects.js'
import { MemoryTable } from './platform/memoryTable.js'
import { S3StandIn } from './platform/s3StandIn.js'

/** Runs the platform's stand-ins on their own loopback ports. */
export class LocalPlatform {
  readonly table = new MemoryTable()
  readonly objects = new MemoryObjects()
  readonly tableFaults: FaultPlan
  readonly objectFaults: FaultPlan
  private readonly tableServer: DynamodbStandIn
  private readonly objectServer: S3StandIn
  private tablePort = 0
  private objectPort = 0

  constructor() {
    const clock = new SystemClock()
    const random = new SystemRandom()
    this.tableFaults = new FaultPlan(clock, random)
    this.objectFaults = new FaultPlan(clock, random)
    this.tableServer = new DynamodbStandIn(this.table, this.tableFaults)
    this.objectServer = new S3StandIn(this.objects, this.objectFaults)
  }

  async start(): Promise<void> {
    this.tablePort = await this.tableServer.listen()
    this.objectPort = await this.objectServer.listen()
  }

  get tableUrl(): string {
    return `http://127.0.0.1:${this.tablePort}`
  }

  get objectUrl(): string {
    return `http://127.0.0.1:${this.objectPort}`
  }

  /** Publishes the list of instances, as the platform does after it has noticed a change. */
  async publishInstances(instances: readonly ListedInstance[]): Promise<void> {
    await this.objects.put(INSTANCE_LIST_KEY, Buffer.from(JSON.stringify(instances)))
  }

  stop(): void {
    this.tableServer.stop()
    this.objectServer.stop()
  }
}
