import { Buffer } from 'node:buffer'
import { createHash } from 'node:crypto'
import { readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { setTimeout } from 'node:timers'
import { pathToFileURL } from 'node:url'
import { Script, constants } from 'node:vm'

/**
 * `codeCache.mjs PROGRAM CACHE`: runs a program for a short time and writes the code that V8 compiled
 * in it as the program's code cache. The cache file begins with a SHA-256 digest of the program and
 * the code. The program runs as an instance whose seeds and store are unreachable.
 */

const RUN_MILLISECONDS = 1_500
const UNREACHABLE = '127.0.0.1:9'
const ANY_PORT = '127.0.0.1:0'

const [program, cache] = process.argv.slice(2)
const settingsFile = `${cache}.settings`

const settings = {
  kind: 'gateway',
  adapter: 'target/adapter.mjs',
  instance: { id: 'build', region: 'build', failureDomain: 'build' },
  listen: {
    callers: ANY_PORT,
    readiness: ANY_PORT,
    directory: ANY_PORT,
    peers: ANY_PORT,
    loads: ANY_PORT,
    metrics: ANY_PORT,
  },
  seeds: [UNREACHABLE],
  store: { address: UNREACHABLE },
  log: { level: 'silent' },
}

const text = readFileSync(program)
const script = new Script(text.toString('latin1'), {
  filename: program,
  importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER,
})
// The code compiled so far is a useful cache however the run ends.
process.on('exit', () => {
  rmSync(settingsFile)
  const code = script.createCachedData()
  const digest = createHash('sha256').update(text).update(code).digest()
  writeFileSync(cache, Buffer.concat([digest, code]))
})
writeFileSync(settingsFile, JSON.stringify(settings))
process.argv = [process.execPath, program, '--settings', settingsFile]
const programUrl = pathToFileURL(program).href
script.runInThisContext()(createRequire(programUrl), { exports: {} }, programUrl)
setTimeout(() => process.exit(0), RUN_MILLISECONDS)
