/**
 * Compiles a program with the code cache of an earlier compilation of the same text. A cache that is missing,
 * damaged, or made from another text or by another version of Node.js only costs time: the text is then compiled
 * without it.
 */

import { createHash } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { pathToFileURL } from 'node:url'
import { Script, constants } from 'node:vm'

const DIGEST_BYTES = 32

/** A function whose body is the program. */
type ProgramBody = (
  require: NodeJS.Require,
  module: { exports: unknown },
  programUrl: string,
) => void

/** A program that is ready to run. */
export interface CompiledProgram {
  /** Whether the cache was used. */
  readonly isCached: boolean
  /** Runs the program and returns its exports. */
  run(): unknown
}

/** Compiles a file that contains one function of `require`, `module` and the file's URL. */
export function compileProgram(file: string, cacheFile: string): CompiledProgram {
  const text = readFileSync(file)
  const cachedData = readCache(cacheFile, text)
  // The bundler writes no characters outside Latin-1.
  const script = new Script(text.toString('latin1'), {
    filename: file,
    cachedData,
    importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER,
  })
  return {
    isCached: cachedData !== undefined && script.cachedDataRejected !== true,
    run: () => {
      const module = { exports: {} as unknown }
      const body = script.runInThisContext() as ProgramBody
      body(createRequire(file), module, pathToFileURL(file).href)
      return module.exports
    },
  }
}

/**
 * The cache file begins with a digest. V8 checks only the length of the text and nothing of the cached code, so that
 * a damaged cache would terminate the process.
 */
function readCache(file: string, text: Buffer): Buffer | undefined {
  const bytes = readIfThere(file)
  if (bytes === undefined) return undefined
  const code = bytes.subarray(DIGEST_BYTES)
  const digest = createHash('sha256').update(text).update(code).digest()
  return digest.equals(bytes.subarray(0, DIGEST_BYTES)) ? code : undefined
}

function readIfThere(file: string): Buffer | undefined {
  try {
    return readFileSync(file)
  } catch {
    return undefined
  }
}
