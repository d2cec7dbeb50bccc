/** Options of esbuild for the bundles of the daemon. */

const PACKAGES = ['shared', 'decisions', 'stores', 'coordination', 'router', 'daemon']

/** Options of all bundles. Packages come from their sources, so a clean checkout needs no build. */
const sharedOptions = {
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
  // Code that reads an empty `import.meta` would fail only at run time, and might mistake that
  // failure for another one.
  logOverride: { 'empty-import-meta': 'error' },
}

/** Options of bundles that are split into ES modules, some of which are loaded later. */
const moduleOptions = {
  ...sharedOptions,
  splitting: true,
  format: 'esm',
  outExtension: { '.js': '.mjs' },
  // CommonJS packages call `require` for the built-in modules of Node.js.
  banner: {
    js: "import { createRequire as createNodeRequire } from 'node:module'; const require = createNodeRequire(import.meta.url);",
  },
}

/** Options of bundles in a single file, which a code cache requires. */
const singleFileOptions = { ...sharedOptions, format: 'cjs', minifyWhitespace: true }

/**
 * Keeps the OpenAI-style kind in a bundle of its own. Within one bundle, esbuild assigns whole
 * files to chunks: an index that both kinds import would add the clients of the table and the
 * object store to what the gateway kind loads.
 */
const separateOpenAiKind = {
  name: 'open-ai-kind-apart',
  setup: builder => {
    builder.onResolve({ filter: /^\.\/openAiKind\.js$/ }, () => ({
      path: './openAiKind.mjs',
      external: true,
    }))
  },
}

/**
 * Replaces modules of the metrics library by empty ones: those that only the OpenAI-style kind uses,
 * and those that nothing uses.
 */
const omitUnusedMetrics = {
  name: 'unused-metrics-apart',
  setup: builder => {
    const filter = /^\.\/lib\/(pushgateway|defaultMetrics|cluster)$/
    builder.onResolve({ filter }, ({ path }) => ({ path, namespace: 'unused' }))
    builder.onLoad({ filter: /^/, namespace: 'unused' }, () => ({ contents: '' }))
  },
}

/**
 * The program as the platform runs it, with its adapter, and the entry point that starts the program
 * with its code cache. The program is one function of `require`, `module` and its own URL.
 */
const cachedBundles = [
  {
    ...singleFileOptions,
    entryPoints: { program: 'platform/src/main.ts' },
    plugins: [separateOpenAiKind, omitUnusedMetrics],
    // Node.js has no `import.meta.env`; packages for browsers read it.
    define: { 'import.meta.url': 'programUrl', 'import.meta.env': 'undefined' },
    banner: { js: '(function (require, module, programUrl) {' },
    footer: { js: '})' },
  },
  {
    ...singleFileOptions,
    entryPoints: { rackwalkd: 'packages/daemon/src/cachedStart.ts' },
    outExtension: { '.js': '.cjs' },
  },
]

/** Options of each bundle. What instances of the gateway kind load comes first. */
export const bundles = [
  {
    ...moduleOptions,
    entryPoints: { rackwalkd: 'packages/daemon/src/main.ts', adapter: 'platform/src/index.ts' },
    plugins: [separateOpenAiKind, omitUnusedMetrics],
  },
  ...cachedBundles,
  { ...moduleOptions, entryPoints: { openAiKind: 'packages/daemon/src/openAiKind.ts' } },
]
