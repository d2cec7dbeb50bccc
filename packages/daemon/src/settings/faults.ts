/** Faults of settings, and how they are printed. */

import { RackwalkError } from '@rackwalk/shared'
import type { ResultCode } from '@rackwalk/shared'

/** One fault of a settings file. */
export interface SettingsFault {
  readonly path: string
  /** Counted from 1; 0 if the fault has no position. */
  readonly line: number
  readonly code: ResultCode
  readonly message: string
}

/** Carries every fault of a settings file at once. */
export class SettingsError extends RackwalkError {
  constructor(
    code: ResultCode.InvalidSettings | ResultCode.UnreadableSettings,
    readonly faults: readonly SettingsFault[],
  ) {
    super(code, faults.map(formatFault).join('; '))
  }
}

/** Formats a fault as one line. */
export function formatFault({ path, line, code, message }: SettingsFault): string {
  return `line ${line}: ${path || '(root)'}: ${message} [${code}]`
}
