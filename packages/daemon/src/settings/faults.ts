/** What can be wrong with settings, and how it is told. */

import { RackwalkError } from '@rackwalk/shared'
import type { ResultCode } from '@rackwalk/shared'

/** One fault of a settings file. */
export interface SettingsFault {
  readonly path: string
  /** Counted from 1; 0 where the fault has no place. */
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

/** A fault as one line of a message. */
export function formatFault({ path, line, code, message }: SettingsFault): string {
  return `line ${line}: ${path || '(root)'}: ${message} [${code}]`
}
