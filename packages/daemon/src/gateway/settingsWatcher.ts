/**
 * Reloads the settings on a signal and when the file changes. Owns the text that was read last; a file with a fault
 * is rejected as a whole.
 */

import { readFileSync } from 'node:fs'
import { SettingsError, formatFault } from '../settings/faults.js'
import { readSettings } from '../settings/readSettings.js'
import { gatewaySettingsSchema } from './gatewaySettings.js'
import type { GatewaySettings } from './gatewaySettings.js'

/** The outcome of reloading the settings file. */
export type SettingsOutcome =
  | { readonly kind: 'changed'; readonly settings: GatewaySettings; readonly cause: string }
  /** The file is not valid; all previous settings stay in force. */
  | { readonly kind: 'refused'; readonly faults: readonly string[]; readonly cause: string }

/** Time between two reads of the file, since the platform may change the file without sending a signal. */
const POLL_MILLISECONDS = 1_000

/** Reloads the settings on a signal and when the file changes. */
export class SettingsWatcher {
  private text: string | undefined

  constructor(
    private readonly file: string,
    private settings: GatewaySettings,
    private readonly onOutcome: (outcome: SettingsOutcome) => void,
  ) {}

  start(): void {
    this.text = this.read()
    setInterval(() => void this.reload('file'), POLL_MILLISECONDS).unref()
  }

  async reload(cause: string): Promise<void> {
    const text = this.read()
    if (text === undefined || text === this.text) return
    this.text = text
    const outcome = await this.outcomeOf(text, cause)
    // The file may have changed again while the parser was loaded.
    if (text !== this.text) return
    if (outcome.kind === 'changed') this.settings = outcome.settings
    this.onOutcome(outcome)
  }

  /** The settings in force. */
  get current(): GatewaySettings {
    return this.settings
  }

  private async outcomeOf(text: string, cause: string): Promise<SettingsOutcome> {
    try {
      const settings = await readSettings(gatewaySettingsSchema, text)
      return { kind: 'changed', settings, cause }
    } catch (thrown) {
      if (!(thrown instanceof SettingsError)) throw thrown
      return { kind: 'refused', faults: thrown.faults.map(formatFault), cause }
    }
  }

  private read(): string | undefined {
    try {
      return readFileSync(this.file, 'utf8')
    } catch {
      // The file may be missing while it is being replaced; the settings stay in force.
      return undefined
    }
  }
}
