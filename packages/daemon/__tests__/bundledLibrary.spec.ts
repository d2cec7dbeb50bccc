import { mkdirSync, mkdtempSync, rmSync, symlinkSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join, resolve } from 'node:path'
import { pathToFileURL } from 'node:url'
import { build } from 'esbuild'
import type { BuildOptions } from 'esbuild'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { compileProgram } from '@rackwalk/daemon'
import { bundles } from '../../../scripts/bundles.mjs'
import type * as nativeSockets from '../src/callers/nativeSockets.js'

/**
 * A library that no bundle contains is found in the packages next to the folder of the bundles, for each bundle
 * format.
 */

type Library = typeof nativeSockets

const SOURCE = 'packages/daemon/src/callers/nativeSockets.ts'

let folder: string

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'rackwalk-'))
  mkdirSync(join(folder, 'target'))
})

afterEach(() => rmSync(folder, { recursive: true }))

/** Builds a source in place of a bundle's entry, with the options of the build otherwise unchanged. */
async function buildAs(format: 'cjs' | 'esm', entry: string, source: string): Promise<void> {
  const options = bundles.find(
    bundle => bundle.format === format && entry in Object(bundle.entryPoints),
  )
  if (options === undefined) throw new Error('no bundle')
  const changes: BuildOptions = { outdir: join(folder, 'target'), logLevel: 'silent' }
  await build({ ...options, ...changes, entryPoints: { [entry]: source } })
}

async function loadProgram(): Promise<Library> {
  await buildAs('cjs', 'program', SOURCE)
  const file = join(folder, 'target/program.js')
  return compileProgram(file, join(folder, 'target/program.cache')).run() as Library
}

async function loadModule(): Promise<Library> {
  await buildAs('esm', 'adapter', SOURCE)
  return (await import(pathToFileURL(join(folder, 'target/adapter.mjs')).href)) as Library
}

describe.each([
  ['the program with its code cache', loadProgram],
  ['a module', loadModule],
])('%s', (_, load) => {
  it('loads the library from the packages beside its folder', async () => {
    symlinkSync(resolve('node_modules'), join(folder, 'node_modules'))
    const { loadNativeSockets } = await load()
    expect(loadNativeSockets().accept(-1)).toBeLessThan(0)
  })

  it('says that the library is missing where there are no packages', async () => {
    const { loadNativeSockets, NativeSocketsMissing } = await load()
    expect(loadNativeSockets).toThrow(NativeSocketsMissing)
    expect(loadNativeSockets).toThrow("Cannot find module 'koffi'")
  })
})

describe('the build', () => {
  it.each(['program', 'rackwalkd'])('refuses a meta property that %s would lose', async entry => {
    const source = join(folder, 'source.ts')
    writeFileSync(source, 'try { console.log(import.meta.dirname) } catch {}')
    await expect(buildAs('cjs', entry, source)).rejects.toThrow('import.meta')
  })
})
