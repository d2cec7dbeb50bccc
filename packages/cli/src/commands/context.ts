/** The context of all `rackwalk` commands. */

import type { CommandEnvironment } from '../environment.js'
import type { OperatorHttpClient } from '../operatorHttpClient.js'
import type { OutputFormat } from '../output/print.js'

/** The context that every command receives. */
export interface CommandContext {
  readonly environment: CommandEnvironment
  readonly connection: OperatorHttpClient
  readonly format: OutputFormat
}

/** A resource as the API returns it. */
export interface ResourceDocument {
  readonly kind: string
  readonly metadata: {
    readonly name: string
    readonly version?: number
    readonly labels?: Readonly<Record<string, string>>
  }
  readonly spec: unknown
  readonly status?: {
    readonly instances: readonly { readonly instanceId: string; readonly inForce: boolean }[]
  }
}
