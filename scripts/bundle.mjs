import { spawnSync } from 'node:child_process'
import { readFileSync, readdirSync, rmSync } from 'node:fs'
import { build } from 'esbuild'
import { bundles } from './bundles.mjs'

/**
 * Bundles the daemon and the platform's adapter into `target/`. Modules that an instance does not
 * need are left out of what it loads at its start: on small machines they cost time and memory.
 */
for (const name of builtFiles('target')) rmSync(`target/${name}`)
for (const options of bundles) await build(options)
writeCodeCache()

/** Returns the file names of the bundles and code caches of an earlier build. */
function builtFiles(folder) {
  try {
    return readdirSync(folder).filter(name => /\.(mjs|cjs|js|cache)$/.test(name))
  } catch {
    return []
  }
}

/** A missing code cache does not fail the build: without it an instance only starts more slowly. */
function writeCodeCache() {
  const args = ['scripts/codeCache.mjs', 'target/program.js', 'target/program.cache']
  const { status } = spawnSync(process.execPath, [...engineFlags(), ...args], { stdio: 'inherit' })
  if (status !== 0)
    console.warn(`no code cache was written: scripts/codeCache.mjs ended with status ${status}`)
}

/** Returns the Node.js flags of instances: V8 rejects a code cache made with other flags. */
function engineFlags() {
  const [, flags = ''] =
    /^run = "node (.*?) ?target\//m.exec(readFileSync('deploy/system.toml', 'utf8')) ?? []
  return flags.split(' ').filter(flag => flag !== '')
}
