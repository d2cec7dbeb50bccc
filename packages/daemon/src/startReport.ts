/** What `rackwalkd` prints about settings and about a failed start: numbered messages and an exit code. */

import { RackwalkError } from '@rackwalk/shared'
import { SettingsError, formatFault } from './settings/faults.js'

const EXIT_FAULT = 1
export const EXIT_SETTINGS = 2

/**
 * Prints a message and exits. Listeners that did open would otherwise keep the process alive, unable to serve, and no
 * supervisor would restart it.
 */
export async function exitWithError(message: string, code: number): Promise<never> {
  const { consola } = await import('consola')
  consola.error(message)
  process.exit(code)
}

/** Prints an error of the start; each fault of a settings file has its own line. */
export async function reportStartError(thrown: unknown): Promise<never> {
  if (thrown instanceof SettingsError) return reportFaults(thrown)
  const text = thrown instanceof RackwalkError ? `${thrown.code} ${thrown.message}` : String(thrown)
  return exitWithError(text, EXIT_FAULT)
}

/** Prints that the settings are valid. */
export async function reportValid(file: string): Promise<void> {
  const { consola } = await import('consola')
  consola.success(`${file}: the settings are valid`)
}

async function reportFaults({ faults }: SettingsError): Promise<never> {
  const { consola } = await import('consola')
  for (const fault of faults) consola.error(formatFault(fault))
  process.exit(EXIT_SETTINGS)
}
