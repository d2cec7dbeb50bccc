/**
 * Finds the record of how a request was decided, on any instance and at any time. Reads records and writes none.
 */

import type { RequestId } from '@rackwalk/shared'
import { RackwalkError } from '@rackwalk/shared'
import type { JsonValue } from '@rackwalk/stores'
import { parseRequestId } from '@rackwalk/coordination'
import type { CoordinationNode, PeerChannel } from '@rackwalk/coordination'
import type { DecisionRecord } from '@rackwalk/router'

/**
 * Finds the decision record of a request in this instance's memory, in that of the instance that decided it, or in
 * the object store, where it remains after that instance has terminated. Records that an instance had not written
 * when it crashed are lost.
 */
export class DecisionRecordFinder {
  constructor(
    private readonly node: CoordinationNode,
    private readonly peers: PeerChannel,
  ) {}

  async find(requestId: RequestId): Promise<DecisionRecord | undefined> {
    const own = this.node.archive.findRecent(requestId)
    const record = own ?? (await this.askDecider(requestId)) ?? (await this.findWritten(requestId))
    return record as unknown as DecisionRecord | undefined
  }

  private async askDecider(requestId: RequestId): Promise<JsonValue | undefined> {
    const { incarnation } = parseRequestId(requestId)
    const isSelf = incarnation === this.node.membership.self.incarnation
    if (isSelf || !this.node.membership.isLive(incarnation)) return undefined
    try {
      return (await this.peers.call(incarnation, 'explain', { requestId })).record
    } catch {
      return undefined
    }
  }

  private async findWritten(requestId: RequestId): Promise<JsonValue | undefined> {
    try {
      return await this.node.archive.findWritten(requestId)
    } catch (thrown) {
      if (thrown instanceof RackwalkError) return undefined
      throw thrown
    }
  }
}
