/**
 * What the gateway kind asks of the module that knows a platform: how its headers, store, documents and
 * questions are spelled. An adapter translates; it decides nothing and keeps nothing.
 */

import type { RowStore } from '@rackwalk/stores'
import type { Dialect, GatewayConfiguration, EndpointRecord } from '@rackwalk/router'
import type { Milliseconds } from '@rackwalk/shared'

/** Where rows lie that somebody else writes. */
interface RowSource {
  readonly table: string
  readonly partition: string
}

/** An answer to whoever asks for addresses or readiness. */
export interface PlainAnswer {
  readonly status: number
  /** Text as it is; anything else is sent as JSON. */
  readonly body?: unknown
  /** JSON that is written out already. */
  readonly json?: string
}

/** What a caller says when it asks where to go. */
interface DirectoryQuestion {
  readonly region: string | undefined
  readonly failureDomain: string | undefined
}

/** Where the store is, and who is told of answers that are not of its protocol. */
interface StoreOptions {
  /** IP:PORT. */
  readonly address: string
  /** Wait for an answer beyond the time that a call asks the store itself to wait. */
  readonly timeoutMilliseconds: Milliseconds
  /** Such an answer counts as none; `call` is its method and path. */
  readonly onMalformedAnswer: (call: string) => void
}

/** Translates one platform's protocol; it decides nothing and keeps nothing. */
export interface PlatformAdapter {
  readonly dialect: Dialect
  createStore(options: StoreOptions): RowStore
  readonly configuration: RowSource & {
    readonly key: string
    /** Throws where the document is not understood. */
    parse(value: string): GatewayConfiguration
    /** The failure domain that a row under this key asks to empty; undefined for other rows. */
    readEvacuation(key: string): string | undefined
  }
  readonly endpoints: RowSource & {
    /** Undefined where the row describes no endpoint. */
    parse(key: string, value: string): EndpointRecord | undefined
  }
  /** Undefined where the path is no question for addresses. */
  readDirectoryQuestion(url: string): DirectoryQuestion | undefined
  directoryAnswer(addresses: readonly string[], seconds: number): PlainAnswer
  isReadinessQuestion(url: string): boolean
}

/** What a module named in the settings exports. */
export interface PlatformModule {
  createPlatformAdapter(): PlatformAdapter
}
