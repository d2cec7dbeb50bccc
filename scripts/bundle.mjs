import { readdirSync, rmSync } from 'node:fs'
import { build } from 'esbuild'
import { bundles } from './bundles.mjs'

/**
 * Bundles the daemon and the platform's adapter into `target/`. What an instance does not
 * need is left out of what it loads at the start: small machines pay for both time and memory.
 */
for (const name of existing('target')) rmSync(`target/${name}`)
for (const options of bundles) await build(options)

/** Bundles of an earlier build. */
function existing(folder) {
  try {
    return readdirSync(folder).filter(name => name.endsWith('.mjs'))
  } catch {
    return []
  }
}
