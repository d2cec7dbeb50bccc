import { spawnSync } from 'node:child_process'
import { readFileSync, readdirSync, rmSync } from 'node:fs'
import { build } from 'esbuild'
import { bundles } from './bundles.mjs'

/**
 * Bundles the daemon and the platform's adapter into `target/`. What an instance does not
 * need is left out of what it loads at the start: small machines pay for both time and memory.
 */
for (const name of existing('target')) rmSync(`target/${name}`)
for (const options of bundles) await build(options)
writeCodeCache()

/** Bundles of an earlier build, and what was made of them. */
function existing(folder) {
  try {
    return readdirSync(folder).filter(name => /\.(mjs|cjs|js|cache)$/.test(name))
  } catch {
    return []
  }
}

/** Without its code cache, an instance serves as well and starts slower: the build goes on. */
function writeCodeCache() {
  const words = ['scripts/codeCache.mjs', 'target/program.js', 'target/program.cache']
  const { status } = spawnSync(process.execPath, [...engineFlags(), ...words], { stdio: 'inherit' })
  if (status !== 0) console.warn(`the program was not run for its code cache (${status})`)
}

/** Flags that instances run with: the engine refuses a code cache that was made with others. */
function engineFlags() {
  const [, flags = ''] =
    /^run = "node (.*?) ?target\//m.exec(readFileSync('deploy/system.toml', 'utf8')) ?? []
  return flags.split(' ').filter(flag => flag !== '')
}
