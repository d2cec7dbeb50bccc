/** Exit codes of `rackwalk`, and their mapping from results of the server. */

import { ResultCode } from '@rackwalk/shared'

/** Exit codes of `rackwalk`. They never change, since scripts rely on them. */
export enum ExitCode {
  Ok = 0,
  Fault = 1,
  Usage = 2,
  NotFound = 3,
  Conflict = 4,
  Unauthorized = 5,
  Invalid = 6,
  Unavailable = 7,
  Different = 8,
}

/** Meaning of each exit code. A test checks that docs/OPERATIONS.md agrees. */
export const EXIT_CODE_MEANINGS: Readonly<Record<ExitCode, string>> = {
  [ExitCode.Ok]: 'done',
  [ExitCode.Fault]: 'unexpected failure',
  [ExitCode.Usage]: 'the command line is wrong',
  [ExitCode.NotFound]: 'no such resource',
  [ExitCode.Conflict]: 'the resource has changed or exists',
  [ExitCode.Unauthorized]: 'the token is not an operator’s',
  [ExitCode.Invalid]: 'the input is not valid',
  [ExitCode.Unavailable]: 'no answer, or the outcome is not known',
  [ExitCode.Different]: '`diff` found differences',
}

const EXIT_CODES_BY_RESULT: Readonly<Partial<Record<ResultCode, ExitCode>>> = {
  [ResultCode.ResourceNotFound]: ExitCode.NotFound,
  [ResultCode.NotFound]: ExitCode.NotFound,
  [ResultCode.VersionConflict]: ExitCode.Conflict,
  [ResultCode.ResourceExists]: ExitCode.Conflict,
  [ResultCode.VersionTooOld]: ExitCode.Conflict,
  [ResultCode.OperatorUnauthorized]: ExitCode.Unauthorized,
  [ResultCode.InvalidResource]: ExitCode.Invalid,
  [ResultCode.OutcomeOfWriteUnknown]: ExitCode.Unavailable,
  [ResultCode.PlatformUnavailable]: ExitCode.Unavailable,
  [ResultCode.PlatformThrottled]: ExitCode.Unavailable,
  [ResultCode.PlatformAmbiguous]: ExitCode.Unavailable,
}

/** Returns the exit code for an error that the server returned. */
export function exitCodeFor(result: ResultCode): ExitCode {
  return EXIT_CODES_BY_RESULT[result] ?? ExitCode.Fault
}
