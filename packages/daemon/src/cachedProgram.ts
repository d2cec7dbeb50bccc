/**
 * Compiles a program with what an earlier compilation of the same text left. A cache that is missing, broken or of
 * another Node.js costs time and nothing else: the text is compiled anew.
 */

import { readFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { Script, constants } from 'node:vm'

/** A function whose body is the program. */
type ProgramBody = (require: NodeJS.Require, module: { exports: unknown }) => void

/** A program that is ready to run. */
export interface CompiledProgram {
  /** Whether the cache was used. */
  readonly isCached: boolean
  /** Gives what the program exports. */
  run(): unknown
}

/** Compiles a file that holds one function of `require` and `module`. */
export function compileProgram(file: string, cacheFile: string): CompiledProgram {
  const cachedData = readIfThere(cacheFile)
  // The bundler writes no letters beyond these.
  const script = new Script(readFileSync(file, 'latin1'), {
    filename: file,
    cachedData,
    importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER,
  })
  return {
    isCached: cachedData !== undefined && script.cachedDataRejected !== true,
    run: () => {
      const module = { exports: {} as unknown }
      const body = script.runInThisContext() as ProgramBody
      body(createRequire(file), module)
      return module.exports
    },
  }
}

function readIfThere(file: string): Buffer | undefined {
  try {
    return readFileSync(file)
  } catch {
    return undefined
  }
}
