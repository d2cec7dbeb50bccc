/**
 * The listeners of an instance beside the one for callers: readiness, directory, metrics, and peers. The first three
 * answer short calls; the listener for peers also serves the requests that other instances relay. Owns nothing; relies
 * on the adapter for the platform's protocol.
 */

import type { Server } from 'node:http'
import type { Lender, TableMirror } from '@rackwalk/coordination'
import type { Clock } from '@rackwalk/shared'
import type { ActiveFleet } from './activeFleet.js'
import { createPlainListener } from './gatewayListeners.js'
import type { PlainHandler } from './gatewayListeners.js'
import type { GatewayMetrics } from './gatewayMetrics.js'
import type { GatewaySettings } from './gatewaySettings.js'
import type { StreamCoordinator } from './streamCoordinator.js'
import { handleOriginRequest } from './streamOriginClient.js'
import { handleRecordRequest } from './versionRecordClient.js'
import { handleLoanRequest } from './peerLoanClient.js'
import { handleRowsRequest } from './peerRowClient.js'
import { createPeerListener } from './peerListener.js'
import type { RelayHandler } from './peerListener.js'
import type { PlainAnswer, PlatformAdapter } from './platformAdapter.js'

/** What the answers are built from. */
export interface AuxiliaryListenersParts {
  readonly adapter: PlatformAdapter
  readonly clock: Clock
  readonly isReady: () => boolean
  readonly fleet: ActiveFleet
  readonly lender: Lender
  readonly streams: Pick<StreamCoordinator, 'origins' | 'readRecords' | 'knownRecords'>
  readonly mirrors: ReadonlyMap<string, TableMirror>
  readonly metrics: GatewayMetrics
  /** Serves a request that another instance relays. */
  readonly relayed: RelayHandler
  /** How long callers keep the addresses of a directory answer, in seconds. */
  readonly addressSeconds: () => number
}

/** A listener and the IP:PORT at which it has to listen. */
export interface AddressedListener {
  readonly server: Server
  readonly address: string
}

/** Answers short calls, with one listener per kind. */
export class AuxiliaryListeners {
  constructor(private readonly parts: AuxiliaryListenersParts) {}

  /** Returns a listener for each kind of call that has an address in the settings. */
  listeners(listen: GatewaySettings['listen']): readonly AddressedListener[] {
    const answerers: readonly [string | undefined, PlainHandler][] = [
      [listen.readiness, url => this.readiness(url)],
      [listen.directory, url => this.directory(url)],
      [listen.metrics, () => this.metrics()],
    ]
    const plain = answerers.flatMap(([address, answer]) =>
      address === undefined
        ? []
        : [{ server: createPlainListener(answer, this.parts.clock), address }],
    )
    return listen.peers === undefined ? plain : [...plain, this.peerListener(listen.peers)]
  }

  private peerListener(address: string): AddressedListener {
    const answer: PlainHandler = (url, body) => this.peer(url, body)
    return { server: createPeerListener(answer, this.parts.relayed, this.parts.clock), address }
  }

  private readiness(url: string): PlainAnswer {
    if (!this.parts.adapter.isReadinessQuestion(url)) return { status: 404 }
    return { status: this.parts.isReady() ? 200 : 503 }
  }

  private directory(url: string): PlainAnswer {
    const { adapter, fleet, addressSeconds } = this.parts
    const question = adapter.readDirectoryQuestion(url)
    if (question === undefined) return { status: 404 }
    const addresses = fleet.addresses(question.region)
    if (addresses.length === 0) return { status: 503 }
    return adapter.directoryAnswer(addresses, addressSeconds())
  }

  private async peer(url: string, body: string): Promise<PlainAnswer> {
    const { lender, mirrors, streams } = this.parts
    const loan = await handleLoanRequest(url, body, lender)
    const records = loan ?? (await handleRecordRequest(url, body, streams))
    const origin = records ?? handleOriginRequest(url, body, streams.origins)
    return origin ?? handleRowsRequest(url, mirrors)
  }

  private async metrics(): Promise<PlainAnswer> {
    return { status: 200, body: await this.parts.metrics.registry.metrics() }
  }
}
