/** The operators' command line as a function, for tests and programs that wrap it. */
export { runProgram } from './program.js'
export { EXIT_CODE_MEANINGS, ExitCode } from './exitCodes.js'
