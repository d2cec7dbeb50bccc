/** Interface of the platform's list of live and leaving instances (those about to terminate). */

import type { InstanceId } from '@rackwalk/shared'

/** An entry of the platform's list of instances. */
export interface ListedInstance {
  readonly instanceId: InstanceId
  /** Address at which peers reach the instance, as `host:port`. */
  readonly peerAddress: string
  readonly state: 'live' | 'leaving'
}

/** The platform's list of instances, which lags behind the actual state. */
export interface InstanceList {
  list(): Promise<readonly ListedInstance[]>
}
