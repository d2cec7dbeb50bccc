/** The platform's list of live and leaving instances, as the rest of the system sees it. */

import type { InstanceId } from '@rackwalk/shared'

/** One line of the platform's list, which lags behind what happens. */
export interface ListedInstance {
  readonly instanceId: InstanceId
  /** Where the instance's peers reach it, as `host:port`. */
  readonly peerAddress: string
  readonly state: 'live' | 'leaving'
}

/** The platform's lagging list of instances. */
export interface InstanceList {
  list(): Promise<readonly ListedInstance[]>
}
