import { Buffer } from 'node:buffer'
import { createHash } from 'node:crypto'
import { readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createRequire } from 'node:module'
import { createServer } from 'node:net'
import { setTimeout } from 'node:timers'
import { pathToFileURL } from 'node:url'
import { Script, constants } from 'node:vm'
import { sendRequests, startPlatform } from '../platform/trainingRun/trainingRun.mjs'

/**
 * `codeCache.mjs PROGRAM CACHE`: runs a program for a short time and writes the code that V8 compiled
 * in it as the program's code cache. The cache file begins with a SHA-256 digest of the program and
 * the code. The program runs as an instance that serves requests, with a store and an endpoint of the
 * training run.
 */

/** The run ends after this time, even if not all requests of the training run were answered. */
const LONGEST_RUN_MILLISECONDS = 15_000
/** Time after the last answer in which the instance settles what the requests cost. */
const SETTLE_MILLISECONDS = 700
const ANY_PORT = '127.0.0.1:0'

const [program, cache] = process.argv.slice(2)
const settingsFile = `${cache}.settings`

const [callers, directory, readiness] = await Promise.all([
  freeAddress(),
  freeAddress(),
  freeAddress(),
])
const settings = {
  kind: 'gateway',
  adapter: 'target/adapter.mjs',
  instance: { id: 'build', region: 'build', failureDomain: 'build' },
  listen: {
    callers,
    readiness,
    directory,
    peers: ANY_PORT,
    loads: ANY_PORT,
    metrics: ANY_PORT,
  },
  store: { address: await startPlatform() },
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
// The lines of the instance are written like those of any other, since writing them is part of the code.
process.stdout.write = () => true
setTimeout(() => process.exit(0), LONGEST_RUN_MILLISECONDS)
await sendRequests({ callers, directory, readiness })
setTimeout(() => process.exit(0), SETTLE_MILLISECONDS)

/** Returns a local address at which nothing listens. */
async function freeAddress() {
  const server = createServer()
  await new Promise(resolve => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address()
  await new Promise(resolve => server.close(resolve))
  return `127.0.0.1:${port}`
}
