import { readdirSync, rmSync } from 'node:fs'
import { build } from 'esbuild'

const PACKAGES = ['shared', 'platform', 'coordination', 'router', 'daemon']

/**
 * Bundles the daemon and the platform's adapter into `target/`. What an instance does not
 * need is left out of what it loads at the start: small machines pay for both time and memory.
 */
for (const name of existing('target')) rmSync(`target/${name}`)

await build({
  entryPoints: { rackwalkd: 'packages/daemon/src/main.ts', adapter: 'platform/src/index.ts' },
  outdir: 'target',
  // From the sources, so that a clean checkout needs no build before this one.
  alias: Object.fromEntries(
    PACKAGES.map(name => [`@rackwalk/${name}`, `./packages/${name}/src/index.ts`]),
  ),
  bundle: true,
  splitting: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  outExtension: { '.js': '.mjs' },
  minifySyntax: true,
  sourcemap: false,
  logLevel: 'warning',
  // Packages in the older module format call `require` for the built-in modules.
  banner: {
    js: "import { createRequire as createNodeRequire } from 'node:module'; const require = createNodeRequire(import.meta.url);",
  },
})

/** Bundles of an earlier build. */
function existing(folder) {
  try {
    return readdirSync(folder).filter(name => name.endsWith('.mjs'))
  } catch {
    return []
  }
}
