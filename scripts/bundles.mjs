/** What goes into which bundle of the daemon. */

const PACKAGES = ['shared', 'decisions', 'stores', 'coordination', 'router', 'daemon']

/** What both bundles share: from the sources, so that a clean checkout needs no build before. */
const options = {
  outdir: 'target',
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
}

/**
 * The OpenAI-style kind is a bundle of its own. In one bundle, chunks are cut by whole files:
 * an index that both kinds read would pull the clients of the table and object store into
 * what the gateway loads.
 */
const openAiKindApart = {
  name: 'open-ai-kind-apart',
  setup: builder => {
    builder.onResolve({ filter: /^\.\/openAiKind\.js$/ }, () => ({
      path: './openAiKind.mjs',
      external: true,
    }))
  },
}

/** Options of each bundle; what an instance of the gateway kind loads comes first. */
export const bundles = [
  {
    ...options,
    entryPoints: { rackwalkd: 'packages/daemon/src/main.ts', adapter: 'platform/src/index.ts' },
    plugins: [openAiKindApart],
  },
  { ...options, entryPoints: { openAiKind: 'packages/daemon/src/openAiKind.ts' } },
]
