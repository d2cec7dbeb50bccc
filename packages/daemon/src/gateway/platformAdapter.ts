/**
 * What a gateway instance needs from the module that knows a platform: the encodings of its headers, store, documents
 * and calls. An adapter translates; it decides nothing and keeps no state.
 */

import type { RowStore } from '@rackwalk/stores'
import type { Dialect, GatewayConfiguration, EndpointRecord } from '@rackwalk/router'
import type { Milliseconds } from '@rackwalk/shared'

/** Location of rows that other systems write. */
interface RowSource {
  readonly table: string
  readonly partition: string
}

/** An answer to a short call: readiness, directory, metrics, or a call of a peer. */
export interface PlainAnswer {
  readonly status: number
  /** A string is sent as text; any other value is sent as JSON. */
  readonly body?: unknown
  /** JSON that is already serialized. */
  readonly json?: string
}

/** What a caller states in a directory call. */
interface DirectoryQuestion {
  readonly region: string | undefined
  readonly failureDomain: string | undefined
}

/** Location of the store, and the callback for answers that violate its protocol. */
interface StoreOptions {
  /** IP:PORT. */
  readonly address: string
  /** Timeout beyond the time that a call itself asks the store to wait. */
  readonly timeoutMilliseconds: Milliseconds
  /** Such an answer counts as missing; `call` is its method and path. */
  readonly onMalformedAnswer: (call: string) => void
}

/** Translates one platform's protocol; decides nothing and keeps no state. */
export interface PlatformAdapter {
  readonly dialect: Dialect
  createStore(options: StoreOptions): RowStore
  readonly configuration: RowSource & {
    readonly key: string
    /** Throws if the document cannot be parsed. */
    parse(value: string): GatewayConfiguration
    /** The failure domain that a row with this key evacuates; undefined for other rows. */
    readEvacuation(key: string): string | undefined
  }
  readonly endpoints: RowSource & {
    /** Undefined if the row describes no endpoint. */
    parse(key: string, value: string): EndpointRecord | undefined
  }
  /** Undefined if the path is not a directory call. */
  readDirectoryQuestion(url: string): DirectoryQuestion | undefined
  directoryAnswer(addresses: readonly string[], seconds: number): PlainAnswer
  isReadinessQuestion(url: string): boolean
}

/** The exports of an adapter module named in the settings. */
export interface PlatformModule {
  createPlatformAdapter(): PlatformAdapter
}
