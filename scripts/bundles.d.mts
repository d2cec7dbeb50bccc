import type { BuildOptions } from 'esbuild'

export const bundles: readonly BuildOptions[]
