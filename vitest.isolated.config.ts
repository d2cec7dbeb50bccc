import { configDefaults, defineConfig } from 'vitest/config'
import shared, { ISOLATED } from './vitest.config.js'

/** Runs the specs of which each needs the machine for itself, one after another. */
export default defineConfig({
  ...shared,
  test: {
    ...shared.test,
    include: [ISOLATED],
    exclude: configDefaults.exclude,
    maxWorkers: 1,
    fileParallelism: false,
  },
})
