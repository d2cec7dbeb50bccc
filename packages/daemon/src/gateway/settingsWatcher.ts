/**
 * Reads the settings anew on a signal and when the file has changed by itself. Owns the text last read; a
 * file with a fault is refused as a whole.
 */

import { readFileSync } from 'node:fs'
import { SettingsError, formatFault, parseWith } from '../settings/load.js'
import { gatewaySettingsSchema } from './gatewaySettings.js'
import type { GatewaySettings } from './gatewaySettings.js'

/** What a look at the settings file found. */
export type SettingsOutcome =
  | { readonly kind: 'changed'; readonly settings: GatewaySettings; readonly cause: string }
  /** The file is not valid; the settings before stay in force as a whole. */
  | { readonly kind: 'refused'; readonly faults: readonly string[]; readonly cause: string }

/** The platform may change the file without a signal. */
const LOOK_MILLISECONDS = 1_000

/** Reads the settings anew on a signal and when the file has changed by itself. */
export class SettingsWatcher {
  private text: string | undefined

  constructor(
    private readonly file: string,
    private settings: GatewaySettings,
    private readonly onOutcome: (outcome: SettingsOutcome) => void,
  ) {}

  start(): void {
    this.text = this.read()
    setInterval(() => this.look('file'), LOOK_MILLISECONDS).unref()
  }

  look(cause: string): void {
    const text = this.read()
    if (text === undefined || text === this.text) return
    this.text = text
    try {
      const settings = parseWith(gatewaySettingsSchema, text)
      this.settings = settings
      this.onOutcome({ kind: 'changed', settings, cause })
    } catch (thrown) {
      if (!(thrown instanceof SettingsError)) throw thrown
      this.onOutcome({ kind: 'refused', faults: thrown.faults.map(formatFault), cause })
    }
  }

  /** The settings in force. */
  get current(): GatewaySettings {
    return this.settings
  }

  private read(): string | undefined {
    try {
      return readFileSync(this.file, 'utf8')
    } catch {
      // While the file is being replaced it may be away; the settings in force stay.
      return undefined
    }
  }
}
