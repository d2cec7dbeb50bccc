/** The operators' command line as a function, for tests and wrapping programs. */
export { runProgram } from './program.js'
export { EXIT_CODE_MEANINGS, ExitCode } from './exitCodes.js'
