/** Errors that end a command with an exit code. */

import { ExitCode } from './exitCodes.js'

/** Ends the command with a message and an exit code. */
export class CommandError extends Error {
  constructor(
    readonly exitCode: ExitCode,
    message: string,
  ) {
    super(message)
  }
}

/** Creates the error for an invalid command line. */
export function usageError(message: string): CommandError {
  return new CommandError(ExitCode.Usage, message)
}
