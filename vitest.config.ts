import { configDefaults, defineConfig } from 'vitest/config'

const PACKAGES = [
  'shared',
  'decisions',
  'stores',
  'coordination',
  'router',
  'daemon',
  'cli',
  'stand-ins',
]

/** Specs that run one at a time, by `vitest.isolated.config.ts`. */
export const ISOLATED = '**/*.isolated.spec.ts'

export default defineConfig({
  resolve: {
    alias: [
      ...PACKAGES.map(name => [name, `packages/${name}`]),
      ['users-platform', 'platform'],
    ].map(([name, folder]) => ({
      find: new RegExp(`^@rackwalk/${name}$`),
      replacement: new URL(`./${folder}/src/index.ts`, import.meta.url).pathname,
    })),
  },
  test: {
    include: [
      'packages/*/__tests__/**/*.spec.ts',
      'platform/__tests__/**/*.spec.ts',
      'scripts/__tests__/**/*.spec.ts',
    ],
    // They measure the memory of processes, so nothing may run beside them.
    exclude: [...configDefaults.exclude, ISOLATED],
    testTimeout: 600_000,
    hookTimeout: 600_000,
    maxWorkers: 4,
  },
})
