/** What goes into which bundle of the daemon. */

const PACKAGES = ['shared', 'decisions', 'stores', 'coordination', 'router', 'daemon']

/** What all bundles share: from the sources, so that a clean checkout needs no build before. */
const shared = {
  outdir: 'target',
  alias: Object.fromEntries(
    PACKAGES.map(name => [`@rackwalk/${name}`, `./packages/${name}/src/index.ts`]),
  ),
  bundle: true,
  platform: 'node',
  target: 'node20',
  minifySyntax: true,
  sourcemap: false,
  logLevel: 'warning',
  // What reads it fails only where it runs, and may take that for something else.
  logOverride: { 'empty-import-meta': 'error' },
}

/** Modules that load each other, some of them later. */
const options = {
  ...shared,
  splitting: true,
  format: 'esm',
  outExtension: { '.js': '.mjs' },
  // Packages in the older module format call `require` for the built-in modules.
  banner: {
    js: "import { createRequire as createNodeRequire } from 'node:module'; const require = createNodeRequire(import.meta.url);",
  },
}

/** One file, as a code cache wants it. */
const single = { ...shared, format: 'cjs', minifyWhitespace: true }

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

/** Parts of the library of metrics that only the OpenAI-style kind uses, or nobody. */
const unusedMetricsApart = {
  name: 'unused-metrics-apart',
  setup: builder => {
    const filter = /^\.\/lib\/(pushgateway|defaultMetrics|cluster)$/
    builder.onResolve({ filter }, ({ path }) => ({ path, namespace: 'unused' }))
    builder.onLoad({ filter: /^/, namespace: 'unused' }, () => ({ contents: '' }))
  },
}

/**
 * The program as the platform runs it, its adapter with it, and what starts it with its code cache: a
 * program is one function of what it is given.
 */
const cachedBundles = [
  {
    ...single,
    entryPoints: { program: 'platform/src/main.ts' },
    plugins: [openAiKindApart, unusedMetricsApart],
    // Node.js has no `import.meta.env`; packages for browsers ask for it.
    define: { 'import.meta.url': 'programUrl', 'import.meta.env': 'undefined' },
    banner: { js: '(function (require, module, programUrl) {' },
    footer: { js: '})' },
  },
  {
    ...single,
    entryPoints: { rackwalkd: 'packages/daemon/src/cachedStart.ts' },
    outExtension: { '.js': '.cjs' },
  },
]

/** Options of each bundle; what an instance of the gateway kind loads comes first. */
export const bundles = [
  {
    ...options,
    entryPoints: { rackwalkd: 'packages/daemon/src/main.ts', adapter: 'platform/src/index.ts' },
    plugins: [openAiKindApart, unusedMetricsApart],
  },
  ...cachedBundles,
  { ...options, entryPoints: { openAiKind: 'packages/daemon/src/openAiKind.ts' } },
]
