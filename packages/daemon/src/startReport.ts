/** What `rackwalkd` prints of settings and of a start that failed: numbered messages and an exit code. */

import { RackwalkError } from '@rackwalk/shared'
import { SettingsError, formatFault } from './settings/faults.js'

const EXIT_FAULT = 1
export const EXIT_SETTINGS = 2

/**
 * Prints one message and ends the process: listeners that did come up would keep it there,
 * unable to serve, and nobody would start it anew.
 */
export async function exitWithError(message: string, code: number): Promise<never> {
  const { consola } = await import('consola')
  consola.error(message)
  process.exit(code)
}

/** Prints what was thrown while starting; every fault of a settings file has a line. */
export async function reportStartError(thrown: unknown): Promise<never> {
  if (thrown instanceof SettingsError) return reportFaults(thrown)
  const text = thrown instanceof RackwalkError ? `${thrown.code} ${thrown.message}` : String(thrown)
  return exitWithError(text, EXIT_FAULT)
}

/** Tells that the settings were checked. */
export async function reportValid(file: string): Promise<void> {
  const { consola } = await import('consola')
  consola.success(`${file}: the settings are valid`)
}

async function reportFaults({ faults }: SettingsError): Promise<never> {
  const { consola } = await import('consola')
  for (const fault of faults) consola.error(formatFault(fault))
  process.exit(EXIT_SETTINGS)
}
