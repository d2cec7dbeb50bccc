/** Reads the files and environment variables of settings and secrets. */

import { readFileSync } from 'node:fs'
import { ResultCode } from '@rackwalk/shared'
import { SettingsError } from './faults.js'
import type { SecretSource } from './schema.js'

/** Reads a secret from the source that the settings name. */
export function readSecret(source: SecretSource): string {
  if ('file' in source) return readText(source.file).trim()
  const value = process.env[source.environment]
  if (value !== undefined && value !== '') return value
  throw unreadable(`environment variable ${source.environment} is not set`)
}

/** Reads a file of settings or of a secret. */
export function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8')
  } catch (thrown) {
    throw unreadable(`${file}: ${(thrown as NodeJS.ErrnoException).code ?? 'unreadable'}`)
  }
}

function unreadable(message: string): SettingsError {
  const code = ResultCode.UnreadableSettings
  return new SettingsError(code, [{ path: '', line: 0, code, message }])
}
