/** How `rackwalkd` ends when it cannot start: a numbered message and an exit code. */

import { consola } from 'consola'
import { RackwalkError } from '@rackwalk/shared'
import { SettingsError, formatFault } from './settings/load.js'

const EXIT_FAULT = 1
export const EXIT_SETTINGS = 2

/**
 * Prints one message and ends the process: listeners that did come up would keep it there,
 * unable to serve, and nobody would start it anew.
 */
export function fail(message: string, code: number): never {
  consola.error(message)
  process.exit(code)
}

/** Prints what was thrown while starting; every fault of a settings file has a line. */
export function report(thrown: unknown): never {
  if (thrown instanceof SettingsError) {
    for (const fault of thrown.faults) consola.error(formatFault(fault))
    process.exit(EXIT_SETTINGS)
  }
  const text = thrown instanceof RackwalkError ? `${thrown.code} ${thrown.message}` : String(thrown)
  fail(text, EXIT_FAULT)
}
